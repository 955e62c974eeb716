#include "allocation/link_queues.h"

#include <algorithm>
#include <iterator>

#include "policy/peer_load.h"

namespace meadowthread {
namespace {

// A queued request is dropped if it was not renewed for this long. Hosts renew
// it every quarter of a second, so that one of two renewals may be lost.
constexpr std::int64_t kMaxRequestAgeMs = 600;

}  // namespace

bool LinkQueues::IsFree(const Link& link, std::int64_t now_ms) {
  return !link.holder.has_value() || now_ms - link.held_since_ms > kMaxCopyMs;
}

void LinkQueues::DropStaleRequests(Link& link, std::int64_t now_ms) {
  std::erase_if(link.queue, [now_ms](const QueuedRequest& queued) {
    return now_ms - queued.requested_ms > kMaxRequestAgeMs;
  });
}

bool LinkQueues::Request(std::string_view engine, const MigrationId& migration,
                         std::int64_t now_ms) {
  Link& link = this->links[std::string(engine)];
  if (link.holder == migration) {
    return true;  // the response that granted the link was lost
  }
  const auto known = std::find_if(link.queue.begin(), link.queue.end(),
                                  [&migration](const QueuedRequest& queued) {
                                    return queued.migration == migration;
                                  });
  if (known == link.queue.end()) {
    link.queue.push_back({migration, now_ms});
  } else {
    known->requested_ms = now_ms;
  }
  return this->GrantNext(engine, now_ms) == migration;
}

void LinkQueues::Release(std::string_view engine,
                         const MigrationId& migration) {
  const auto found = this->links.find(engine);
  if (found == this->links.end()) {
    return;
  }
  Link& link = found->second;
  if (link.holder == migration) {
    link.holder.reset();
  }
  std::erase_if(link.queue, [&migration](const QueuedRequest& queued) {
    return queued.migration == migration;
  });
}

std::optional<MigrationId> LinkQueues::GrantNext(std::string_view engine,
                                                 std::int64_t now_ms) {
  const auto found = this->links.find(engine);
  if (found == this->links.end()) {
    return std::nullopt;
  }
  Link& link = found->second;
  DropStaleRequests(link, now_ms);
  if (link.queue.empty() || !IsFree(link, now_ms)) {
    return std::nullopt;
  }
  link.holder = link.queue.front().migration;
  link.held_since_ms = now_ms;
  link.queue.pop_front();
  return link.holder;
}

void LinkQueues::DropExpired(std::int64_t now_ms) {
  for (auto at = this->links.begin(); at != this->links.end();) {
    DropStaleRequests(at->second, now_ms);
    const bool is_idle = at->second.queue.empty() && IsFree(at->second, now_ms);
    at = is_idle ? this->links.erase(at) : std::next(at);
  }
}

}  // namespace meadowthread
