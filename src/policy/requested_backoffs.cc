#include "policy/requested_backoffs.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Every answer of a full server asks for a backoff anew. Other hosts are told
// of an end that is later by more than this.
constexpr std::int64_t kMinNewsMs = 500;
// Beyond this number entries whose backoffs are over are dropped: other hosts
// may tell of servers that are gone.
constexpr std::size_t kMaxIdleEntries = 1'024;

}  // namespace

const RequestedBackoffs::Entry* RequestedBackoffs::Find(
    std::string_view server) const {
  const auto found = this->entries.find(server);
  return found == this->entries.end() ? nullptr : &found->second;
}

void RequestedBackoffs::Note(std::string_view server, std::int64_t backoff_ms,
                             std::int64_t now_ms) {
  Entry& entry = this->entries[std::string(server)];
  if (now_ms >= entry.until_ms) {
    entry.resume_taken = false;
  }
  entry.until_ms = std::max(entry.until_ms, now_ms + backoff_ms);
  if (this->NoteTold(server, backoff_ms, now_ms) && this->listener) {
    this->listener(server, backoff_ms);
  }
}

bool RequestedBackoffs::NoteTold(std::string_view server,
                                 std::int64_t backoff_ms, std::int64_t now_ms) {
  if (this->entries.size() > kMaxIdleEntries) {
    absl::erase_if(this->entries, [server, now_ms](const auto& entry) {
      return entry.first != server && now_ms >= entry.second.until_ms &&
             now_ms >= entry.second.told_until_ms;
    });
  }
  Entry& entry = this->entries[std::string(server)];
  const std::int64_t until_ms = now_ms + backoff_ms;
  if (now_ms < entry.told_until_ms &&
      until_ms <= entry.told_until_ms + kMinNewsMs) {
    return false;
  }
  entry.told_until_ms = std::max(entry.told_until_ms, until_ms);
  return true;
}

std::int64_t RequestedBackoffs::RemainingMs(std::string_view server,
                                            std::int64_t now_ms) const {
  const Entry* const entry = this->Find(server);
  return entry == nullptr ? 0
                          : std::max<std::int64_t>(0, entry->until_ms - now_ms);
}

bool RequestedBackoffs::IsFull(std::string_view server,
                               std::int64_t now_ms) const {
  const Entry* const entry = this->Find(server);
  return entry != nullptr &&
         now_ms < std::max(entry->until_ms, entry->told_until_ms);
}

bool RequestedBackoffs::TakeResume(std::string_view server,
                                   std::int64_t now_ms) {
  const auto found = this->entries.find(server);
  if (found == this->entries.end() || now_ms >= found->second.until_ms) {
    return true;
  }
  const bool is_first = !found->second.resume_taken;
  found->second.resume_taken = true;
  return is_first;
}

void RequestedBackoffs::Remove(std::string_view server) {
  const auto found = this->entries.find(server);
  if (found != this->entries.end()) {
    this->entries.erase(found);
  }
}

std::size_t RequestedBackoffs::Count(std::int64_t now_ms) const {
  return static_cast<std::size_t>(std::count_if(
      this->entries.begin(), this->entries.end(),
      [now_ms](const auto& entry) { return now_ms < entry.second.until_ms; }));
}

}  // namespace meadowthread
