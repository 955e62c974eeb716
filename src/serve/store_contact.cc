#include "serve/store_contact.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kAskTopic[] = "store-asked";
constexpr char kTellTopic[] = "store-answers";
// Asked at first: all would be asked by all hosts whenever a server leaves.
constexpr std::size_t kFirstAsked = 2;
// A word comes back within some milliseconds; the fleet's hosts are few.
constexpr std::int64_t kAskAgainMs = 60;
// Longer ago than any absence that still matters, whatever a datagram says.
constexpr std::int64_t kMostMs = 3'600'000;

}  // namespace

StoreContact::StoreContact(DatagramHub& hub, const Clock& clock,
                           Scheduler& scheduler, StoreOutageTracker& absence,
                           std::mt19937_64& random, Watchers watchers)
    : hub(hub),
      clock(clock),
      scheduler(scheduler),
      absence(absence),
      random(random),
      watchers(std::move(watchers)) {
  hub.Register(kAskTopic, [this](std::string_view host, const json&) {
    this->TellTo(host);
  });
  hub.Register(kTellTopic, [this](std::string_view host, const json& payload) {
    this->Take(host, payload);
  });
}

void StoreContact::Ask(const IsOpen& is_open) {
  if (std::exchange(this->is_asking, true)) {
    return;
  }
  this->AskSome(kFirstAsked);
  this->scheduler.After(kAskAgainMs, this->life.Guarded([this, is_open] {
    this->is_asking = false;
    if (is_open()) {
      this->AskSome(this->hub.Peers());
    }
  }));
}

void StoreContact::AskSome(std::size_t count) {
  const std::vector<std::string> all = this->watchers();
  std::vector<std::string> asked;
  std::sample(all.begin(), all.end(), std::back_inserter(asked), count,
              this->random);
  for (const std::string& host : asked) {
    this->hub.SendToOne(kAskTopic, json::array(), host);
  }
}

// Ages, as clocks of hosts differ.
void StoreContact::TellTo(std::string_view host) {
  const std::optional<StoreUptime>& own = this->absence.Own();
  if (own.has_value()) {
    const std::int64_t now_ms = this->clock.MonotonicMs();
    this->hub.SendToOne(
        kTellTopic, json::array({now_ms - own->from_ms, now_ms - own->to_ms}),
        host);
  }
}

void StoreContact::Take(std::string_view host, const json& payload) {
  const bool fits = payload.is_array() && payload.size() == 2 &&
                    payload[0].is_number_integer() &&
                    payload[1].is_number_integer();
  if (!fits) {
    LogLine("store-answers-malformed").Add("host", host).WriteImportant();
    return;
  }
  const auto from_ago_ms =
      std::clamp<std::int64_t>(payload[0].get<std::int64_t>(), 0, kMostMs);
  const auto to_ago_ms =
      std::clamp<std::int64_t>(payload[1].get<std::int64_t>(), 0, from_ago_ms);
  LogLine("store-answers")
      .Add("host", host)
      .Add("from_ago_ms", from_ago_ms)
      .Add("to_ago_ms", to_ago_ms)
      .Write();
  const std::int64_t now_ms = this->clock.MonotonicMs();
  this->absence.RecordPeerUptime({now_ms - from_ago_ms, now_ms - to_ago_ms});
  if (this->word) {
    this->word();
  }
}

}  // namespace meadowthread
