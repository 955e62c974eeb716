#include "serve/store_stall_detector.h"

#include "base/log_line.h"

namespace meadowthread {
namespace {

constexpr char kTopic[] = "silence";
// The store counts as stalled if no host has confirmed for this long that the
// view of the engines is complete. Normally, a watch confirms it after at most
// 1.5 s, and the confirmation reaches the other hosts within one more second.
constexpr std::int64_t kMaxUnconfirmedMs = 3'000;
// While its watch fails, a host repeats the notification at this interval, as
// datagrams get lost.
constexpr std::int64_t kRepeatMs = 2'000;
// A peer's notification that was not repeated for this long expires: either two
// repetitions were lost, or the peer is gone.
constexpr std::int64_t kPeerStallExpiryMs = 5'000;

}  // namespace

StoreStallDetector::StoreStallDetector(DatagramHub& hub, const Clock& clock)
    : hub(hub), clock(clock) {
  hub.Register(
      kTopic, [this](std::string_view host, const nlohmann::json& payload) {
        const bool fits = payload.is_array() && payload.size() == 1 &&
                          payload[0].is_boolean();
        if (fits) {
          this->RecordPeer(host, payload[0].get<bool>());
        } else {
          LogLine("silence-malformed").Add("host", host).WriteImportant();
        }
      });
}

void StoreStallDetector::RecordOwn(bool is_stalled) {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const bool is_change = is_stalled != this->is_stalled;
  const bool is_due = is_stalled && now_ms - this->sent_ms >= kRepeatMs;
  if (is_change || is_due) {
    this->sent_ms = now_ms;
    this->hub.SendToRandom(kTopic, nlohmann::json::array({is_stalled}),
                           this->hub.Peers());
  }
  this->is_stalled = is_stalled;
}

void StoreStallDetector::RecordPeer(std::string_view host, bool is_stalled) {
  if (!is_stalled) {
    this->stalled_peers.erase(std::string(host));
    return;
  }
  this->peer_stalled_unix_ms = this->clock.WallMs();
  this->stalled_peers[std::string(host)] = this->clock.MonotonicMs();
}

bool StoreStallDetector::IsStalledFor(std::string_view host) const {
  const auto found = this->stalled_peers.find(host);
  return found != this->stalled_peers.end() &&
         this->clock.MonotonicMs() - found->second < kPeerStallExpiryMs;
}

// A peer's notification is ignored once any host has read the store at a later
// time, as the store may fail for that peer alone.
bool StoreStallDetector::IsStalled(std::int64_t confirmed_unix_ms) const {
  const bool peer_is_newer = this->peer_stalled_unix_ms > confirmed_unix_ms;
  const std::int64_t age_ms = this->clock.WallMs() - confirmed_unix_ms;
  return this->is_stalled || peer_is_newer || age_ms > kMaxUnconfirmedMs;
}

}  // namespace meadowthread
