#ifndef MEADOWTHREAD_ALLOCATION_LINK_QUEUES_H_
#define MEADOWTHREAD_ALLOCATION_LINK_QUEUES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief Identifies the migration of a generation away from a draining engine.
struct MigrationId {
  std::string host;
  std::uint64_t ticket = 0;  ///< unique within the host

  friend bool operator==(const MigrationId&, const MigrationId&) = default;
};

/// @brief Queues migrations for the network links of draining engines. One
/// migration holds a link at a time; the others wait in the order in which they
/// asked.
///
/// A link carries the copies of KV caches one after the other. When an engine
/// with generations of many hosts drains, a generation would pause if the last
/// step of its copy had to wait behind the copy of another one.
class LinkQueues {
 public:
  /// @brief Requests the link for a migration, or renews the request.
  /// @return whether the migration holds the link now
  bool Request(std::string_view engine, const MigrationId& migration,
               std::int64_t now_ms);

  /// @brief Frees the link if the migration holds it, or removes it from the
  /// queue.
  void Release(std::string_view engine, const MigrationId& migration);

  /// @brief Grants the link to the first migration in the queue.
  /// @return nullopt if the link is held or nothing waits
  std::optional<MigrationId> GrantNext(std::string_view engine,
                                       std::int64_t now_ms);

  /// @brief Drops requests that were not renewed, and unused links.
  void DropExpired(std::int64_t now_ms);

 private:
  struct QueuedRequest {
    MigrationId migration;
    std::int64_t requested_ms = 0;
  };
  struct Link {
    std::optional<MigrationId> holder;
    std::int64_t held_since_ms = 0;
    std::deque<QueuedRequest> queue;
  };

  static bool IsFree(const Link& link, std::int64_t now_ms);
  static void DropStaleRequests(Link& link, std::int64_t now_ms);

  std::map<std::string, Link, std::less<>> links;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_LINK_QUEUES_H_
