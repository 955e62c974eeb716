#include <criterion/criterion.h>

#include "claims/tests/claim_fixture.h"

namespace meadowthread {
namespace {

/// @brief What becomes of an operation on its way to host 0.
enum class Way { kThere, kDead, kLost, kAnswerLost };

class FakeForwarder final : public ClaimForwarder {
 public:
  explicit FakeForwarder(ClaimFixture* fixture) : fixture(fixture) {}

  std::string PreferredHost(std::uint32_t) const override { return "0"; }

  void Forward(std::string_view, const ForwardedOp& op,
               const ForwardDone& done) override {
    ++this->sent;
    this->last = op;
    if (this->way == Way::kDead) {
      this->fixture->scheduler.After(
          1, [done] { done(absl::UnavailableError("no such host")); });
      return;
    }
    if (this->way == Way::kLost) {
      return;
    }
    const ForwardDone told =
        this->way == Way::kThere
            ? done
            : [](const absl::StatusOr<ForwardedAnswer>&) {};
    this->fixture->hosts[0]->TakeForwarded(op, told);
  }

  Way way = Way::kThere;
  int sent = 0;
  ForwardedOp last;

 private:
  ClaimFixture* fixture;
};

/// @brief Host 1 forwards to host 0; host 2 writes by itself.
struct ForwardFixture : ClaimFixture {
  ForwardFixture() : ClaimFixture(3) {
    ClaimTools tools;
    tools.store = &this->store;
    tools.scheduler = &this->scheduler;
    tools.clock = &this->clock;
    tools.settings = this->settings;
    this->hosts[1] =
        std::make_unique<StoreClaimService>(tools, &this->forwarder);
  }

  FakeForwarder forwarder{this};
};

const ClaimResult kResult = {200, "text/plain", "sent"};

Test(a_forwarded_claim, is_written_by_the_preferred_host) {
  ForwardFixture fixture;
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(1, key);
  fixture.Run(50);
  cr_assert(mine->Granted());
  cr_assert(fixture.Record(1, mine->Grant(), kResult).ok());
  for (const int host : {0, 1, 2}) {
    const auto retry = fixture.Claim(host, key);
    fixture.Run(50);
    cr_assert(retry->Replayed(kResult));
  }
  cr_assert(fixture.forwarder.sent == 3);
}

Test(a_forwarded_claim, is_written_from_here_where_the_way_fails) {
  for (const Way way : {Way::kDead, Way::kLost, Way::kAnswerLost}) {
    ForwardFixture fixture;
    const std::string key = fixture.Key("note");
    fixture.forwarder.way = way;
    const auto mine = fixture.Claim(1, key);
    fixture.Run(400);
    cr_assert(mine->Granted());
    cr_assert(fixture.Record(1, mine->Grant(), kResult).ok());
    const auto retry = fixture.Claim(2, key);
    fixture.Run(50);
    cr_assert(retry->Replayed(kResult));
  }
}

Test(a_forwarded_claim, is_given_back_by_its_sender_alone) {
  ForwardFixture fixture;
  const std::string key = fixture.Key("note");
  // given: host 0's clock runs ahead, so that it gives up long before host 1
  ManualClock ahead(kStartMs + 900);
  ClaimTools tools;
  tools.store = &fixture.store;
  tools.scheduler = &fixture.scheduler;
  tools.clock = &ahead;
  tools.settings = fixture.settings;
  fixture.hosts[0] = std::make_unique<StoreClaimService>(tools);
  fixture.forwarder.way = Way::kAnswerLost;
  const auto mine = fixture.Claim(1, key, "body", 1'000);
  fixture.RunUnanswered(5);
  fixture.store.Step();  // the head is read, the write goes out and lands
  fixture.RunUnanswered(100);
  // when: host 0 has given up, and host 1 falls back
  for (int i = 0; i < 10; ++i) {
    ahead.Advance(50);
    fixture.Run(50);
  }
  const auto other = fixture.Claim(2, key);
  fixture.Run(50);
  cr_assert(mine->Granted());
  cr_assert(other->Refused(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(a_forwarded_claim, that_is_granted_too_late_is_given_back) {
  ForwardFixture fixture;
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(1, key, "body", 100);
  fixture.RunUnanswered(5);
  fixture.store.Step();
  fixture.clock.Advance(150);
  fixture.store.Settle();
  cr_assert(mine->Refused(ErrorId::kDeadlinePassed, Outcome::kNotRun));
  fixture.Run(100);
  const auto retry = fixture.Claim(2, key);
  fixture.Run(50);
  cr_assert(retry->Granted());
}

Test(a_forwarded_claim, that_arrives_after_it_was_given_up_is_void) {
  ForwardFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.forwarder.way = Way::kDead;
  fixture.store.SetDown(true);
  const auto mine = fixture.Claim(1, key);
  fixture.Run(50);
  cr_assert(mine->Refused(ErrorId::kStoreUnavailable, Outcome::kNotRun));
  fixture.store.SetDown(false);
  fixture.Run(1'000);
  // then: its release stands, so that a copy that comes now holds nothing
  const int writes = fixture.store.WriteCalls();
  cr_assert(writes >= 1);
  ErrorId told = ErrorId::kInternal;
  fixture.hosts[0]->TakeForwarded(
      fixture.forwarder.last,
      [&told](const absl::StatusOr<ForwardedAnswer>& answer) {
        told = DetailOf(answer->claim.status()).id;
      });
  fixture.Run(50);
  cr_assert(told == ErrorId::kClaimUnsettled);
  cr_assert(fixture.store.WriteCalls() == writes);
  const auto retry = fixture.Claim(2, key);
  fixture.Run(50);
  cr_assert(retry->Granted());
}

Test(a_preferred_host, keeps_its_shards_when_another_goes) {
  const std::vector<std::string> all = {"a", "b", "c", "d"};
  const std::vector<std::string> fewer = {"a", "b", "d"};
  for (std::uint32_t shard = 0; shard < 64; ++shard) {
    const std::string_view host = RendezvousHost(shard, all);
    cr_assert(host == "c" || host == RendezvousHost(shard, fewer));
  }
  cr_assert(RendezvousHost(0, {}).empty());
}

}  // namespace
}  // namespace meadowthread
