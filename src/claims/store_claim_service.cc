#include "claims/store_claim_service.h"

#include <algorithm>
#include <string>
#include <utility>

#include "claims/claim_key.h"
#include "store/store_errors.h"

namespace meadowthread {
namespace {

ClaimEntry MakeEntry(const ClaimGrant& grant, EntryKind kind) {
  ClaimEntry entry;
  entry.kind = kind;
  entry.key_hash = grant.key_hash;
  entry.body_digest = grant.body_digest;
  entry.nonce = grant.nonce;
  return entry;
}

}  // namespace

/// @brief A large result that is being written to its own object.
struct StoreClaimService::PendingResult {
  ClaimGrant grant;
  ClaimEntry entry;
  std::string value;
  std::int64_t limit_ms = 0;
  Done done;
};

StoreClaimService::StoreClaimService(const ClaimDependencies& dependencies,
                                     ClaimForwarder* forwarder)
    : dependencies(dependencies),
      router(std::make_shared<ClaimRouter>(dependencies, forwarder)),
      alive(std::make_shared<int>(0)) {}

void StoreClaimService::ReceiveForwardedOp(
    const ForwardedOp& op, const ClaimForwarder::ForwardDone& done) {
  if (op.shard >= this->router->Shards()) {
    // The sender is configured with more shards than this host. When it gets
    // this error, the sender writes the log itself.
    this->FailLater(
        [done](const absl::StatusOr<ClaimAnswer>& end) { done(end.status()); },
        ClaimError(ErrorId::kStoreMalformed, "", -1));
    return;
  }
  ShardOp received;
  received.entry = op.entry;
  received.search_range = op.search_range;
  received.deadline_ms = op.deadline_ms;
  received.limit_ms = op.limit_ms;
  received.from_other_host = true;
  if (op.entry.kind == EntryKind::kClaim) {
    received.claim_done = [done](const absl::StatusOr<ClaimAnswer>& claim) {
      done(ForwardedAnswer{claim, absl::OkStatus()});
    };
  } else {
    received.done = [done](const absl::Status& status) {
      done(ForwardedAnswer{ClaimAnswer(ClaimGrant{}), status});
    };
  }
  this->router->WriteLocally(op.shard, std::move(received));
}

void StoreClaimService::Claim(const ClaimRequest& request,
                              const ClaimDone& done) {
  const std::int64_t now_ms = this->dependencies.clock->WallMs();
  const ClaimSettings& settings = this->dependencies.settings;
  const absl::StatusOr<KeySearchRange> search_range =
      this->SearchRangeFor(request);
  if (!search_range.ok()) {
    this->FailLater(done, search_range.status());
    return;
  }
  if (now_ms >= request.deadline_unix_ms) {
    this->FailLater(done, ClaimError(ErrorId::kDeadlinePassed, "", -1));
    return;
  }
  ShardOp op;
  op.entry.kind = EntryKind::kClaim;
  op.entry.key_hash = KeyHash(request.workspace, request.key);
  op.entry.body_digest = request.body_digest;
  op.entry.nonce = NewNonce();
  op.search_range = *search_range;
  op.deadline_ms = request.deadline_unix_ms;
  op.limit_ms =
      std::min(request.deadline_unix_ms, now_ms + settings.claim_timeout_ms);
  op.claim_done = done;
  const std::uint32_t shard = ShardOf(request.workspace, request.key,
                                      static_cast<int>(this->router->Shards()));
  this->router->Route(shard, std::move(op));
}

absl::StatusOr<KeySearchRange> StoreClaimService::SearchRangeFor(
    const ClaimRequest& request) const {
  KeySearchRange search_range;
  search_range.forgettable = request.key_form == KeyForm::kOpaque;
  if (search_range.forgettable) {
    return search_range;
  }
  const absl::StatusOr<std::int64_t> key_ms = KeyTimeMs(request.key);
  if (!key_ms.ok()) {
    return key_ms.status();
  }
  const ClaimSettings& settings = this->dependencies.settings;
  const std::int64_t now_ms = this->dependencies.clock->WallMs();
  const std::int64_t kept_ms =
      settings.retention_ms - settings.clock_skew_margin_ms;
  if (*key_ms < now_ms - kept_ms) {
    return ClaimError(ErrorId::kIdempotencyKeyExpired, "", -1);
  }
  if (*key_ms > now_ms + settings.clock_skew_margin_ms) {
    return ClaimError(ErrorId::kFieldInvalid, "", -1);
  }
  search_range.earliest_ms = *key_ms - settings.clock_skew_margin_ms;
  return search_range;
}

void StoreClaimService::RecordResult(const ClaimGrant& grant,
                                     const ClaimResult& result,
                                     const Done& done) {
  ClaimEntry entry = MakeEntry(grant, EntryKind::kResult);
  const ClaimSettings& settings = this->dependencies.settings;
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
                  "the result is too large to be stored for retries");
    this->dependencies.scheduler->After(0, [done, status] { done(status); });
    return;
  }
  entry.result_stored_separately = true;
  const auto pending = std::make_shared<PendingResult>();
  *pending = {grant, entry, EncodeResult(result),
              this->dependencies.clock->WallMs() + settings.record_timeout_ms,
              done};
  this->PutResult(pending);
}

// The object's name is the nonce, and only this host writes it: a conflict
// means that an earlier attempt of this write succeeded.
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
    } else if (this->dependencies.clock->WallMs() >= pending->limit_ms) {
      pending->done(answer.status());
    } else {
      this->dependencies.scheduler->After(this->dependencies.settings.retry_ms,
                                          [this, weak, pending] {
                                            if (!weak.expired()) {
                                              this->PutResult(pending);
                                            }
                                          });
    }
  };
  this->dependencies.store->Put("results", EncodeNonce(pending->grant.nonce),
                                pending->value, 0, on_put);
}

void StoreClaimService::Release(const ClaimGrant& grant, const Done& done) {
  this->Append(grant, MakeEntry(grant, EntryKind::kRelease), done);
}

void StoreClaimService::Append(const ClaimGrant& grant, const ClaimEntry& entry,
                               const Done& done) {
  ShardOp op;
  op.entry = entry;
  op.limit_ms = this->dependencies.clock->WallMs() +
                this->dependencies.settings.record_timeout_ms;
  op.done = done;
  this->router->Route(grant.shard, std::move(op));
}

std::string_view StoreClaimService::Guarantee(KeyForm form) const {
  return form == KeyForm::kTimed
             ? "at most once; a key older than the retention period is rejected"
             : "at most once within the retention period; afterwards the key "
               "is treated as a new one";
}

void StoreClaimService::FailLater(const ClaimDone& done,
                                  const absl::Status& status) {
  this->dependencies.scheduler->After(0, [done, status] { done(status); });
}

}  // namespace meadowthread
