#ifndef MEADOWTHREAD_POLICY_PREFIX_HINTS_H_
#define MEADOWTHREAD_POLICY_PREFIX_HINTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>

#include "absl/container/flat_hash_map.h"

namespace meadowthread {

/// @brief Which engines may have a prompt prefix in their cache. A hint only:
/// cache events come late and with gaps.
class PrefixHints {
 public:
  /// @brief Engines remembered for one prefix.
  static constexpr std::size_t kEnginesEach = 4;

  explicit PrefixHints(std::size_t max_prefixes = 32'768)
      : max_prefixes(max_prefixes) {}

  /// @brief Notes that an engine stored a prefix, or was sent one.
  void Stored(std::uint64_t prefix, std::uint32_t engine);

  /// @brief Notes that an engine evicted a prefix.
  void Evicted(std::uint64_t prefix, std::uint32_t engine);

  /// @brief An engine holds nothing any more: it is gone, or another start.
  /// @complexity O(prefixes)
  void Forget(std::uint32_t engine);

  /// @brief The engines that may have it, newest first.
  std::span<const std::uint32_t> EnginesOf(std::uint64_t prefix) const;

  /// @brief Prefixes held.
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::array<std::uint32_t, kEnginesEach> engines = {};
    std::size_t count = 0;
  };

  static void Drop(Entry* entry, std::uint32_t engine);

  std::size_t max_prefixes;
  absl::flat_hash_map<std::uint64_t, Entry> entries;
  std::deque<std::uint64_t> insertion_order;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_PREFIX_HINTS_H_
