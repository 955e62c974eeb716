// Generations that end the engines which run them, by the own interface. A host
// tried such a request at one engine after the other by itself, and so did
// every host to which it came again.
#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "process/fleet.h"

namespace meadowthread::tests {
namespace {

constexpr char kGuilty[] = "[ends-engine] note";
constexpr char kInnocent[] = "[tokens=20] note";
constexpr int kHosts = 3;
constexpr int kEngines = 4;
// After three ends a request is known for what it does.
constexpr int kEnoughEnds = 3;
// By then every host that its peers reach knows so.
constexpr std::chrono::milliseconds kContact{3'000};

struct Story {
  Story() : fleet(Plan()) { this->fleet.Start(); }

  static FleetPlan Plan() {
    FleetPlan plan;
    plan.hosts = kHosts;
    plan.engines = kEngines;
    return plan;
  }

  /// @return the code of its problem, 0 where it was served
  int Ask(int host, const std::string& prompt) {
    StreamingCaller caller(this->fleet.Client());
    caller.Ask(this->fleet.HostUrl(host), kKey, prompt);
    cr_assert(WaitFor([&caller] { return caller.IsOver(); }));
    return caller.Problem().is_object() ? caller.Problem().value("code", -1)
                                        : 0;
  }

  /// @brief Generations that engines were asked to begin.
  int Starts() {
    int starts = 0;
    for (int n = 0; n < kEngines; ++n) {
      starts += this->fleet.Record(this->fleet.EngineUrl(n))["counts"]["starts"]
                    .get<int>();
    }
    return starts;
  }

  Fleet fleet;
};

Test(a_generation_that_ends_its_engines, is_sent_to_none_by_any_host) {
  const TestApplication application;
  Story story;
  for (int n = 0; story.Starts() < kEnoughEnds && n < 4; ++n) {
    story.Ask(n % kHosts, kGuilty);
    Pass(kContact / 2);
  }
  Pass(kContact);
  const int starts = story.Starts();
  cr_assert(starts >= kEnoughEnds, "%d", starts);
  for (int n = 0; n < 2 * kHosts; ++n) {
    const int code = story.Ask(n % kHosts, kGuilty);
    cr_assert(code == 208, "%d", code);
  }
  cr_assert(story.Starts() == starts, "%d, then %d", starts, story.Starts());
  for (int host = 0; host < kHosts; ++host) {
    cr_assert(story.Ask(host, kInnocent) == 0);
  }
}

}  // namespace
}  // namespace meadowthread::tests
