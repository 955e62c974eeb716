#include "forwarding/path_prober.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace meadowthread {
namespace {

// A host whose path is back goes on forwarding for at most this long, which
// costs it one hop within the region.
constexpr std::int64_t kProbePeriodMs = 300;
constexpr std::int64_t kProbeLimitMs = 250;
// One server alone may be down or silent.
constexpr std::size_t kProbedServers = 2;
// Time for further failures to show that it is the path that is lost.
constexpr std::int64_t kConfirmMs = 100;

}  // namespace

PathProber::PathProber(PathMonitor& monitor, ListenProbe& probe,
                       Scheduler& scheduler, std::mt19937_64& random,
                       const Addresses& addresses)
    : monitor(monitor),
      probe(probe),
      scheduler(scheduler),
      random(random),
      addresses(addresses) {}

void PathProber::Start() { this->ProbeAndReschedule(); }

void PathProber::ProbeAndReschedule() {
  for (const std::string& address : this->Chosen()) {
    this->probe.Ask(
        address, kProbeLimitMs,
        this->life.Guarded([this, address](ListenProbeResult result) {
          if (result == ListenProbeResult::kListens) {
            this->monitor.NoteConnected(address);
          } else {
            this->monitor.NoteConnectFailed(address);
          }
        }));
  }
  this->scheduler.After(kProbePeriodMs, this->life.Guarded([this] {
    this->ProbeAndReschedule();
  }));
}

// Servers that only are presumed to be unreachable are tried as well, as the
// others may be lost for longer.
std::vector<std::string> PathProber::Chosen() {
  std::vector<std::string> untried;
  if (this->monitor.PresumesLost()) {
    const std::vector<std::string> all = this->addresses();
    std::copy_if(all.begin(), all.end(), std::back_inserter(untried),
                 [this](const std::string& address) {
                   return !this->monitor.IsPathLost(address);
                 });
  }
  std::vector<std::string> chosen = this->monitor.TakeProbes(
      untried.empty() ? kProbedServers : kProbedServers - 1);
  std::sample(untried.begin(), untried.end(), std::back_inserter(chosen),
              kProbedServers - chosen.size(), this->random);
  return chosen;
}

void PathAwareProbe::Ask(std::string_view address, std::int64_t limit_ms,
                         const Done& done) {
  this->probe.Ask(
      address, limit_ms,
      this->life.Guarded([this, server = std::string(address),
                          done](ListenProbeResult result) {
        if (result == ListenProbeResult::kListens) {
          this->monitor.NoteConnected(server);
          done(result);
          return;
        }
        this->monitor.NoteConnectFailed(server);
        this->scheduler.After(
            kConfirmMs, this->life.Guarded([this, server, result, done] {
              done(this->monitor.IsLost(server) ? ListenProbeResult::kSilent
                                                : result);
            }));
      }));
}

}  // namespace meadowthread
