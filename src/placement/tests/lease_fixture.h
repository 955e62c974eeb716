#ifndef MEADOWTHREAD_PLACEMENT_TESTS_LEASE_FIXTURE_H_
#define MEADOWTHREAD_PLACEMENT_TESTS_LEASE_FIXTURE_H_

#include <string>

#include "base/clock.h"
#include "placement/lease.h"
#include "placement/nonce_source.h"
#include "store/memory_store.h"

namespace meadowthread {

/// @brief Nonces that count up, told apart by a prefix.
class CountingNonces final : public NonceSource {
 public:
  explicit CountingNonces(std::string_view with_prefix) : prefix(with_prefix) {}
  std::string Next() override {
    return this->prefix + std::to_string(++this->count);
  }

 private:
  std::string prefix;
  int count = 0;
};

/// @brief One host's lease with its own clock.
struct LeaseHost {
  LeaseHost(std::string_view name, MemoryStore& over)
      : store(over),
        clock(1'000'000),
        nonces(name),
        lease("placement.a.0", Named(name), over, clock, nonces) {}

  static LeaseSettings Named(std::string_view name) {
    LeaseSettings settings;
    settings.holder = std::string(name);
    settings.incarnation = "1";
    return settings;
  }

  /// @brief Asks for a listing; its answer waits in the store.
  void Look() {
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

  /// @brief Looks, ticks, and gives every answer.
  void Turn() {
    this->Look();
    this->store.Settle();
    this->lease.Tick();
    this->store.Settle();
  }

  MemoryStore& store;
  ManualClock clock;
  CountingNonces nonces;
  Lease lease;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_TESTS_LEASE_FIXTURE_H_
