#ifndef MEADOWTHREAD_STANDINS_ENGINE_PREFIX_CACHE_H_
#define MEADOWTHREAD_STANDINS_ENGINE_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <vector>

namespace meadowthread::standins {

/// @brief Kind of change to the cache.
enum class CacheEventKind { kStored, kEvicted };

/// @brief One change to the cache.
struct CacheEvent {
  std::int64_t seq = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  std::uint64_t prefix = 0;
  std::int64_t at_ms = 0;
};

/// @brief LRU cache of prompt prefixes with a log of its changes; does no I/O.
class PrefixCache {
 public:
  /// @param[in] capacity maximum number of prefixes, at least 1
  explicit PrefixCache(std::size_t capacity) : capacity(capacity) {}

  /// @brief Looks up a prefix and stores it if it is missing.
  /// @return whether it was cached before
  bool Use(std::uint64_t prefix, std::int64_t now_ms);

  /// @brief Removes all prefixes and events; event numbers continue.
  void Clear();

  /// @brief Events numbered above `seq` that occurred by `as_of_ms`.
  /// @param[in] gap_every omits events whose number is a multiple; 0: none
  std::vector<CacheEvent> EventsAfter(std::int64_t seq, std::int64_t as_of_ms,
                                      std::int64_t gap_every) const;

 private:
  void Note(CacheEventKind kind, std::uint64_t prefix, std::int64_t now_ms);

  std::size_t capacity;
  std::list<std::uint64_t> held;  ///< most recently used first
  std::deque<CacheEvent> events;
  std::int64_t last_seq = 0;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_PREFIX_CACHE_H_
