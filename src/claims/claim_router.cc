#include "claims/claim_router.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace meadowthread {

/// @brief An operation that was forwarded to the preferred host.
struct ClaimRouter::ForwardAttempt {
  std::uint32_t shard = 0;
  ShardOp op;
  bool finished = false;  ///< answered, or handed to the local log
};

ClaimRouter::ClaimRouter(const ClaimDependencies& dependencies,
                         ClaimForwarder* forwarder)
    : dependencies(dependencies), forwarder(forwarder) {
  for (int shard = 0; shard < std::max(dependencies.settings.shards, 1);
       ++shard) {
    this->logs.push_back(std::make_shared<ShardLog>(
        dependencies, static_cast<std::uint32_t>(shard)));
  }
}

void ClaimRouter::WriteLocally(std::uint32_t shard, ShardOp op) {
  this->logs[shard]->Enqueue(std::move(op));
}

void ClaimRouter::Route(std::uint32_t shard, ShardOp op) {
  const std::string host =
      this->forwarder == nullptr ? "" : this->forwarder->PreferredHost(shard);
  if (host.empty()) {
    this->WriteLocally(shard, std::move(op));
    return;
  }
  const auto attempt = std::make_shared<ForwardAttempt>();
  attempt->shard = shard;
  attempt->op = std::move(op);
  const ForwardedOp forwarded = {shard, attempt->op.entry,
                                 attempt->op.search_range,
                                 attempt->op.deadline_ms, attempt->op.limit_ms};
  const std::weak_ptr<ClaimRouter> weak = this->weak_from_this();
  this->dependencies.scheduler->After(
      this->dependencies.settings.forward_timeout_ms, [weak, attempt] {
        const auto self = weak.lock();
        if (self && !attempt->finished) {
          self->FallBackToLocalWrite(attempt);
        }
      });
  this->forwarder->Forward(
      host, forwarded,
      [weak, attempt](const absl::StatusOr<ForwardedAnswer>& answer) {
        const auto self = weak.lock();
        if (self && !attempt->finished) {
          self->OnAnswer(attempt, answer);
        }
      });
}

// Whether the answer is independent of the host that gave it. Failures to read
// or write the log are not, as this host may succeed where the other failed.
bool ClaimRouter::IsFinal(const absl::StatusOr<ForwardedAnswer>& answer) {
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

void ClaimRouter::OnAnswer(const std::shared_ptr<ForwardAttempt>& attempt,
                           const absl::StatusOr<ForwardedAnswer>& answer) {
  if (!IsFinal(answer)) {
    this->FallBackToLocalWrite(attempt);
    return;
  }
  attempt->finished = true;
  if (attempt->op.entry.kind == EntryKind::kClaim) {
    this->CompleteClaim(attempt, answer->claim);
  } else if (attempt->op.done) {
    attempt->op.done(answer->recorded);
  }
}

// A grant that arrives after the deadline is released, as its request was not
// sent.
void ClaimRouter::CompleteClaim(const std::shared_ptr<ForwardAttempt>& attempt,
                                const absl::StatusOr<ClaimAnswer>& answer) {
  const std::int64_t now_ms = this->dependencies.clock->WallMs();
  const bool granted =
      answer.ok() && std::holds_alternative<ClaimGrant>(*answer);
  if (!granted || now_ms < attempt->op.deadline_ms) {
    attempt->op.claim_done(answer);
    return;
  }
  ShardOp release = attempt->op;
  release.claim_done = nullptr;
  release.forwarded = true;
  release.withdrawn = true;
  this->WriteLocally(attempt->shard, std::move(release));
  attempt->op.claim_done(ClaimError(ErrorId::kDeadlinePassed, "", -1));
}

// The preferred host may have written the operation or may still write it. Both
// hosts use the same nonce, so reading the log shows whether it was written. A
// claim can be given up only by writing a release.
void ClaimRouter::FallBackToLocalWrite(
    const std::shared_ptr<ForwardAttempt>& attempt) {
  attempt->finished = true;
  attempt->op.forwarded = true;
  this->WriteLocally(attempt->shard, std::move(attempt->op));
}

}  // namespace meadowthread
