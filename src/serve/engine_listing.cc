#include "serve/engine_listing.h"

#include <algorithm>
#include <string>

namespace meadowthread {

EngineListing MakeEngineListing(const Backend& backend,
                                const ServiceRule* service,
                                const Clock& clock) {
  EngineListing listing;
  listing.engine = backend.key;
  listing.zone = backend.entry.zone;
  listing.region = backend.region;
  listing.software_version = backend.entry.version;
  listing.leaving = !backend.AcceptsNewRequests();
  const std::int64_t slow_ms = backend.warm_at_ms - clock.MonotonicMs();
  listing.warm_at_ms = slow_ms > 0 ? clock.WallMs() + slow_ms : std::int64_t{0};
  listing.service = backend.entry.service;
  // Streams are sent to any engine of their service that has their model. A
  // plain server must not get streams, so the models in an entry are listed
  // only if its service is configured to have engines.
  if (service == nullptr || !service->engine.has_value()) {
    return listing;
  }
  listing.kv_capacity = service->engine->memory_tokens;
  for (const std::string& model : service->engine->models) {
    listing.models.push_back({model, "", ""});
  }
  for (const std::string& model : backend.entry.models) {
    const ServedModel served = {model, "", ""};
    if (std::find(listing.models.begin(), listing.models.end(), served) ==
        listing.models.end()) {
      listing.models.push_back(served);
    }
  }
  return listing;
}

}  // namespace meadowthread
