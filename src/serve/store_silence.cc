#include "serve/store_silence.h"

#include "base/log_line.h"

namespace meadowthread {
namespace {

constexpr char kTopic[] = "silence";
// A view of the engines that nobody confirmed for this long: watches end after
// a second and a half at the latest, and peers tell it within one more.
constexpr std::int64_t kSilentMs = 3'000;
// A host that the store fails says so again and again: words get lost.
constexpr std::int64_t kAgainMs = 2'000;
// Two of them are lost, or the host is gone.
constexpr std::int64_t kFailsMs = 5'000;

}  // namespace

StoreSilence::StoreSilence(DatagramHub& hub, const Clock& clock)
    : hub(hub), clock(clock) {
  hub.Register(
      kTopic, [this](std::string_view host, const nlohmann::json& payload) {
        const bool fits = payload.is_array() && payload.size() == 1 &&
                          payload[0].is_boolean();
        if (fits) {
          this->NotePeer(host, payload[0].get<bool>());
        } else {
          LogLine("silence-malformed").Add("host", host).WriteImportant();
        }
      });
}

void StoreSilence::NoteOwn(bool is_stalled) {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const bool is_change = is_stalled != this->is_stalled;
  const bool is_due = is_stalled && now_ms - this->told_ms >= kAgainMs;
  if (is_change || is_due) {
    this->told_ms = now_ms;
    this->hub.SendToSome(kTopic, nlohmann::json::array({is_stalled}),
                         this->hub.Peers());
  }
  this->is_stalled = is_stalled;
}

void StoreSilence::NotePeer(std::string_view host, bool is_stalled) {
  if (!is_stalled) {
    this->failed.erase(std::string(host));
    return;
  }
  this->peer_told_unix_ms = this->clock.WallMs();
  this->failed[std::string(host)] = this->clock.MonotonicMs();
}

bool StoreSilence::Fails(std::string_view host) const {
  const auto found = this->failed.find(host);
  return found != this->failed.end() &&
         this->clock.MonotonicMs() - found->second < kFailsMs;
}

// A peer's word holds until somebody has read the store later than that: the
// store may turn away that peer alone.
bool StoreSilence::IsSilent(std::int64_t confirmed_unix_ms) const {
  const bool peer_is_newer = this->peer_told_unix_ms > confirmed_unix_ms;
  const std::int64_t age_ms = this->clock.WallMs() - confirmed_unix_ms;
  return this->is_stalled || peer_is_newer || age_ms > kSilentMs;
}

}  // namespace meadowthread
