// What the choice of an engine knows of a listed server.
#include "serve/engine_listing.h"

#include <criterion/criterion.h>

#include "base/manual_scheduler.h"

namespace meadowthread {
namespace {

Backend Listed() {
  Backend backend;
  backend.entry.id = "i-1";
  backend.entry.service = "pool";
  backend.entry.models = {"m", "own"};
  return backend;
}

ServiceRule Pool() {
  ServiceRule service;
  service.name = "pool";
  service.engine = EngineTraits{};
  service.engine->models = {"m"};
  return service;
}

Test(an_engine, has_the_models_of_its_service_and_its_own) {
  const ManualClock clock{1'000};
  const ServiceRule service = Pool();
  const EngineListing listing = ListingOf(Listed(), &service, clock);
  cr_assert(listing.models.size() == 2 && !listing.leaving);
}

// Streams go to whoever has their model.
Test(a_server, has_no_models_unless_its_service_is_configured_with_engines) {
  const ManualClock clock{1'000};
  cr_assert(ListingOf(Listed(), nullptr, clock).models.empty());
  ServiceRule plain;
  plain.name = "pool";
  cr_assert(ListingOf(Listed(), &plain, clock).models.empty());
}

Test(an_engine, whose_entry_names_it_no_more_is_as_one_that_leaves) {
  const ManualClock clock{1'000};
  const ServiceRule service = Pool();
  Backend backend = Listed();
  backend.entry_valid = false;
  cr_assert(ListingOf(backend, &service, clock).leaving);
}

}  // namespace
}  // namespace meadowthread
