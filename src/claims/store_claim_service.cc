#include "claims/store_claim_service.h"

#include <algorithm>
#include <string>
#include <utility>

#include "claims/claim_key.h"
#include "store/store_errors.h"

namespace meadowthread {
namespace {

ClaimEntry EntryOf(const ClaimGrant& grant, EntryKind kind) {
  ClaimEntry entry;
  entry.kind = kind;
  entry.key_hash = grant.key_hash;
  entry.body_digest = grant.body_digest;
  entry.nonce = grant.nonce;
  return entry;
}

}  // namespace

/// @brief A large result on its way to its own object.
struct StoreClaimService::PendingResult {
  ClaimGrant grant;
  ClaimEntry entry;
  std::string value;
  std::int64_t limit_ms = 0;
  Done done;
};

StoreClaimService::StoreClaimService(const ClaimTools& tools,
                                     ClaimForwarder* forwarder)
    : tools(tools),
      router(std::make_shared<ClaimRouter>(tools, forwarder)),
      alive(std::make_shared<int>(0)) {}

void StoreClaimService::TakeForwarded(const ForwardedOp& op,
                                      const ClaimForwarder::ForwardDone& done) {
  if (op.shard >= this->router->Shards()) {
    // The sender's settings differ; it writes the log itself.
    this->AnswerLater(
        [done](const absl::StatusOr<ClaimAnswer>& end) { done(end.status()); },
        ClaimError(ErrorId::kStoreMalformed, "", -1));
    return;
  }
  ShardOp taken;
  taken.entry = op.entry;
  taken.span = op.span;
  taken.deadline_ms = op.deadline_ms;
  taken.limit_ms = op.limit_ms;
  taken.foreign = true;
  if (op.entry.kind == EntryKind::kClaim) {
    taken.claim_done = [done](const absl::StatusOr<ClaimAnswer>& claim) {
      done(ForwardedAnswer{claim, absl::OkStatus()});
    };
  } else {
    taken.done = [done](const absl::Status& status) {
      done(ForwardedAnswer{ClaimAnswer(ClaimGrant{}), status});
    };
  }
  this->router->Write(op.shard, std::move(taken));
}

void StoreClaimService::Claim(const ClaimRequest& request,
                              const ClaimDone& done) {
  const std::int64_t now_ms = this->tools.clock->WallMs();
  const ClaimSettings& settings = this->tools.settings;
  const absl::StatusOr<KeySpan> span = this->SpanOf(request);
  if (!span.ok()) {
    this->AnswerLater(done, span.status());
    return;
  }
  if (now_ms >= request.deadline_unix_ms) {
    this->AnswerLater(done, ClaimError(ErrorId::kDeadlinePassed, "", -1));
    return;
  }
  ShardOp op;
  op.entry.kind = EntryKind::kClaim;
  op.entry.key_hash = KeyHash(request.workspace, request.key);
  op.entry.body_digest = request.body_digest;
  op.entry.nonce = NewNonce();
  op.span = *span;
  op.deadline_ms = request.deadline_unix_ms;
  op.limit_ms =
      std::min(request.deadline_unix_ms, now_ms + settings.settle_limit_ms);
  op.claim_done = done;
  const std::uint32_t shard = ShardOf(request.workspace, request.key,
                                      static_cast<int>(this->router->Shards()));
  this->router->Route(shard, std::move(op));
}

absl::StatusOr<KeySpan> StoreClaimService::SpanOf(
    const ClaimRequest& request) const {
  KeySpan span;
  span.forgettable = request.key_form == KeyForm::kOpaque;
  if (span.forgettable) {
    return span;
  }
  const absl::StatusOr<std::int64_t> key_ms = KeyTimeMs(request.key);
  if (!key_ms.ok()) {
    return key_ms.status();
  }
  const ClaimSettings& settings = this->tools.settings;
  const std::int64_t now_ms = this->tools.clock->WallMs();
  const std::int64_t kept_ms = settings.retention_ms - settings.key_margin_ms;
  if (*key_ms < now_ms - kept_ms) {
    return ClaimError(ErrorId::kIdempotencyKeyExpired, "", -1);
  }
  if (*key_ms > now_ms + settings.key_margin_ms) {
    return ClaimError(ErrorId::kFieldInvalid, "", -1);
  }
  span.earliest_ms = *key_ms - settings.key_margin_ms;
  return span;
}

void StoreClaimService::RecordResult(const ClaimGrant& grant,
                                     const ClaimResult& result,
                                     const Done& done) {
  ClaimEntry entry = EntryOf(grant, EntryKind::kResult);
  const ClaimSettings& settings = this->tools.settings;
  if (result.body.size() <= settings.inline_result_bytes) {
    entry.result = result;
    this->Append(grant, entry, done);
    return;
  }
  if (result.body.size() > settings.max_result_bytes) {
    ErrorDetail detail;
    detail.id = ErrorId::kBodyTooLarge;
    detail.step = "claim.record";
    const absl::Status status =
        MakeError(absl::StatusCode::kOutOfRange, detail,
                  "the result is too large to be kept for retries");
    this->tools.scheduler->After(0, [done, status] { done(status); });
    return;
  }
  entry.result_apart = true;
  const auto pending = std::make_shared<PendingResult>();
  *pending = {grant, entry, EncodeResult(result),
              this->tools.clock->WallMs() + settings.record_limit_ms, done};
  this->PutResult(pending);
}

// The object is named by the nonce, which only this host writes: a conflict
// says that an earlier try of this very write stands.
void StoreClaimService::PutResult(
    const std::shared_ptr<PendingResult>& pending) {
  const std::weak_ptr<int> weak = this->alive;
  const auto on_put = [this, weak,
                       pending](const absl::StatusOr<std::int64_t>& answer) {
    if (weak.expired()) {
      return;
    }
    const ErrorId id =
        answer.ok() ? ErrorId::kInternal : DetailOf(answer.status()).id;
    if (answer.ok() || id == ErrorId::kStoreConflict) {
      this->Append(pending->grant, pending->entry, pending->done);
    } else if (this->tools.clock->WallMs() >= pending->limit_ms) {
      pending->done(answer.status());
    } else {
      this->tools.scheduler->After(this->tools.settings.retry_ms,
                                   [this, weak, pending] {
                                     if (!weak.expired()) {
                                       this->PutResult(pending);
                                     }
                                   });
    }
  };
  this->tools.store->Put("results", NonceText(pending->grant.nonce),
                         pending->value, 0, on_put);
}

void StoreClaimService::Release(const ClaimGrant& grant, const Done& done) {
  this->Append(grant, EntryOf(grant, EntryKind::kRelease), done);
}

void StoreClaimService::Append(const ClaimGrant& grant, const ClaimEntry& entry,
                               const Done& done) {
  ShardOp op;
  op.entry = entry;
  op.limit_ms =
      this->tools.clock->WallMs() + this->tools.settings.record_limit_ms;
  op.done = done;
  this->router->Route(grant.shard, std::move(op));
}

std::string_view StoreClaimService::Guarantee(KeyForm form) const {
  return form == KeyForm::kTimed
             ? "at most once; a key older than the retention is refused"
             : "at most once within the retention; afterwards the key is "
               "taken for a new one";
}

void StoreClaimService::AnswerLater(const ClaimDone& done,
                                    const absl::Status& status) {
  this->tools.scheduler->After(0, [done, status] { done(status); });
}

}  // namespace meadowthread
