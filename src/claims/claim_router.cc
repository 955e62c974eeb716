#include "claims/claim_router.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace meadowthread {

/// @brief An operation that was sent to the preferred host.
struct ClaimRouter::Sent {
  std::uint32_t shard = 0;
  ShardOp op;
  bool over = false;  ///< answered, or written from here
};

ClaimRouter::ClaimRouter(const ClaimTools& tools, ClaimForwarder* forwarder)
    : tools(tools), forwarder(forwarder) {
  for (int shard = 0; shard < std::max(tools.settings.shards, 1); ++shard) {
    this->logs.push_back(
        std::make_shared<ShardLog>(tools, static_cast<std::uint32_t>(shard)));
  }
}

void ClaimRouter::Write(std::uint32_t shard, ShardOp op) {
  this->logs[shard]->Enqueue(std::move(op));
}

void ClaimRouter::Route(std::uint32_t shard, ShardOp op) {
  const std::string host =
      this->forwarder == nullptr ? "" : this->forwarder->PreferredHost(shard);
  if (host.empty()) {
    this->Write(shard, std::move(op));
    return;
  }
  const auto sent = std::make_shared<Sent>();
  sent->shard = shard;
  sent->op = std::move(op);
  const ForwardedOp forwarded = {shard, sent->op.entry, sent->op.span,
                                 sent->op.deadline_ms, sent->op.limit_ms};
  const std::weak_ptr<ClaimRouter> weak = this->weak_from_this();
  this->tools.scheduler->After(this->tools.settings.forward_limit_ms,
                               [weak, sent] {
                                 const auto self = weak.lock();
                                 if (self && !sent->over) {
                                   self->FallBack(sent);
                                 }
                               });
  this->forwarder->Forward(
      host, forwarded,
      [weak, sent](const absl::StatusOr<ForwardedAnswer>& answer) {
        const auto self = weak.lock();
        if (self && !sent->over) {
          self->OnAnswer(sent, answer);
        }
      });
}

// What is final wherever it was found: all but troubles with the log.
bool ClaimRouter::IsVerdict(const absl::StatusOr<ForwardedAnswer>& answer) {
  if (!answer.ok() || !answer->recorded.ok()) {
    return false;
  }
  if (answer->claim.ok()) {
    return true;
  }
  const ErrorId id = DetailOf(answer->claim.status()).id;
  return id == ErrorId::kClaimHeld || id == ErrorId::kIdempotencyKeyReused ||
         id == ErrorId::kIdempotencyKeyExpired;
}

void ClaimRouter::OnAnswer(const std::shared_ptr<Sent>& sent,
                           const absl::StatusOr<ForwardedAnswer>& answer) {
  if (!IsVerdict(answer)) {
    this->FallBack(sent);
    return;
  }
  sent->over = true;
  if (sent->op.entry.kind == EntryKind::kClaim) {
    this->TakeClaim(sent, answer->claim);
  } else if (sent->op.done) {
    sent->op.done(answer->recorded);
  }
}

// A grant that comes too late is given back, as nothing was sent.
void ClaimRouter::TakeClaim(const std::shared_ptr<Sent>& sent,
                            const absl::StatusOr<ClaimAnswer>& answer) {
  const std::int64_t now_ms = this->tools.clock->WallMs();
  const bool granted =
      answer.ok() && std::holds_alternative<ClaimGrant>(*answer);
  if (!granted || now_ms < sent->op.deadline_ms) {
    sent->op.claim_done(answer);
    return;
  }
  ShardOp given_back = sent->op;
  given_back.claim_done = nullptr;
  given_back.forwarded = true;
  given_back.withdrawn = true;
  this->Write(sent->shard, std::move(given_back));
  sent->op.claim_done(ClaimError(ErrorId::kDeadlinePassed, "", -1));
}

// The preferred host may have written it, or may yet: the nonce is the same, so
// that reading the log tells, and giving up takes a release.
void ClaimRouter::FallBack(const std::shared_ptr<Sent>& sent) {
  sent->over = true;
  sent->op.forwarded = true;
  this->Write(sent->shard, std::move(sent->op));
}

}  // namespace meadowthread
