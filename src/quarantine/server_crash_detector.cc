#include "quarantine/server_crash_detector.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_join.h"
#include "base/log_line.h"
#include "quarantine/content_key.h"

namespace meadowthread {
namespace {

// Time limit of a probe's connection attempt. It is the same as
// kBackendConnectMs, within which requests notice a dead server.
constexpr std::int64_t kProbeTimeoutMs = 250;
// Time within which a server must disappear for an interruption to count as its
// crash; if it disappears later, that has another cause. The entry of a crashed
// server expires after three missed heartbeats of 1.2 s, and this host learns
// of that within another half second.
constexpr std::int64_t kMaxPendingMs = 5'000;
// Callers choose request ids of any length; this much of one is enough to find
// the request.
constexpr std::size_t kMaxRequestIdBytes = 64;
// Limit on the interrupted runs kept per server, which has no more than a few
// dozen runs at a time.
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

// Only a refused connection shows a crash. If there is no response, the machine
// may merely be unreachable from this host. If the connection is accepted, a
// proxy in front of a crashed server may have accepted it; such a crash shows
// when the server's entry expires. If a connection is refused after an earlier
// one was accepted, the server crashed only after the runs before the accepted
// one had been interrupted, so the crash is not counted for those runs.
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
        .Add("parts", absl::StrJoin(entry.run.parts, ","))
        .WriteImportant();
    CrashRecord record;
    record.id = entry.run.id;
    record.route = entry.run.route;
    record.request = entry.run.request.substr(0, kMaxRequestIdBytes);
    record.crashes = {
        {entry.run.server, entry.run.before_any_answer, entry.unix_ms}};
    this->listener(record);
    for (const std::string& part : entry.run.parts) {
      record.id.content = PartKeyOf(entry.run.id.workspace, part);
      record.part = part;
      this->listener(record);
    }
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
