#include "quarantine/server_crash_detector.h"

#include <algorithm>
#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// The limit that other connections to servers have, within which a dead server
// is noticed.
constexpr std::int64_t kProbeTimeoutMs = 250;
// A server's entry expires after three missed heartbeats of 1.2 s, and the news
// of it takes half a second. A server that disappears later than this did so
// for another reason.
constexpr std::int64_t kMaxPendingMs = 5'000;
// Callers choose request ids of any length; this much of one is enough to find
// the request.
constexpr std::size_t kMaxRequestIdBytes = 64;
// A server has no more than a few dozen runs at a time.
constexpr std::size_t kMaxRunsPerServer = 64;

}  // namespace

ServerCrashDetector::ServerCrashDetector(ListenProbe& check, const Clock& clock,
                                         Scheduler& scheduler,
                                         Listener listener)
    : check(check),
      clock(clock),
      scheduler(scheduler),
      listener(std::move(listener)) {}

void ServerCrashDetector::Add(const InterruptedRun& run) {
  std::vector<PendingRun>& runs = this->pending[run.server];
  if (runs.size() >= kMaxRunsPerServer) {
    LogLine("cut-run-dropped").Add("server", run.server).WriteImportant();
    return;
  }
  runs.push_back({run, this->clock.WallMs()});
  if (!run.timed_out && this->probing.insert(run.server).second) {
    this->Probe(run);
  }
  this->scheduler.After(kMaxPendingMs,
                        this->life.Guarded([this] { this->DropExpired(); }));
}

void ServerCrashDetector::Probe(const InterruptedRun& run) {
  this->check.Ask(
      run.address, kProbeTimeoutMs,
      this->life.Guarded([this, server = run.server](ListenProbeResult state) {
        this->OnProbed(server, state);
      }));
}

// Only a refused connection shows a crash. Without a response the machine may
// merely be unreachable from this host. An accepted connection may be that of a
// proxy in front of a crashed server; the expiry of the server's entry shows
// the crash then. If a connection is refused after one was accepted, the crash
// came later than the interruption of the earlier runs, and is not counted for
// them.
void ServerCrashDetector::OnProbed(const std::string& server,
                                   ListenProbeResult state) {
  this->probing.erase(server);
  LogLine("server-checked")
      .Add("server", server)
      .Add("state", ListenProbeResultName(state))
      .WriteImportant();
  const auto found = this->pending.find(server);
  if (found == this->pending.end()) {
    return;
  }
  if (state == ListenProbeResult::kListens) {
    for (PendingRun& entry : found->second) {
      entry.was_listening = true;
    }
  }
  if (state == ListenProbeResult::kRefused) {
    std::erase_if(found->second,
                  [](const PendingRun& entry) { return entry.was_listening; });
    this->ReportCrash(server, ListenProbeResultName(state));
  }
}

void ServerCrashDetector::NoteGone(std::string_view server) {
  this->ReportCrash(server, "gone");
}

void ServerCrashDetector::ReportCrash(std::string_view server,
                                      std::string_view cause) {
  const auto found = this->pending.find(server);
  if (found == this->pending.end()) {
    return;
  }
  const std::vector<PendingRun> runs = std::move(found->second);
  this->pending.erase(found);
  for (const PendingRun& entry : runs) {
    LogLine("server-ended")
        .Add("server", entry.run.server)
        .Add("how", cause)
        .Add("request", entry.run.request)
        .Add("workspace", entry.run.id.workspace)
        .Add("content", entry.run.id.content)
        .Add("before_any_answer", entry.run.before_any_answer ? "yes" : "no")
        .WriteImportant();
    CrashRecord record;
    record.id = entry.run.id;
    record.route = entry.run.route;
    record.request = entry.run.request.substr(0, kMaxRequestIdBytes);
    record.crashes = {
        {entry.run.server, entry.run.before_any_answer, entry.unix_ms}};
    this->listener(record);
  }
}

void ServerCrashDetector::DropExpired() {
  const std::int64_t before_ms = this->clock.WallMs() - kMaxPendingMs;
  for (auto& [server, runs] : this->pending) {
    std::erase_if(runs, [before_ms](const PendingRun& entry) {
      return entry.unix_ms <= before_ms;
    });
  }
  std::erase_if(this->pending,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace meadowthread
