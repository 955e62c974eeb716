#include "relay/run_move.h"

#include <utility>

#include "base/log_line.h"
#include "relay/backend_list.h"

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

RunMove::~RunMove() { this->FreeCopy(); }

// Another start has other handles: this one may be another run's there.
void RunMove::FreeCopy() {
  if (!this->handle.empty() && !this->source_gone) {
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
  order.limit_ms = kCopyLimitMs;
  this->control.Move(order, this->life.Guarded([this, stop](MoveAnswer answer) {
    if (this->step == MoveStep::kOver) {
      return;
    }
    this->NoteStart(&answer);
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

// The source's next start knows nothing of the run, whatever it answers.
void RunMove::NoteStart(MoveAnswer* answer) {
  if (AreOtherStarts(answer->started_ms, this->plan.source_started_ms)) {
    this->source_gone = true;
    *answer = {MoveResult::kNoRun, "", 0, answer->started_ms};
  }
}

void RunMove::NoteStartedAgain(std::string_view engine) {
  if (engine == this->plan.source) {
    this->source_gone = true;
  }
  if (engine == this->plan.target) {
    this->target_gone = true;
    this->target_has_copy = false;
  }
}

void RunMove::OnCopied(const MoveAnswer& answer) {
  if (!answer.handle.empty()) {
    this->handle = answer.handle;
  }
  switch (answer.result) {
    case MoveResult::kCopied:
      if (this->target_gone) {
        // Freed, the next copy is a whole one again: one that is called for
        // again brings only what the start before did not have.
        this->FreeCopy();
        this->EndWith(MoveEnd::kNotMoved);
        return;
      }
      this->target_has_copy = true;
      if (this->source_gone) {
        // Nobody is left to be stopped there: its stream's end is awaited.
        this->step = MoveStep::kStopped;
        this->TellWhenReady();
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
      this->TellWhenReady();
      return;
    case MoveResult::kNoRoom:
      // The run has stopped, and its source keeps the memory.
      this->target_has_copy = false;
      this->step = MoveStep::kStopped;
      this->TellWhenReady();
      return;
    case MoveResult::kNoRun:
      if (this->source_gone) {
        // The start that had the run took it along; the copy is what is left.
        this->step = MoveStep::kStopped;
        this->TellWhenReady();
        return;
      }
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
  const bool is_lost = this->source_gone && !this->target_has_copy;
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
