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
  if (this->monitor.IsLost()) {
    const std::vector<std::string> all = this->addresses();
    std::vector<std::string> probed;
    std::sample(all.begin(), all.end(), std::back_inserter(probed),
                kProbedServers, this->random);
    for (const std::string& address : probed) {
      this->probe.Ask(
          address, kProbeLimitMs,
          this->life.Guarded([this, address](ListenProbeResult result) {
            if (result == ListenProbeResult::kListens) {
              this->monitor.NoteConnected(address);
            }
          }));
    }
  }
  this->scheduler.After(kProbePeriodMs, this->life.Guarded([this] {
    this->ProbeAndReschedule();
  }));
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
        this->scheduler.After(kConfirmMs, this->life.Guarded([this, result,
                                                              done] {
          done(this->monitor.IsLost() ? ListenProbeResult::kSilent : result);
        }));
      }));
}

}  // namespace meadowthread
