#include "quarantine/server_crash_detector.h"

#include <algorithm>
#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// As long as other connections to servers may take: a dead one is noticed.
constexpr std::int64_t kCheckMs = 250;
// An entry lapses after three heartbeats of 1.2 s, and news of it takes half a
// second; a server that is gone later than this had another reason.
constexpr std::int64_t kWaitMs = 5'000;
// Callers choose their ids; a person needs no more of one to find it.
constexpr std::size_t kShownIdBytes = 64;
// Of one server: it takes no more runs at a time than a few tens.
constexpr std::size_t kMostOfServer = 64;

}  // namespace

ServerEndWatch::ServerEndWatch(ListenCheck& check, const Clock& clock,
                               Scheduler& scheduler, Listener listener)
    : check(check),
      clock(clock),
      scheduler(scheduler),
      listener(std::move(listener)) {}

void ServerEndWatch::Add(const CutRun& run) {
  std::vector<Waiting>& runs = this->waiting[run.server];
  if (runs.size() >= kMostOfServer) {
    LogLine("cut-run-dropped").Add("server", run.server).WriteImportant();
    return;
  }
  runs.push_back({run, this->clock.WallMs()});
  if (!run.was_silent && this->asking.insert(run.server).second) {
    this->Ask(run);
  }
  this->scheduler.After(kWaitMs,
                        this->life.Guarded([this] { this->DropOld(); }));
}

void ServerEndWatch::Ask(const CutRun& run) {
  this->check.Ask(
      run.address, kCheckMs,
      this->life.Guarded([this, server = run.server](ListenState state) {
        this->TakeState(server, state);
      }));
}

// A machine that does not answer may only be cut off from this one. What takes
// connections there may stand before the server, whose entry tells then; but an
// end that is seen later by a connection came after the runs of now were cut.
void ServerEndWatch::TakeState(const std::string& server, ListenState state) {
  this->asking.erase(server);
  LogLine("server-checked")
      .Add("server", server)
      .Add("state", ListenStateName(state))
      .WriteImportant();
  const auto found = this->waiting.find(server);
  if (found == this->waiting.end()) {
    return;
  }
  if (state == ListenState::kListens) {
    for (Waiting& one : found->second) {
      one.found_alive = true;
    }
  }
  if (state == ListenState::kRefused) {
    std::erase_if(found->second,
                  [](const Waiting& one) { return one.found_alive; });
    this->End(server, ListenStateName(state));
  }
}

void ServerEndWatch::NoteGone(std::string_view server) {
  this->End(server, "gone");
}

void ServerEndWatch::End(std::string_view server, std::string_view how) {
  const auto found = this->waiting.find(server);
  if (found == this->waiting.end()) {
    return;
  }
  const std::vector<Waiting> runs = std::move(found->second);
  this->waiting.erase(found);
  for (const Waiting& one : runs) {
    LogLine("server-ended")
        .Add("server", one.run.server)
        .Add("how", how)
        .Add("request", one.run.request)
        .Add("workspace", one.run.id.workspace)
        .Add("content", one.run.id.content)
        .Add("before_any_answer", one.run.before_any_answer ? "yes" : "no")
        .WriteImportant();
    CrashRecord record;
    record.id = one.run.id;
    record.route = one.run.route;
    record.request = one.run.request.substr(0, kShownIdBytes);
    record.ends = {{one.run.server, one.run.before_any_answer, one.unix_ms}};
    this->listener(record);
  }
}

void ServerEndWatch::DropOld() {
  const std::int64_t before_ms = this->clock.WallMs() - kWaitMs;
  for (auto& [server, runs] : this->waiting) {
    std::erase_if(runs, [before_ms](const Waiting& one) {
      return one.unix_ms <= before_ms;
    });
  }
  std::erase_if(this->waiting,
                [](const auto& one) { return one.second.empty(); });
}

}  // namespace meadowthread
