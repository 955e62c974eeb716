#include "relay/relay_parts.h"

namespace meadowthread {

std::optional<RunServer> ServerUnlessLeaving(const BackendList& backends,
                                             std::string_view key) {
  const Backend* const backend = backends.Find(key);
  if (backend == nullptr || backend->leaving) {
    return std::nullopt;
  }
  return RunServer{backend->key, backend->entry.address};
}

}  // namespace meadowthread
