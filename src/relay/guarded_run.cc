#include "relay/guarded_run.h"

namespace meadowthread {

const std::string& GuardedRun::Content() {
  if (this->content.empty()) {
    this->content = ContentKeyOf(this->request, this->terms);
  }
  return this->content;
}

CrashRecordId GuardedRun::Id() {
  return {this->terms.workspace, this->Content()};
}

std::optional<std::int64_t> GuardedRun::QuarantinedForMs() {
  if (!this->quarantine.HasSuspects(this->terms.workspace)) {
    return std::nullopt;
  }
  return this->quarantine.LastsMs(this->Id());
}

bool GuardedRun::Is(const CrashRecordId& other) {
  return this->terms.workspace == other.workspace &&
         this->Content() == other.content;
}

// The end of a server that had said that it would leave is no request's doing.
void GuardedRun::Tell(std::string_view server, bool before_any_answer,
                      bool was_silent) {
  const Backend* const backend = this->backends.Find(server);
  if (backend == nullptr || backend->leaving) {
    return;
  }
  CutRun run;
  run.id = this->Id();
  run.route = this->terms.route;
  run.request = this->request.id;
  run.server = backend->key;
  run.address = backend->entry.address;
  run.before_any_answer = before_any_answer;
  run.was_silent = was_silent;
  this->quarantine.NoteCut(run);
}

void GuardedRun::NoteCut(std::string_view server, bool before_any_answer) {
  this->Tell(server, before_any_answer, false);
}

void GuardedRun::NoteSilent(std::string_view server) {
  this->Tell(server, true, true);
}

void GuardedRun::NoteWhole() {
  if (this->quarantine.HasSuspects(this->terms.workspace)) {
    this->quarantine.NoteWhole(this->Id());
  }
}

}  // namespace meadowthread
