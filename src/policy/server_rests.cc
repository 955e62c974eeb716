#include "policy/server_rests.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Every answer of a full server asks for rest anew. Other hosts are told of an
// end that is later by more than this.
constexpr std::int64_t kMinNewsMs = 500;
// Beyond this number entries whose rests are over are dropped: other hosts may
// tell of servers that are gone.
constexpr std::size_t kMaxIdleEntries = 1'024;

}  // namespace

const ServerRests::Rest* ServerRests::Find(std::string_view server) const {
  const auto found = this->rests.find(server);
  return found == this->rests.end() ? nullptr : &found->second;
}

void ServerRests::Note(std::string_view server, std::int64_t rest_ms,
                       std::int64_t now_ms) {
  Rest& rest = this->rests[std::string(server)];
  if (now_ms >= rest.until_ms) {
    rest.resume_taken = false;
  }
  rest.until_ms = std::max(rest.until_ms, now_ms + rest_ms);
  if (this->NoteTold(server, rest_ms, now_ms) && this->listener) {
    this->listener(server, rest_ms);
  }
}

bool ServerRests::NoteTold(std::string_view server, std::int64_t rest_ms,
                           std::int64_t now_ms) {
  if (this->rests.size() > kMaxIdleEntries) {
    absl::erase_if(this->rests, [server, now_ms](const auto& entry) {
      return entry.first != server && now_ms >= entry.second.until_ms &&
             now_ms >= entry.second.told_until_ms;
    });
  }
  Rest& rest = this->rests[std::string(server)];
  const std::int64_t until_ms = now_ms + rest_ms;
  if (now_ms < rest.told_until_ms &&
      until_ms <= rest.told_until_ms + kMinNewsMs) {
    return false;
  }
  rest.told_until_ms = std::max(rest.told_until_ms, until_ms);
  return true;
}

std::int64_t ServerRests::RestingForMs(std::string_view server,
                                       std::int64_t now_ms) const {
  const Rest* const rest = this->Find(server);
  return rest == nullptr ? 0
                         : std::max<std::int64_t>(0, rest->until_ms - now_ms);
}

bool ServerRests::IsFull(std::string_view server, std::int64_t now_ms) const {
  const Rest* const rest = this->Find(server);
  return rest != nullptr &&
         now_ms < std::max(rest->until_ms, rest->told_until_ms);
}

bool ServerRests::TakeResume(std::string_view server, std::int64_t now_ms) {
  const auto found = this->rests.find(server);
  if (found == this->rests.end() || now_ms >= found->second.until_ms) {
    return true;
  }
  const bool is_first = !found->second.resume_taken;
  found->second.resume_taken = true;
  return is_first;
}

void ServerRests::Remove(std::string_view server) {
  const auto found = this->rests.find(server);
  if (found != this->rests.end()) {
    this->rests.erase(found);
  }
}

std::size_t ServerRests::Count(std::int64_t now_ms) const {
  return static_cast<std::size_t>(std::count_if(
      this->rests.begin(), this->rests.end(),
      [now_ms](const auto& entry) { return now_ms < entry.second.until_ms; }));
}

}  // namespace meadowthread
