#ifndef MEADOWTHREAD_QUARANTINE_KNOWN_GOOD_PARTS_H_
#define MEADOWTHREAD_QUARANTINE_KNOWN_GOOD_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief Remembers which parts of prompts this host's runs have gone well
/// with, and when those runs began to write. The parts that were unused for
/// longest are forgotten first.
class KnownGoodParts {
 public:
  /// @param[in] capacity most parts that are remembered
  explicit KnownGoodParts(std::size_t capacity) : capacity(capacity) {}

  /// @brief Called when a run with the part has gone well.
  /// @param[in] begun_unix_ms when it began to write its answer
  /// @complexity logarithmic in the capacity
  void Note(std::string_view part, std::int64_t begun_unix_ms);

  /// @brief When the last such run began to write, in Unix ms; 0: none is
  /// remembered.
  /// @complexity logarithmic in the capacity
  std::int64_t LastBegunMs(std::string_view part) const;

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::string part;
    std::int64_t begun_unix_ms = 0;
  };

  std::size_t capacity;
  std::list<Entry> entries;  ///< last used first
  std::map<std::string, std::list<Entry>::iterator, std::less<>> places;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_KNOWN_GOOD_PARTS_H_
