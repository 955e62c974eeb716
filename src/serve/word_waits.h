#ifndef MEADOWTHREAD_SERVE_WORD_WAITS_H_
#define MEADOWTHREAD_SERVE_WORD_WAITS_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "configuration/view_feeder.h"

namespace meadowthread {

/// @brief The waits between the store's word and a host that acts by it; all in
/// milliseconds.
struct WordPath {
  FeederOptions feeder;         ///< of the hosts that read the store
  std::int64_t stagger_ms = 0;  ///< longest further pause between watches
  std::int64_t round_ms = 0;    ///< longest between a host's exchanges
  std::int64_t connect_ms = 0;  ///< longest from the choice of a server to
                                ///< the request's arrival there
};

/// @brief Within what time hosts follow the store's word, milliseconds.
struct WordBounds {
  std::int64_t change_ms = 2'000;    ///< a configuration is in force
  std::int64_t leaving_ms = 2'000;   ///< a server that leaves gets nothing new
  std::int64_t emptying_ms = 5'000;  ///< nor does an emptied zone
  /// So long after the store or connections were disturbed the bounds above
  /// hold again.
  std::int64_t settle_ms = 3'000;
};

/// @brief The longest that the waits on one way add up to.
struct WordWait {
  std::string_view what;
  std::int64_t longest_ms = 0;
  std::int64_t bound_ms = 0;

  bool Holds() const { return this->longest_ms <= this->bound_ms; }
};

/// @brief Adds up how a change comes into force.
std::vector<WordWait> ChangeWaits(const WordPath& path,
                                  const WordBounds& bounds);

/// @brief Adds up how servers that left or lapsed come out of use.
std::vector<WordWait> LeavingWaits(const WordPath& path,
                                   const WordBounds& bounds);

/// @brief Adds up how an availability zone that is emptied comes out of use.
/// @param[in] path as emptied zones are read
std::vector<WordWait> EmptyingWaits(const WordPath& path,
                                    const WordBounds& bounds);

/// @brief Tells which bounds the waits don't keep.
void TellWaits(const std::vector<WordWait>& waits);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_WORD_WAITS_H_
