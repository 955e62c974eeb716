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

/// @brief What a shard's log works with; all of it outlives the log.
struct ClaimTools {
  ObjectStore* store = nullptr;
  Scheduler* scheduler = nullptr;
  const Clock* clock = nullptr;
  ClaimSettings settings;
};

/// @brief One shard's log at the object API: everything that waits goes into
/// one conditional update, of which one is in flight at a time.
///
/// Objects: `claims/<shard>.head`, never deleted, and `claims/<shard>.<n>`, the
/// sealed segments. docs/design/claims.md tells why no entry is ever lost.
class ShardLog final : public std::enable_shared_from_this<ShardLog> {
 public:
  ShardLog(const ClaimTools& tools, std::uint32_t shard);

  /// @brief Lets a claim, release or result wait for the next update.
  void Enqueue(ShardOp op);

 private:
  static constexpr std::int64_t kNever = -1'000'000;

  using Op = std::shared_ptr<ShardOp>;

  /////////////////////
  // the queue       //
  /////////////////////
  bool RefusesAtOnce(const Op& op);
  void OnLimit(const Op& op);
  void GiveUp(const Op& op);
  void Withdraw(const Op& op);
  void Finish(const Op& op, Verdict verdict);
  void Grant(const Op& op);
  void Refuse(const Op& op, ErrorId id);
  void RefuseWaiting(ErrorId id);
  void RefuseUnread(const Op& op, ErrorId id);
  void Replay(const Op& op);
  void Answer(const Op& op, const absl::StatusOr<ClaimAnswer>& answer);
  void AnswerDone(const Op& op, const absl::Status& status);

  /////////////////////
  // the next step   //
  /////////////////////
  void PumpAfter(std::int64_t delay_ms);
  void Pump();
  std::int64_t PauseMs() const;
  bool ReadMissing();
  bool JudgeAll(std::vector<Op>* batch, bool* must_fence);
  bool IsFresh(const ShardOp& op) const;
  void Flush();

  /////////////////////
  // object API      //
  /////////////////////
  void ReadHead();
  void OnHead(const absl::StatusOr<StoredObject>& answer, std::uint64_t call);
  void ReadArchive(std::int64_t number);
  void OnArchive(const absl::StatusOr<StoredObject>& answer,
                 std::int64_t number);
  void WriteHead(const std::vector<Op>& batch);
  void OnWritten(const absl::StatusOr<std::int64_t>& answer,
                 const std::vector<Op>& batch, const ClaimSegment& segment,
                 std::uint64_t call);
  void WriteArchive();
  void ReadOldest();
  void DropSegments();
  void OnTrouble(ErrorId id);
  ClaimSegment NextHead(const std::vector<Op>& batch) const;
  ClaimEntry NextEntry(const ShardOp& op, std::int64_t last_ms) const;
  std::string HeadName() const;
  std::string ArchiveName(std::int64_t number) const;

  ClaimTools tools;
  std::uint32_t shard;
  ShardView view;
  std::list<Op> ops;
  std::vector<std::function<void()>> answers;
  std::uint64_t calls = 0;           ///< store calls made so far
  std::uint64_t view_call = 0;       ///< the call that confirmed the view last
  bool busy = false;                 ///< a store call is in flight
  bool pump_due = false;             ///< a pump is scheduled
  bool must_read = true;             ///< the head has to be read before a write
  std::int64_t trouble_wait_ms = 0;  ///< the last wait after a failure
  bool impaired = false;             ///< the last call failed
  std::int64_t written_ms = kNever;
  std::int64_t archived = -1;  ///< this segment's archive is known to stand
  std::int64_t swept = -1;     ///< retention was looked at for this segment
  std::vector<ClaimSegment> dropping;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_SHARD_LOG_H_
