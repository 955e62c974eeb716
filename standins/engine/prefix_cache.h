#ifndef MEADOWTHREAD_STANDINS_ENGINE_PREFIX_CACHE_H_
#define MEADOWTHREAD_STANDINS_ENGINE_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <vector>

namespace meadowthread::standins {

/// @brief What happened to a cached prefix.
enum class CacheEventKind { kStored, kEvicted };

/// @brief One change of the cache.
struct CacheEvent {
  std::int64_t seq = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  std::uint64_t prefix = 0;
  std::int64_t at_ms = 0;
};

/// @brief Which prompt prefixes an engine holds, the least recently used one
/// going first; pure.
class PrefixCache {
 public:
  /// @param[in] capacity prefixes held at most, at least one
  explicit PrefixCache(std::size_t capacity) : capacity(capacity) {}

  /// @brief Uses a prefix and holds it from now on.
  /// @return whether it was held before
  bool Use(std::uint64_t prefix, std::int64_t now_ms);

  /// @brief Forgets all prefixes; event numbers go on.
  void Clear();

  /// @brief Events after a number that happened up to a time.
  /// @param[in] gap_every each event whose number it divides is left out; 0:
  /// none
  std::vector<CacheEvent> EventsAfter(std::int64_t seq, std::int64_t as_of_ms,
                                      std::int64_t gap_every) const;

 private:
  void Note(CacheEventKind kind, std::uint64_t prefix, std::int64_t now_ms);

  std::size_t capacity;
  std::list<std::uint64_t> held;  ///< the most recently used first
  std::deque<CacheEvent> events;
  std::int64_t last_seq = 0;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_PREFIX_CACHE_H_
