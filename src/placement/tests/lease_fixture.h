#ifndef MEADOWTHREAD_PLACEMENT_TESTS_LEASE_FIXTURE_H_
#define MEADOWTHREAD_PLACEMENT_TESTS_LEASE_FIXTURE_H_

#include <string>

#include "base/clock.h"
#include "placement/lease.h"
#include "placement/nonce_source.h"
#include "store/memory_store.h"

namespace meadowthread {

/// @brief Generates the prefix with 1, 2, 3 and so on appended.
class SequentialNonceSource final : public NonceSource {
 public:
  explicit SequentialNonceSource(std::string_view prefix) : prefix(prefix) {}
  std::string Next() override {
    return this->prefix + std::to_string(++this->count);
  }

 private:
  std::string prefix;
  int count = 0;
};

/// @brief A host that competes for the lease "placement.a.0", with its own
/// clock.
struct LeaseHost {
  LeaseHost(std::string_view name, MemoryStore& store)
      : store(store),
        clock(1'000'000),
        nonces(name),
        lease("placement.a.0", SettingsFor(name), store, clock, nonces) {}

  static LeaseSettings SettingsFor(std::string_view name) {
    LeaseSettings settings;
    settings.holder = std::string(name);
    settings.incarnation = "1";
    return settings;
  }

  /// @brief Lists the leases; `store` delivers the answer later.
  void ListLeases() {
    this->store.List(kLeaseKind, 0,
                     [this](const absl::StatusOr<ObjectList>& list) {
                       if (!list.ok()) {
                         return;
                       }
                       if (list->items.empty()) {
                         this->lease.ObserveAbsent();
                       }
                       for (const StoredObject& object : list->items) {
                         this->lease.Observe(object);
                       }
                     });
  }

  /// @brief Lists the leases, ticks, and delivers all answers.
  void RunRound() {
    this->ListLeases();
    this->store.Settle();
    this->lease.Tick();
    this->store.Settle();
  }

  MemoryStore& store;
  ManualClock clock;
  SequentialNonceSource nonces;
  Lease lease;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_TESTS_LEASE_FIXTURE_H_
