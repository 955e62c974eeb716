#include "relay/run_move.h"

#include <utility>

#include "base/log_line.h"
#include "relay/backend_list.h"

namespace meadowthread {
namespace {

// Time limit of a copy: longer than it takes to copy the KV cache of a long
// generation to another availability zone behind several other copies. A
// leaving engine is gone by then.
constexpr std::int64_t kCopyTimeoutMs = 4'000;

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

RunMove::~RunMove() { this->FreeCopy(); }

// Does not send the handle to a restarted source, where it may belong to
// another run.
void RunMove::FreeCopy() {
  if (!this->handle.empty() && !this->source_restarted) {
    this->control.DropCopy(this->plan.source_address, this->handle);
  }
  this->handle.clear();
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
  order.limit_ms = kCopyTimeoutMs;
  this->control.Move(order, this->life.Guarded([this, stop](MoveAnswer answer) {
    if (this->step == MoveStep::kOver) {
      return;
    }
    this->CheckSourceStart(&answer);
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

// A restarted source does not have the run, whatever it answers.
void RunMove::CheckSourceStart(MoveAnswer* answer) {
  if (AreDifferentStarts(answer->started_ms, this->plan.source_started_ms)) {
    this->source_restarted = true;
    *answer = {MoveResult::kNoRun, "", 0, answer->started_ms};
  }
}

void RunMove::NoteStartedAgain(std::string_view engine) {
  if (engine == this->plan.source) {
    this->source_restarted = true;
  }
  if (engine == this->plan.target) {
    this->target_restarted = true;
    this->target_has_copy = false;
  }
}

void RunMove::OnCopied(const MoveAnswer& answer) {
  if (!answer.handle.empty()) {
    this->handle = answer.handle;
  }
  switch (answer.result) {
    case MoveResult::kCopied:
      if (this->target_restarted) {
        // The source copies only what the target does not have yet. Freeing the
        // copy makes it send everything to the restarted target the next time.
        this->FreeCopy();
        this->EndWith(MoveEnd::kNotMoved);
        return;
      }
      this->target_has_copy = true;
      if (this->source_restarted) {
        // There is no run left to stop at the restarted source; only the end of
        // its stream is awaited.
        this->step = MoveStep::kStopped;
        this->FinishIfStreamEnded();
        return;
      }
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
      this->FinishIfStreamEnded();
      return;
    case MoveResult::kNoRoom:
      // The run has stopped, and the source keeps its KV cache.
      this->target_has_copy = false;
      this->step = MoveStep::kStopped;
      this->FinishIfStreamEnded();
      return;
    case MoveResult::kNoRun:
      if (this->source_restarted) {
        // The run was lost in the restart of the source; only the copy at the
        // target is left.
        this->step = MoveStep::kStopped;
        this->FinishIfStreamEnded();
        return;
      }
      this->EndWith(MoveEnd::kRunEnded);
      return;
    case MoveResult::kBusy:
      this->EndWith(MoveEnd::kNotMoved);
      return;
    case MoveResult::kUnknown:
      // The result of the stop is unknown; if the run was stopped, its stream
      // ends. Then the first copy is the best state available.
      this->step = MoveStep::kStopped;
      this->FinishIfStreamEnded();
      return;
  }
}

void RunMove::NoteStreamEnded() {
  this->stream_ended = true;
  this->FinishIfStreamEnded();
}

// Two engines must never work on the same run, so the source's stream has to
// end first.
void RunMove::FinishIfStreamEnded() {
  if (this->step != MoveStep::kStopped || !this->stream_ended) {
    return;
  }
  const bool is_lost = this->source_restarted && !this->target_has_copy;
  if (this->handle.empty() || is_lost) {
    this->EndWith(MoveEnd::kUncertain);
    return;
  }
  this->step = MoveStep::kOver;
  Continuation continuation;
  continuation.source = this->plan.source_address;
  continuation.source_key = this->plan.source;
  continuation.handle = std::exchange(this->handle, {});
  this->owner.OnMoveReady(continuation,
                          this->target_has_copy ? this->plan.target : "");
}

void RunMove::EndWith(MoveEnd end) {
  this->step = MoveStep::kOver;
  this->owner.OnMoveOver(end);
}

}  // namespace meadowthread
