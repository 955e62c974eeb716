// Limits on what an engine may send as the answer to a stream.
#include <algorithm>

#include "base/log_line.h"
#include "relay/stream_session.h"

namespace meadowthread {
namespace {

constexpr std::size_t kMaxWholeAnswerBytes = std::size_t{1024} * 1024;

}  // namespace

void StreamSession::HoldWholeAnswer(std::string_view data) {
  switch (this->whole_body.Append(data, kMaxWholeAnswerBytes)) {
    case AppendResult::kAppended:
      return;
    case AppendResult::kTooLong:
      this->EndAtLimit("the answer is longer than its limit");
      return;
    case AppendResult::kNoMemory:
      this->EndForLackOfMemory();
      return;
  }
}

void StreamSession::EndForLackOfMemory() {
  this->CancelCall();
  this->RecordAttemptEnd(AttemptResult::kFailed);
  this->Interrupt("the host has no memory for the answer");
}

bool StreamSession::IsWithinLimit(std::span<const RawSseEvent> new_events) {
  return std::all_of(
      new_events.begin(), new_events.end(),
      [this](const RawSseEvent& event) { return this->limit.Add(event); });
}

// The request itself is not suspected, as the engine goes on.
void StreamSession::EndAtLimit(std::string_view why) {
  LogLine("answer-without-end")
      .Add("request", this->request.id)
      .Add("engine", this->engine)
      .Add("events", this->events)
      .Add("why", why)
      .WriteImportant();
  this->CancelCall();
  this->RecordAttemptEnd(AttemptResult::kExceededLimit);
  this->Interrupt(why);
}

}  // namespace meadowthread
