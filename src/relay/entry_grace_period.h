#ifndef MEADOWTHREAD_RELAY_ENTRY_GRACE_PERIOD_H_
#define MEADOWTHREAD_RELAY_ENTRY_GRACE_PERIOD_H_

#include <cstdint>

namespace meadowthread {

/// @brief Decides how long a server whose entry was removed still counts as
/// live.
///
/// Entries of live servers expire while the store is unreachable, and these
/// servers register again once the store is back.
class EntryGracePeriod {
 public:
  virtual ~EntryGracePeriod() = default;

  /// @brief End of the grace period of a removed entry as far as is known now,
  /// in monotonic milliseconds. If it is not after `now_ms`, the server has
  /// left.
  /// @param[in] vanished_ms when this host learned of the removal
  virtual std::int64_t GraceEndsMs(std::int64_t vanished_ms,
                                   std::int64_t now_ms) const = 0;
};

/// @brief No grace period: a removed entry means that its server has left.
class NoEntryGracePeriod final : public EntryGracePeriod {
 public:
  std::int64_t GraceEndsMs(std::int64_t, std::int64_t) const override {
    return 0;
  }
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_ENTRY_GRACE_PERIOD_H_
