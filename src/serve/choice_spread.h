#ifndef MEADOWTHREAD_SERVE_CHOICE_SPREAD_H_
#define MEADOWTHREAD_SERVE_CHOICE_SPREAD_H_

#include <cstddef>
#include <cstdint>

namespace meadowthread {

/// @brief Reckons how many streams other hosts have begun that nobody has told
/// of yet, so that hosts do not all choose the same engine meanwhile.
class ChoiceSpread {
 public:
  /// @brief How often Unseen is to be asked.
  static constexpr std::int64_t kPeriodMs = 1'000;

  /// @param[in] note_bytes_per_s that hosts may spend on load notes
  explicit ChoiceSpread(std::int64_t note_bytes_per_s)
      : note_bytes_per_s(note_bytes_per_s) {}

  /// @param[in] streams_begun at this host since its start
  /// @param[in] peers that load notes are sent to
  double Unseen(std::int64_t streams_begun, std::size_t peers);

 private:
  std::int64_t note_bytes_per_s;
  std::int64_t streams_counted = 0;
  double streams_lately = 0.0;  ///< begun here, decaying
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_CHOICE_SPREAD_H_
