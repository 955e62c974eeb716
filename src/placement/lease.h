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

/// @brief Who holds leases, and for how long.
struct LeaseSettings {
  std::string holder;       ///< this host's name
  std::string incarnation;  ///< of this process
  std::int64_t ttl_ms = 15'000;
  std::int64_t renew_every_ms = 5'000;
  std::int64_t order_window_ms = 3'000;
  /// What two clocks may drift apart by over `ttl_ms` + `order_window_ms`.
  std::int64_t drift_margin_ms = 500;
};

/// @brief One host's part in the lease of one duty.
///
/// Safe against lost answers, delayed writes, pauses and racing holders; see
/// docs/design/placement.md. Fed with what listings show (Observe) and driven
/// by Tick; never blocks.
class Lease {
 public:
  /// @param[in] store,clock,nonces outlive the lease
  Lease(std::string_view duty, const LeaseSettings& settings,
        ObjectStore& store, const Clock& clock, NonceSource& nonces);

  // 1. What a listing shows.

  /// @brief The lease's object stands (or stood: stale reads are harmless).
  void Observe(const StoredObject& object);

  /// @brief A listing was read that does not hold the lease's object.
  void ObserveAbsent();

  // 2. Driving.

  /// @brief Settles, renews or acquires, whichever is due; one call at a time.
  void Tick();

  /// @brief How much longer than needed this host waits before it takes the
  /// lease over, so that not every host tries at once.
  void SetTakeoverDelay(std::int64_t delay_ms) {
    this->takeover_delay_ms = delay_ms;
  }

  /// @brief Renews at the next tick: the fence is to grow past something.
  void RenewSoon();

  /// @brief Stops acting on the lease at once, without a word to the store.
  void StepDown(std::string_view why);

  /// @brief Steps down and lets a successor in without waiting out the ttl.
  void Release();

  // 3. What may be done now.

  /// @brief Whether this host may act on the duty, by its own clocks.
  bool Held() const;

  /// @brief The fencing number: the last confirmed version; 0 if not held.
  std::int64_t Fence() const;

  /// @brief Whether a fencing number is one of this tenure's.
  bool IsOwnFence(std::int64_t fence) const;

  /// @brief Milliseconds until the hold ends by itself; 0 if not held.
  std::int64_t RemainingMs() const;

  const std::string& Duty() const { return this->duty; }
  const LeaseSettings& Settings() const { return this->settings; }

 private:
  /// A write of this tenure and when it was handed to the store.
  struct SentWrite {
    std::int64_t sequence = 0;
    std::int64_t monotonic_ms = 0;
    std::int64_t wall_ms = 0;
  };
  /// From the first attempt to acquire until another's version is seen.
  struct Tenure {
    std::string nonce;
    std::int64_t base_version = 0;   ///< stood when first attempted
    std::int64_t first_version = 0;  ///< first confirmed; 0: none yet
    std::int64_t version = 0;        ///< last confirmed; 0: none yet
    std::int64_t next_sequence = 0;
    std::int64_t expires_monotonic_ms = 0;
    std::int64_t expires_wall_ms = 0;
    std::int64_t last_sent_ms = 0;
    bool renew_soon = false;
    bool unsettled = false;  ///< a write's fate is to be read back
    std::vector<SentWrite> sent;
  };
  /// Another's lease, or none, as first seen.
  struct Sighting {
    std::int64_t version = 0;
    std::int64_t first_seen_ms = 0;
    std::int64_t wait_ms = 0;
  };

  void Begin();
  void Write();
  void OnWritten(const std::string& nonce, std::int64_t sequence,
                 const absl::StatusOr<std::int64_t>& answer);
  void ReadBack();
  void OnReadBack(const absl::StatusOr<StoredObject>& answer);
  void Confirm(std::int64_t version, std::int64_t sequence);
  void Lose(std::string_view why);
  void Sight(std::int64_t version, std::int64_t wait_ms);
  bool WaitedOut() const;
  bool IsOwn(const absl::StatusOr<LeaseDocument>& document) const;
  std::int64_t WaitFor(const absl::StatusOr<LeaseDocument>& document) const;
  LeaseDocument Document(std::int64_t ttl_ms) const;
  void Log(std::string_view why) const;

  std::string duty;
  LeaseSettings settings;
  ObjectStore& store;
  const Clock& clock;
  NonceSource& nonces;
  std::optional<Tenure> tenure;
  std::optional<Sighting> sighting;
  std::int64_t takeover_delay_ms = 0;
  bool busy = false;
  /// Answers that come after the lease is gone find this gone too.
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_LEASE_H_
