// What hosts tell each other of servers in backoff and of leaving ones.
#include "permits/notice_gossip.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace meadowthread {
namespace {

struct RecordingChannel final : public GossipChannel {
  void SendToRandom(std::string_view, const nlohmann::json& payload,
                    std::size_t) override {
    this->sent.push_back(payload);
  }
  void SendToHost(std::string_view, const nlohmann::json&,
                  std::string_view) override {}

  std::vector<nlohmann::json> sent;
};

struct Fixture {
  ManualClock clock{1'790'000'000'000};
  RequestedBackoffs backoffs;
  RecordingChannel channel;
  std::vector<std::string> leaving;
  NoticeGossip gossip{
      this->backoffs, this->channel, this->clock,
      [this](std::string_view server) { this->leaving.emplace_back(server); }};
};

Test(a_rest, is_told_once_and_passed_on_where_it_is_news) {
  Fixture fixture;
  const std::int64_t now_ms = fixture.clock.MonotonicMs();
  fixture.backoffs.Note("s-1", 3'000, now_ms);
  fixture.backoffs.Note("s-1", 3'000, now_ms + 10);
  cr_assert(fixture.channel.sent ==
            std::vector<nlohmann::json>{nlohmann::json::array({"s-1", 3'000})});
  fixture.gossip.OnNotice("h-2", nlohmann::json::array({"s-1", 2'990}));
  cr_assert(fixture.channel.sent.size() == 1, "known");
  fixture.gossip.OnNotice("h-2", nlohmann::json::array({"s-2", 2'000}));
  fixture.gossip.OnNotice("h-3", nlohmann::json::array({"s-2", 2'000}));
  cr_assert(fixture.channel.sent.size() == 2);
  cr_assert(fixture.backoffs.IsFull("s-2", now_ms));
  cr_assert(fixture.backoffs.RemainingMs("s-2", now_ms) == 0,
            "this host was not asked");
}

Test(a_leaving_server, is_told_to_the_receiver) {
  Fixture fixture;
  fixture.gossip.TellLeaving("s-1");
  fixture.gossip.OnNotice("h-2", fixture.channel.sent.at(0));
  cr_assert(fixture.leaving == std::vector<std::string>{"s-1"});
}

Test(a_malformed_notice, changes_nothing) {
  Fixture fixture;
  for (const nlohmann::json& payload :
       {nlohmann::json(), nlohmann::json::array({"s-1"}),
        nlohmann::json::array({1, 2}), nlohmann::json::array({"s-1", "2"}),
        nlohmann::json::array({"s-1", -7}),
        nlohmann::json::array({"s-1", 0})}) {
    fixture.gossip.OnNotice("h-2", payload);
  }
  fixture.gossip.OnNotice("h-2",
                          nlohmann::json::array({"s-2", 9'000'000'000'000}));
  cr_assert(fixture.leaving.empty() && fixture.channel.sent.size() == 1);
  cr_assert(!fixture.backoffs.IsFull("s-1", fixture.clock.MonotonicMs()));
}

}  // namespace
}  // namespace meadowthread
