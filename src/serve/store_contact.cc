#include "serve/store_contact.h"

#include <algorithm>
#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kAskTopic[] = "store-asked";
constexpr char kTellTopic[] = "store-answers";
// Longer ago than any absence that still matters, whatever a datagram says.
constexpr std::int64_t kMostMs = 3'600'000;

}  // namespace

StoreContact::StoreContact(DatagramHub& hub, const Clock& clock,
                           StoreAbsence& absence,
                           std::function<std::vector<std::string>()> watchers)
    : hub(hub), clock(clock), absence(absence), watchers(std::move(watchers)) {
  hub.Register(kAskTopic, [this](std::string_view host, const json&) {
    this->TellTo(host);
  });
  hub.Register(kTellTopic, [this](std::string_view host, const json& payload) {
    this->Take(host, payload);
  });
}

void StoreContact::NoteAnswer() {
  if (this->absence.NoteAnswer(this->clock.MonotonicMs())) {
    this->Ask();
  }
}

void StoreContact::NoteSign() {
  if (this->absence.NoteSign(this->clock.MonotonicMs())) {
    this->Ask();
  }
}

void StoreContact::Ask() {
  LogLine("store-back").WriteImportant();
  for (const std::string& host : this->watchers()) {
    this->hub.SendToOne(kAskTopic, json::array(), host);
  }
}

void StoreContact::TellTo(std::string_view host) {
  const std::optional<std::int64_t> for_ms =
      this->absence.AnsweredForMs(this->clock.MonotonicMs());
  if (for_ms.has_value()) {
    this->hub.SendToOne(kTellTopic, json::array({*for_ms}), host);
  }
}

void StoreContact::Take(std::string_view host, const json& payload) {
  const bool fits = payload.is_array() && payload.size() == 1 &&
                    payload[0].is_number_unsigned();
  if (!fits) {
    LogLine("store-answers-malformed").Add("host", host).WriteImportant();
    return;
  }
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const std::optional<std::int64_t> before = this->absence.BackForMs(now_ms);
  this->absence.NoteAnsweredFor(
      std::clamp<std::int64_t>(payload[0].get<std::int64_t>(), 0, kMostMs),
      now_ms);
  const std::optional<std::int64_t> after = this->absence.BackForMs(now_ms);
  if (before == after) {
    return;
  }
  LogLine("store-back")
      .Add("ms_ago", *after)
      .Add("by_word_of", host)
      .WriteImportant();
  if (this->corrected) {
    this->corrected();
  }
}

}  // namespace meadowthread
