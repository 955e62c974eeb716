#include "exchange/stop_datagrams.h"

#include <algorithm>

#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kTopic[] = "stops";
// A datagram may be lost; a stop takes some seconds.
constexpr std::int64_t kAgainMs = 500;
// One word with its headers, and what they may take of a node's 29 KB a second
// for control: with 350 hosts each is told again after 2.4 s.
constexpr std::int64_t kWordBytes = 62;
constexpr std::int64_t kBytesPerSecond = 9'000;
constexpr std::int64_t kMsPerSecond = 1'000;
// Nobody is away for longer by a planned stop, whatever a datagram says.
constexpr std::int64_t kMostAwayMs = 120'000;

}  // namespace

std::int64_t StopAgainMs(std::size_t peers) {
  return std::max(kAgainMs, static_cast<std::int64_t>(peers) * kWordBytes *
                                kMsPerSecond / kBytesPerSecond);
}

StopDatagrams::StopDatagrams(DatagramHub& hub, const Clock& clock,
                             Scheduler& scheduler)
    : hub(hub), clock(clock), scheduler(scheduler) {
  hub.Register(kTopic, [this](std::string_view host, const json& payload) {
    this->Take(host, payload);
  });
}

void StopDatagrams::Begin(std::int64_t back_ms) {
  this->own_back_ms = back_ms;
  this->Step();
}

void StopDatagrams::Step() {
  const std::int64_t left_ms = this->own_back_ms - this->clock.MonotonicMs();
  if (left_ms <= 0) {
    return;
  }
  this->TellEnd(left_ms);
  this->scheduler.After(StopAgainMs(this->hub.Peers()),
                        this->life.Guarded([this] { this->Step(); }));
}

void StopDatagrams::TellEnd(std::int64_t back_in_ms) {
  this->hub.SendToSome(kTopic, json::array({back_in_ms}), this->hub.Peers());
}

void StopDatagrams::Take(std::string_view host, const json& payload) {
  const bool fits = payload.is_array() && payload.size() == 1 &&
                    payload[0].is_number_integer();
  if (!fits) {
    LogLine("stops-malformed").Add("host", host).WriteImportant();
    return;
  }
  const std::int64_t in_ms =
      std::clamp<std::int64_t>(payload[0].get<std::int64_t>(), 0, kMostAwayMs);
  this->back[std::string(host)] = this->clock.MonotonicMs() + in_ms;
}

std::int64_t StopDatagrams::BackInMs(std::string_view host) const {
  const auto found = this->back.find(host);
  if (found == this->back.end()) {
    return 0;
  }
  return std::max<std::int64_t>(0, found->second - this->clock.MonotonicMs());
}

}  // namespace meadowthread
