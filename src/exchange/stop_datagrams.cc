#include "exchange/stop_datagrams.h"

#include <algorithm>

#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kTopic[] = "stops";
// Repeated because a datagram may be lost; a stop takes some seconds.
constexpr std::int64_t kMinRepeatMs = 500;
// Bytes of an announcement with headers, and the part of a host's 29 KB/s of
// control traffic that announcements may use: with 350 hosts, the announcement
// is repeated every 2.4 s.
constexpr std::int64_t kAnnouncementBytes = 62;
constexpr std::int64_t kBytesPerSecond = 9'000;
constexpr std::int64_t kMsPerSecond = 1'000;
// Limits the announced time: no planned stop takes longer.
constexpr std::int64_t kMaxAwayMs = 120'000;

}  // namespace

std::int64_t StopRepeatMs(std::size_t peers) {
  return std::max(kMinRepeatMs, static_cast<std::int64_t>(peers) *
                                    kAnnouncementBytes * kMsPerSecond /
                                    kBytesPerSecond);
}

StopDatagrams::StopDatagrams(DatagramHub& hub, const Clock& clock,
                             Scheduler& scheduler)
    : hub(hub), clock(clock), scheduler(scheduler) {
  hub.Register(kTopic, [this](std::string_view host, const json& payload) {
    this->Receive(host, payload);
  });
}

void StopDatagrams::Begin(std::int64_t back_ms) {
  this->own_back_ms = back_ms;
  this->AnnounceAndReschedule();
}

void StopDatagrams::AnnounceAndReschedule() {
  const std::int64_t left_ms = this->own_back_ms - this->clock.MonotonicMs();
  if (left_ms <= 0) {
    return;
  }
  this->AnnounceExit(left_ms);
  this->scheduler.After(
      StopRepeatMs(this->hub.Peers()),
      this->life.Guarded([this] { this->AnnounceAndReschedule(); }));
}

void StopDatagrams::AnnounceExit(std::int64_t back_in_ms) {
  this->hub.SendToRandom(kTopic, json::array({back_in_ms}), this->hub.Peers());
}

void StopDatagrams::Receive(std::string_view host, const json& payload) {
  const bool fits = payload.is_array() && payload.size() == 1 &&
                    payload[0].is_number_integer();
  if (!fits) {
    LogLine("stops-malformed").Add("host", host).WriteImportant();
    return;
  }
  const std::int64_t in_ms =
      std::clamp<std::int64_t>(payload[0].get<std::int64_t>(), 0, kMaxAwayMs);
  this->return_times_ms[std::string(host)] = this->clock.MonotonicMs() + in_ms;
}

std::int64_t StopDatagrams::AvailableInMs(std::string_view host) const {
  const auto found = this->return_times_ms.find(host);
  if (found == this->return_times_ms.end()) {
    return 0;
  }
  return std::max<std::int64_t>(0, found->second - this->clock.MonotonicMs());
}

}  // namespace meadowthread
