#ifndef MEADOWTHREAD_POLICY_PREFIX_HINTS_H_
#define MEADOWTHREAD_POLICY_PREFIX_HINTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>

#include "absl/container/flat_hash_map.h"

namespace meadowthread {

/// @brief Remembers which engines may have a prompt prefix in their cache.
/// These are hints only, because cache events arrive late and some are missing.
class PrefixHints {
 public:
  /// @brief Maximum number of engines remembered for one prefix.
  static constexpr std::size_t kMaxEnginesPerPrefix = 4;

  explicit PrefixHints(std::size_t max_prefixes = 32'768)
      : max_prefixes(max_prefixes) {}

  /// @brief Records that an engine stored a prefix or was sent a prompt with
  /// it.
  void NoteStored(std::uint64_t prefix, std::uint32_t engine);

  /// @brief Records that an engine evicted a prefix.
  void NoteEvicted(std::uint64_t prefix, std::uint32_t engine);

  /// @brief Removes an engine from all prefixes, because it is gone or has
  /// restarted with an empty cache.
  /// @complexity O(prefixes)
  void ForgetEngine(std::uint32_t engine);

  /// @brief The engines that may have the prefix cached, most recent first.
  std::span<const std::uint32_t> EnginesOf(std::uint64_t prefix) const;

  /// @brief Number of prefixes remembered.
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::array<std::uint32_t, kMaxEnginesPerPrefix> engines = {};
    std::size_t count = 0;
  };

  static void RemoveEngineFrom(Entry* entry, std::uint32_t engine);

  std::size_t max_prefixes;
  absl::flat_hash_map<std::uint64_t, Entry> entries;
  std::deque<std::uint64_t> insertion_order;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_PREFIX_HINTS_H_
