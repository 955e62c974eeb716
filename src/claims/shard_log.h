#ifndef MEADOWTHREAD_CLAIMS_SHARD_LOG_H_
#define MEADOWTHREAD_CLAIMS_SHARD_LOG_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/scheduler.h"
#include "claims/claim_errors.h"
#include "claims/claim_types.h"
#include "claims/shard_op.h"
#include "claims/shard_view.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief The services and settings that claims depend on; the services must
/// outlive their users.
struct ClaimDependencies {
  ObjectStore* store = nullptr;
  Scheduler* scheduler = nullptr;
  const Clock* clock = nullptr;
  ClaimSettings settings;
};

/// @brief Writer of one shard's log of claims, which all hosts share through
/// the object API. Group commit: all queued operations go into one conditional
/// update of the head, and only one update is in flight at a time.
///
/// Objects: `claims/<shard>.head`, which is never deleted, and
/// `claims/<shard>.<n>`, the archived segments. A full head is sealed, then
/// archived, and only then replaced by the next segment (a roll), so that no
/// entry is lost (docs/design/claims.md).
class ShardLog final : public std::enable_shared_from_this<ShardLog> {
 public:
  ShardLog(const ClaimDependencies& dependencies, std::uint32_t shard);

  /// @brief Queues a claim, release or result for the next update.
  void Enqueue(ShardOp op);

 private:
  /// A time so long ago that the first write is not delayed.
  static constexpr std::int64_t kNever = -1'000'000;

  using OpPtr = std::shared_ptr<ShardOp>;

  /////////////////////
  // the queue       //
  /////////////////////
  bool RejectImmediately(const OpPtr& op);
  void OnTimeout(const OpPtr& op);
  void GiveUp(const OpPtr& op);
  void Withdraw(const OpPtr& op);
  void ApplyDecision(const OpPtr& op, OpDecision decision);
  void Grant(const OpPtr& op);
  void Reject(const OpPtr& op, ErrorId id);
  void RejectQueuedClaims(ErrorId id);
  void RejectWithoutRead(const OpPtr& op, ErrorId id);
  void ReplayResult(const OpPtr& op);
  void AnswerClaim(const OpPtr& op, const absl::StatusOr<ClaimAnswer>& answer);
  void AnswerWrite(const OpPtr& op, const absl::Status& status);

  /////////////////////
  // scheduling      //
  /////////////////////
  void ScheduleNextStep(std::int64_t delay_ms);
  void RunNextStep();
  std::int64_t WriteDelayMs() const;
  bool ReadMissingSegment();
  bool DecideAll(std::vector<OpPtr>* batch, bool* must_fence);
  bool IsFresh(const ShardOp& op) const;
  void RunCallbacks();

  /////////////////////
  // object API      //
  /////////////////////
  void ReadHead();
  void OnHeadRead(const absl::StatusOr<StoredObject>& answer,
                  std::uint64_t call);
  void ReadArchive(std::int64_t number);
  void OnArchiveRead(const absl::StatusOr<StoredObject>& answer,
                     std::int64_t number);
  void WriteHead(const std::vector<OpPtr>& batch);
  void OnHeadWritten(const absl::StatusOr<std::int64_t>& answer,
                     const std::vector<OpPtr>& batch,
                     const ClaimSegment& segment, std::uint64_t call);
  void WriteArchive();
  void ReadOldestSegment();
  void DeleteExpiredSegments();
  void OnStoreFailure(ErrorId id);
  ClaimSegment BuildNextHead(const std::vector<OpPtr>& batch) const;
  ClaimEntry BuildEntry(const ShardOp& op, std::int64_t last_ms) const;
  std::string HeadName() const;
  std::string ArchiveName(std::int64_t number) const;

  ClaimDependencies dependencies;
  std::uint32_t shard;
  ShardView view;
  std::list<OpPtr> queued_ops;
  std::vector<std::function<void()>> pending_callbacks;
  std::uint64_t store_calls = 0;  ///< number of store calls made so far
  /// Number of the last store call that showed the view to be current.
  std::uint64_t view_confirmed_call = 0;
  bool busy = false;            ///< a store call is in flight
  bool step_scheduled = false;  ///< RunNextStep is scheduled
  bool must_read_head = true;   ///< read the head before the next write
  std::int64_t backoff_ms = 0;  ///< the last delay after a failure
  bool store_failing = false;   ///< the last store call failed
  std::int64_t last_write_ms = kNever;
  /// Number of the last sealed head known to be archived.
  std::int64_t archived_segment = -1;
  /// Number of the last sealed head for which ReadOldestSegment has finished.
  std::int64_t expiry_checked_segment = -1;
  /// The oldest segments, all past the retention period: the next roll drops
  /// them.
  std::vector<ClaimSegment> expired_segments;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_SHARD_LOG_H_
