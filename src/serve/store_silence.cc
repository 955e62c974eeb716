#include "serve/store_silence.h"

namespace meadowthread {
namespace {

constexpr char kTopic[] = "silence";
// A view of the engines that nobody confirmed for this long: watches end after
// a second and a half at the latest, and peers tell it within one more.
constexpr std::int64_t kSilentMs = 3'000;

}  // namespace

StoreSilence::StoreSilence(DatagramHub& hub, const Clock& clock)
    : hub(hub), clock(clock) {
  hub.Register(kTopic, [this](std::string_view, const nlohmann::json&) {
    this->NotePeer();
  });
}

void StoreSilence::NoteOwn(bool is_stalled) {
  if (is_stalled && !this->is_stalled) {
    this->hub.SendToSome(kTopic, nlohmann::json::array(), this->hub.Peers());
  }
  this->is_stalled = is_stalled;
}

// A peer's word holds until somebody has read the store later than that: the
// store may turn away that peer alone.
bool StoreSilence::IsSilent(std::int64_t confirmed_unix_ms) const {
  const bool peer_is_newer = this->peer_told_unix_ms > confirmed_unix_ms;
  const std::int64_t age_ms = this->clock.WallMs() - confirmed_unix_ms;
  return this->is_stalled || peer_is_newer || age_ms > kSilentMs;
}

}  // namespace meadowthread
