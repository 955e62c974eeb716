#include "relay/run_move.h"

#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// Longer than a report's whole memory takes across zones behind several
// others; an engine that leaves is gone by then.
constexpr std::int64_t kCopyLimitMs = 4'000;

}  // namespace

std::string_view MoveResultName(MoveResult result) {
  switch (result) {
    case MoveResult::kCopied:
      return "copied";
    case MoveResult::kNoRun:
      return "no_run";
    case MoveResult::kBusy:
      return "busy";
    case MoveResult::kNoRoom:
      return "no_room";
    case MoveResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

RunMove::RunMove(EngineControl& control, const Clock& clock,
                 RunMoveOwner& owner, MovePlan plan)
    : control(control), clock(clock), owner(owner), plan(std::move(plan)) {}

RunMove::~RunMove() {
  if (!this->handle.empty()) {
    this->control.DropCopy(this->plan.source_address, this->handle);
  }
}

void RunMove::Begin() { this->Order(false); }

void RunMove::Order(bool stop) {
  this->step = stop ? MoveStep::kStopping : MoveStep::kCopying;
  this->ordered_ms = this->clock.MonotonicMs();
  MoveOrder order;
  order.source = this->plan.source_address;
  order.target = this->plan.target_address;
  order.run = this->plan.run;
  order.stop = stop;
  order.limit_ms = kCopyLimitMs;
  this->control.Move(
      order, this->life.Guarded([this, stop](const MoveAnswer& answer) {
        if (this->step == MoveStep::kOver) {
          return;
        }
        LogLine("move")
            .Add("request", this->plan.run)
            .Add("source", this->plan.source_address)
            .Add("target", this->plan.target)
            .Add("step", stop ? "stop" : "copy")
            .Add("result", MoveResultName(answer.result))
            .Add("events", answer.events)
            .Add("took_ms", this->clock.MonotonicMs() - this->ordered_ms)
            .WriteImportant();
        if (stop) {
          this->OnStopped(answer);
        } else {
          this->OnCopied(answer);
        }
      }));
}

void RunMove::OnCopied(const MoveAnswer& answer) {
  if (!answer.handle.empty()) {
    this->handle = answer.handle;
  }
  switch (answer.result) {
    case MoveResult::kCopied:
      this->target_has_copy = true;
      this->Order(true);
      return;
    case MoveResult::kNoRun:
      this->EndWith(MoveEnd::kRunEnded);
      return;
    case MoveResult::kNoRoom:
      this->EndWith(MoveEnd::kNoRoom);
      return;
    case MoveResult::kBusy:
    case MoveResult::kUnknown:
      this->EndWith(MoveEnd::kNotMoved);
      return;
  }
}

void RunMove::OnStopped(const MoveAnswer& answer) {
  if (!answer.handle.empty()) {
    this->handle = answer.handle;
  }
  switch (answer.result) {
    case MoveResult::kCopied:
      this->step = MoveStep::kStopped;
      this->TellWhenReady();
      return;
    case MoveResult::kNoRoom:
      // The run has stopped, and its source keeps the memory.
      this->target_has_copy = false;
      this->step = MoveStep::kStopped;
      this->TellWhenReady();
      return;
    case MoveResult::kNoRun:
      this->EndWith(MoveEnd::kRunEnded);
      return;
    case MoveResult::kBusy:
      this->EndWith(MoveEnd::kNotMoved);
      return;
    case MoveResult::kUnknown:
      // Whether it stopped shows in its stream. Where that ends, the first
      // copy is the best there is.
      this->step = MoveStep::kStopped;
      this->TellWhenReady();
      return;
  }
}

void RunMove::NoteStreamEnded() {
  this->stream_ended = true;
  this->TellWhenReady();
}

// Two engines must never work on one run: the source's stream has to end first.
void RunMove::TellWhenReady() {
  if (this->step != MoveStep::kStopped || !this->stream_ended) {
    return;
  }
  if (this->handle.empty()) {
    this->EndWith(MoveEnd::kUncertain);
    return;
  }
  this->step = MoveStep::kOver;
  Continuation continuation;
  continuation.source = this->plan.source_address;
  continuation.handle = std::exchange(this->handle, {});
  this->owner.OnMoveReady(continuation,
                          this->target_has_copy ? this->plan.target : "");
}

void RunMove::EndWith(MoveEnd end) {
  this->step = MoveStep::kOver;
  this->owner.OnMoveOver(end);
}

}  // namespace meadowthread
