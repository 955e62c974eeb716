#ifndef MEADOWTHREAD_RELAY_ENTRY_LAPSE_H_
#define MEADOWTHREAD_RELAY_ENTRY_LAPSE_H_

#include <cstdint>

namespace meadowthread {

/// @brief Whether a server's entry that vanishes may have lapsed, though the
/// server lives.
class EntryLapse {
 public:
  virtual ~EntryLapse() = default;

  /// @brief Up to when such an entry may be listed anew, by what is known now;
  /// at or before `now_ms`: the server has left. Monotonic milliseconds.
  /// @param[in] vanished_ms when this host heard that the entry is gone
  virtual std::int64_t LapsesUntilMs(std::int64_t vanished_ms,
                                     std::int64_t now_ms) const = 0;
};

/// @brief Entries that only vanish as their server leaves.
class NoEntryLapses final : public EntryLapse {
 public:
  std::int64_t LapsesUntilMs(std::int64_t, std::int64_t) const override {
    return 0;
  }
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_ENTRY_LAPSE_H_
