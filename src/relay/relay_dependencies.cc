#include "relay/relay_dependencies.h"

namespace meadowthread {

std::optional<ServerInstance> ServerUnlessLeaving(const BackendList& backends,
                                                  std::string_view key) {
  const Backend* const backend = backends.Find(key);
  if (backend == nullptr || backend->leaving) {
    return std::nullopt;
  }
  return ServerInstance{backend->key, backend->entry.address};
}

}  // namespace meadowthread
