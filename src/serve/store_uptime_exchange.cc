#include "serve/store_uptime_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kQueryTopic[] = "store-asked";
constexpr char kReplyTopic[] = "store-answers";
// Number of watchers asked first. If all of them were asked at once, every host
// would ask every watcher whenever a server leaves.
constexpr std::size_t kInitialQueries = 2;
// Delay until all watchers are asked; replies arrive within a few milliseconds.
constexpr std::int64_t kSecondQueryMs = 60;
// Upper bound for the ages in datagrams. A store outage that was longer ago has
// no effect any more.
constexpr std::int64_t kMaxAgeMs = 3'600'000;

}  // namespace

StoreUptimeExchange::StoreUptimeExchange(DatagramHub& hub, const Clock& clock,
                                         Scheduler& scheduler,
                                         StoreOutageTracker& outages,
                                         std::mt19937_64& random,
                                         Watchers watchers)
    : hub(hub),
      clock(clock),
      scheduler(scheduler),
      outages(outages),
      random(random),
      watchers(std::move(watchers)) {
  hub.Register(kQueryTopic, [this](std::string_view host, const json&) {
    this->SendReply(host);
  });
  hub.Register(kReplyTopic, [this](std::string_view host, const json& payload) {
    this->OnReply(host, payload);
  });
}

void StoreUptimeExchange::AskPeers(const IsUndecided& is_undecided) {
  if (std::exchange(this->is_asking, true)) {
    return;
  }
  this->SendQueries(kInitialQueries);
  this->scheduler.After(kSecondQueryMs,
                        this->life.Guarded([this, is_undecided] {
                          this->is_asking = false;
                          if (is_undecided()) {
                            this->SendQueries(this->hub.Peers());
                          }
                        }));
}

void StoreUptimeExchange::SendQueries(std::size_t count) {
  const std::vector<std::string> all = this->watchers();
  std::vector<std::string> asked;
  std::sample(all.begin(), all.end(), std::back_inserter(asked), count,
              this->random);
  for (const std::string& host : asked) {
    this->hub.SendToHost(kQueryTopic, json::array(), host);
  }
}

// Contains ages instead of times, as the clocks of hosts differ.
json StoreUptimeExchange::OwnUptime() const {
  const std::optional<StoreUptime>& own = this->outages.Own();
  if (!own.has_value()) {
    return json::array();
  }
  const std::int64_t now_ms = this->clock.MonotonicMs();
  return json::array({now_ms - own->from_ms, now_ms - own->to_ms});
}

void StoreUptimeExchange::SendReply(std::string_view host) {
  const json uptime = this->OwnUptime();
  if (!uptime.empty()) {
    this->hub.SendToHost(kReplyTopic, uptime, host);
  }
}

void StoreUptimeExchange::OnReply(std::string_view host, const json& payload) {
  if (!this->RecordUptime(host, payload)) {
    return;
  }
  LogLine("store-answers")
      .Add("host", host)
      .Add("from_ago_ms", payload[0].get<std::int64_t>())
      .Add("to_ago_ms", payload[1].get<std::int64_t>())
      .Write();
  if (this->uptime_callback) {
    this->uptime_callback();
  }
}

bool StoreUptimeExchange::RecordUptime(std::string_view host,
                                       const json& payload) {
  if (payload.is_array() && payload.empty()) {
    return false;
  }
  const bool fits = payload.is_array() && payload.size() == 2 &&
                    payload[0].is_number_integer() &&
                    payload[1].is_number_integer();
  if (!fits) {
    LogLine("store-answers-malformed").Add("host", host).WriteImportant();
    return false;
  }
  const auto from_ago_ms =
      std::clamp<std::int64_t>(payload[0].get<std::int64_t>(), 0, kMaxAgeMs);
  const auto to_ago_ms =
      std::clamp<std::int64_t>(payload[1].get<std::int64_t>(), 0, from_ago_ms);
  const std::int64_t now_ms = this->clock.MonotonicMs();
  this->outages.RecordPeerUptime({now_ms - from_ago_ms, now_ms - to_ago_ms});
  return true;
}

}  // namespace meadowthread
