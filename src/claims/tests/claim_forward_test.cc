#include <criterion/criterion.h>

#include "claims/tests/claim_fixture.h"

namespace meadowthread {
namespace {

/// @brief The fault injected while an operation is forwarded to host 0.
enum class ForwardFault { kNone, kHostDown, kRequestLost, kAnswerLost };

/// @brief Forwards every operation to host 0.
class FakeForwarder final : public ClaimForwarder {
 public:
  explicit FakeForwarder(ClaimFixture* fixture) : fixture(fixture) {}

  std::string PreferredHost(std::uint32_t) const override { return "0"; }

  void Forward(std::string_view, const ForwardedOp& op,
               const ForwardDone& done) override {
    ++this->sent;
    this->last = op;
    if (this->fault == ForwardFault::kHostDown) {
      this->fixture->scheduler.After(
          1, [done] { done(absl::UnavailableError("no such host")); });
      return;
    }
    if (this->fault == ForwardFault::kRequestLost) {
      return;
    }
    const ForwardDone reply =
        this->fault == ForwardFault::kNone
            ? done
            : [](const absl::StatusOr<ForwardedAnswer>&) {};
    this->fixture->hosts[0]->ReceiveForwardedOp(op, reply);
  }

  ForwardFault fault = ForwardFault::kNone;
  int sent = 0;
  ForwardedOp last;

 private:
  ClaimFixture* fixture;
};

/// @brief Host 1 forwards to host 0; host 2 writes the log itself.
struct ForwardFixture : ClaimFixture {
  ForwardFixture() : ClaimFixture(3) {
    ClaimDependencies dependencies;
    dependencies.store = &this->store;
    dependencies.scheduler = &this->scheduler;
    dependencies.clock = &this->clock;
    dependencies.settings = this->settings;
    this->hosts[1] =
        std::make_unique<StoreClaimService>(dependencies, &this->forwarder);
  }

  FakeForwarder forwarder{this};
};

ClaimResult Result() { return {200, "text/plain", "sent"}; }

Test(a_forwarded_claim, is_written_by_the_preferred_host) {
  ForwardFixture fixture;
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(1, key);
  fixture.Run(50);
  cr_assert(mine->Granted());
  cr_assert(fixture.Record(1, mine->Grant(), Result()).ok());
  for (const int host : {0, 1, 2}) {
    const auto retry = fixture.Claim(host, key);
    fixture.Run(50);
    cr_assert(retry->Replayed(Result()));
  }
  cr_assert(fixture.forwarder.sent == 3);
}

Test(a_forwarded_claim, is_written_by_its_sender_if_forwarding_fails) {
  for (const ForwardFault fault :
       {ForwardFault::kHostDown, ForwardFault::kRequestLost,
        ForwardFault::kAnswerLost}) {
    ForwardFixture fixture;
    const std::string key = fixture.Key("note");
    fixture.forwarder.fault = fault;
    const auto mine = fixture.Claim(1, key);
    fixture.Run(400);
    cr_assert(mine->Granted());
    cr_assert(fixture.Record(1, mine->Grant(), Result()).ok());
    const auto retry = fixture.Claim(2, key);
    fixture.Run(50);
    cr_assert(retry->Replayed(Result()));
  }
}

Test(a_forwarded_claim, is_released_by_its_sender_only) {
  ForwardFixture fixture;
  const std::string key = fixture.Key("note");
  // given: host 0's clock is ahead, so that it times out long before host 1
  ManualClock ahead(kStartMs + 900);
  ClaimDependencies dependencies;
  dependencies.store = &fixture.store;
  dependencies.scheduler = &fixture.scheduler;
  dependencies.clock = &ahead;
  dependencies.settings = fixture.settings;
  fixture.hosts[0] = std::make_unique<StoreClaimService>(dependencies);
  fixture.forwarder.fault = ForwardFault::kAnswerLost;
  const auto mine = fixture.Claim(1, key, "body", 1'000);
  fixture.RunTimersOnly(5);
  fixture.store.Step();  // the head is read; the write is sent and applied
  fixture.RunTimersOnly(100);
  // when: host 0 times out, and host 1 falls back to writing the log
  for (int i = 0; i < 10; ++i) {
    ahead.Advance(50);
    fixture.Run(50);
  }
  const auto other = fixture.Claim(2, key);
  fixture.Run(50);
  cr_assert(mine->Granted());
  cr_assert(other->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(a_forwarded_claim, that_is_granted_after_its_deadline_is_released) {
  ForwardFixture fixture;
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(1, key, "body", 100);
  fixture.RunTimersOnly(5);
  fixture.store.Step();
  fixture.clock.Advance(150);
  fixture.store.Settle();
  cr_assert(mine->Rejected(ErrorId::kDeadlinePassed, Outcome::kNotRun));
  fixture.Run(100);
  const auto retry = fixture.Claim(2, key);
  fixture.Run(50);
  cr_assert(retry->Granted());
}

Test(a_forwarded_claim, that_arrives_after_its_release_is_void) {
  ForwardFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.forwarder.fault = ForwardFault::kHostDown;
  fixture.store.SetDown(true);
  const auto mine = fixture.Claim(1, key);
  fixture.Run(50);
  cr_assert(mine->Rejected(ErrorId::kStoreUnavailable, Outcome::kNotRun));
  fixture.store.SetDown(false);
  fixture.Run(1'000);
  // then: the release is in the log, so a copy of the claim that arrives now
  // does not take the key
  const int writes = fixture.store.WriteCalls();
  cr_assert(writes >= 1);
  ErrorId answer_id = ErrorId::kInternal;
  fixture.hosts[0]->ReceiveForwardedOp(
      fixture.forwarder.last,
      [&answer_id](const absl::StatusOr<ForwardedAnswer>& answer) {
        answer_id = DetailOf(answer->claim.status()).id;
      });
  fixture.Run(50);
  cr_assert(answer_id == ErrorId::kClaimUnsettled);
  cr_assert(fixture.store.WriteCalls() == writes);
  const auto retry = fixture.Claim(2, key);
  fixture.Run(50);
  cr_assert(retry->Granted());
}

Test(a_preferred_host, keeps_its_shards_when_another_host_is_removed) {
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
