#include "permits/notice_gossip.h"

#include <algorithm>
#include <cstddef>
#include <string>

#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

// Number of hosts that news is sent to, by each host to which it is news.
constexpr std::size_t kFanout = 4;
constexpr std::size_t kFields = 2;
// Stands for a server that leaves, in place of the length of a backoff.
constexpr std::int64_t kLeaves = -1;
// Longest backoff that is believed of another host's word.
constexpr std::int64_t kMaxBackoffMs = 3'600'000;

}  // namespace

NoticeGossip::NoticeGossip(RequestedBackoffs& backoffs, GossipChannel& channel,
                           const Clock& clock, const LeavingListener& leaving)
    : backoffs(backoffs), channel(channel), clock(clock), leaving(leaving) {
  backoffs.SetListener(
      [this](std::string_view server, std::int64_t backoff_ms) {
        this->Tell(server, backoff_ms);
      });
}

void NoticeGossip::Tell(std::string_view server, std::int64_t backoff_ms) {
  this->channel.SendToRandom(kTopic, json::array({server, backoff_ms}),
                             kFanout);
}

void NoticeGossip::TellLeaving(std::string_view server) {
  this->Tell(server, kLeaves);
}

void NoticeGossip::OnNotice(std::string_view host, const json& payload) {
  const bool fits = payload.is_array() && payload.size() == kFields &&
                    payload[0].is_string() && payload[1].is_number_integer();
  if (!fits) {
    LogLine("notice-malformed").Add("host", host).WriteImportant();
    return;
  }
  const std::string server = payload[0].get<std::string>();
  const auto backoff_ms = payload[1].get<std::int64_t>();
  if (backoff_ms == kLeaves) {
    this->leaving(server);
    return;
  }
  const std::int64_t believed_ms =
      std::clamp<std::int64_t>(backoff_ms, 0, kMaxBackoffMs);
  if (believed_ms > 0 &&
      this->backoffs.NoteTold(server, believed_ms, this->clock.MonotonicMs())) {
    this->Tell(server, believed_ms);
  }
}

}  // namespace meadowthread
