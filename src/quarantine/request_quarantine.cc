#include "quarantine/request_quarantine.h"

#include <algorithm>

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
  const auto part_ms = this->quarantine.RemainingPartQuarantineMs(
      {this->identity.workspace, this->identity.shared_parts});
  if (part_ms.has_value()) {
    return part_ms;
  }
  if (!this->quarantine.HasSuspects(this->identity.workspace)) {
    return std::nullopt;
  }
  return this->quarantine.RemainingQuarantineMs(this->Id());
}

bool RequestQuarantine::IsQuarantinedBy(const CrashRecord& record) {
  const std::vector<std::string>& parts = this->identity.shared_parts;
  if (!record.part.empty()) {
    return std::find(parts.begin(), parts.end(), record.part) != parts.end() &&
           this->QuarantinedForMs().has_value();
  }
  return this->identity.workspace == record.id.workspace &&
         this->Content() == record.id.content;
}

InterruptedRun RequestQuarantine::InterruptedRunAt(
    const ServerInstance& server) {
  InterruptedRun run;
  run.id = this->Id();
  run.route = this->identity.route;
  run.request = this->identity.request;
  run.server = server.key;
  run.address = server.address;
  if (!this->had_good_run) {
    run.parts = this->identity.shared_parts;
  }
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

void RequestQuarantine::NoteGoodRun(std::int64_t begun_unix_ms) {
  if (!this->identity.shared_parts.empty()) {
    this->had_good_run = true;
    this->quarantine.NoteGoodRun(this->identity.shared_parts, begun_unix_ms);
  }
}

void RequestQuarantine::NoteCompleted() {
  if (this->quarantine.HasSuspects(this->identity.workspace)) {
    this->quarantine.NoteCompleted(this->Id());
  }
}

}  // namespace meadowthread
