#ifndef MEADOWTHREAD_PLACEMENT_LEASE_H_
#define MEADOWTHREAD_PLACEMENT_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "placement/lease_document.h"
#include "placement/nonce_source.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief The identity of a holder, and the durations of its leases.
struct LeaseSettings {
  std::string holder;       ///< this host's name
  std::string incarnation;  ///< of this process, new with every start
  std::int64_t ttl_ms = 15'000;
  std::int64_t renew_every_ms = 5'000;
  /// Longest time from sending an order to its deadline.
  std::int64_t order_window_ms = 3'000;
  /// The most that the clocks of two hosts drift apart within `ttl_ms` +
  /// `order_window_ms`.
  std::int64_t drift_margin_ms = 500;
};

/// @brief Acquires, renews and releases one lease for this host.
///
/// The lease is an object in the store, updated by conditional writes; the
/// version of the last confirmed write is the fencing token. At most one host
/// holds the lease at a time, even with lost answers, delayed writes, paused
/// processes and racing hosts; see docs/design/placement.md. Observe and
/// ObserveAbsent pass in the result of each listing, and Tick does the work;
/// nothing blocks.
class Lease {
 public:
  /// @param[in] store,clock,nonces outlive the lease
  Lease(std::string_view name, const LeaseSettings& settings,
        ObjectStore& store, const Clock& clock, NonceSource& nonces);

  // 1. Results of listings.

  /// @brief Applies the lease's object as it was listed. An out-of-date listing
  /// is harmless.
  void Observe(const StoredObject& object);

  /// @brief Applies a listing without the lease's object.
  void ObserveAbsent();

  // 2. Acquiring, renewing and giving up.

  /// @brief Does what is due: acquires the lease, renews it, or reads back a
  /// write whose outcome is unknown. Has one store call in flight at a time.
  void Tick();

  /// @brief Sets how long this host waits after the lease has become free, so
  /// that not every host tries to acquire it at once.
  void SetTakeoverDelay(std::int64_t delay_ms) {
    this->takeover_delay_ms = delay_ms;
  }

  /// @brief Renews at the next tick, to get a higher fencing token.
  void RenewSoon();

  /// @brief Gives the lease up locally, without a write to the store.
  void StepDown(std::string_view reason);

  /// @brief Gives the lease up and writes a lifetime of 0, so that a successor
  /// waits for the order window and the drift margin only. Nothing is written
  /// if the lease is not held or a store call is in flight.
  void Release();

  // 3. State.

  /// @brief Whether this host holds the lease according to its own clocks.
  bool Held() const;

  /// @brief The fencing token: the last confirmed version; 0 if not held.
  std::int64_t Fence() const;

  /// @brief Whether a fencing token belongs to the current tenure.
  bool IsOwnFence(std::int64_t fence) const;

  /// @brief Milliseconds until the lease expires unless renewed; 0 if not held.
  std::int64_t RemainingMs() const;

  const std::string& Name() const { return this->name; }
  const LeaseSettings& Settings() const { return this->settings; }

 private:
  /// A write of this tenure, and the time just before it was sent.
  struct SentWrite {
    std::int64_t sequence = 0;
    std::int64_t monotonic_ms = 0;
    std::int64_t wall_ms = 0;
  };
  /// The state from the first attempt to acquire the lease until it is given
  /// up or another host's write is seen.
  struct LeaseTerm {
    std::string nonce;
    std::int64_t base_version = 0;   ///< version before the first attempt
    std::int64_t first_version = 0;  ///< first confirmed version; 0: none
    std::int64_t version = 0;        ///< last confirmed version; 0: none
    std::int64_t next_sequence = 0;
    std::int64_t expires_monotonic_ms = 0;
    std::int64_t expires_wall_ms = 0;
    std::int64_t last_sent_ms = 0;
    bool renew_soon = false;
    bool write_unconfirmed = false;  ///< read the object back before writing
    std::vector<SentWrite> sent;
  };
  /// A version that another host wrote, or the object's absence (version 0),
  /// and how long to wait from when it was first seen.
  struct ObservedLease {
    std::int64_t version = 0;
    std::int64_t first_seen_ms = 0;
    std::int64_t wait_ms = 0;
  };

  void BeginTenure();
  void Write();
  void OnWritten(const std::string& nonce, std::int64_t sequence,
                 const absl::StatusOr<std::int64_t>& answer);
  void ReadBack();
  void OnReadBack(const absl::StatusOr<StoredObject>& answer);
  void ConfirmWrite(std::int64_t version, std::int64_t sequence);
  void EndTenure(std::string_view reason);
  void RecordObserved(std::int64_t version, std::int64_t wait_ms);
  bool WaitElapsed() const;
  bool IsOwnTenure(const absl::StatusOr<LeaseDocument>& document) const;
  std::int64_t WaitMsFor(const absl::StatusOr<LeaseDocument>& document) const;
  LeaseDocument MakeDocument(std::int64_t ttl_ms) const;
  void Log(std::string_view reason) const;

  std::string name;
  LeaseSettings settings;
  ObjectStore& store;
  const Clock& clock;
  NonceSource& nonces;
  std::optional<LeaseTerm> tenure;
  std::optional<ObservedLease> observed;
  std::int64_t takeover_delay_ms = 0;
  bool call_in_flight = false;
  /// Disables the callbacks of pending store calls on destruction.
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_LEASE_H_
