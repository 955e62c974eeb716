#include "quarantine/request_quarantine.h"

namespace meadowthread {

const std::string& RequestQuarantine::Content() {
  if (this->content.empty()) {
    this->content = this->make_key();
  }
  return this->content;
}

CrashRecordId RequestQuarantine::Id() {
  return {this->identity.workspace, this->Content()};
}

std::optional<std::int64_t> RequestQuarantine::QuarantinedForMs() {
  if (!this->quarantine.HasSuspects(this->identity.workspace)) {
    return std::nullopt;
  }
  return this->quarantine.RemainingQuarantineMs(this->Id());
}

bool RequestQuarantine::HasContent(const CrashRecordId& other) {
  return this->identity.workspace == other.workspace &&
         this->Content() == other.content;
}

InterruptedRun RequestQuarantine::InterruptedRunAt(
    const ServerInstance& server) {
  InterruptedRun run;
  run.id = this->Id();
  run.route = this->identity.route;
  run.request = this->identity.request;
  run.server = server.key;
  run.address = server.address;
  run.parts = this->identity.shared_parts;
  return run;
}

void RequestQuarantine::NoteInterrupted(
    const std::optional<ServerInstance>& server, bool before_any_answer) {
  if (server.has_value()) {
    InterruptedRun run = this->InterruptedRunAt(*server);
    run.before_any_answer = before_any_answer;
    this->quarantine.NoteInterrupted(run);
  }
}

void RequestQuarantine::NoteTimedOut(
    const std::optional<ServerInstance>& server) {
  if (server.has_value()) {
    InterruptedRun run = this->InterruptedRunAt(*server);
    run.before_any_answer = true;
    run.timed_out = true;
    this->quarantine.NoteInterrupted(run);
  }
}

void RequestQuarantine::NoteCompleted() {
  if (this->quarantine.HasSuspects(this->identity.workspace)) {
    this->quarantine.NoteCompleted(this->Id());
  }
}

}  // namespace meadowthread
