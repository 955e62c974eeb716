#include "soak/verdict.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace meadowthread::soak {
namespace {

// Nothing else explains an answer that is not whole. A request of which no run
// is known may have been on its way to any engine.
bool IsExplained(const FaultEffects& effects, const SentRequest& sent,
                 const Runs& runs) {
  const bool by_engine = !effects.engines.empty() &&
                         (runs.engines.empty() ||
                          std::any_of(runs.engines.begin(), runs.engines.end(),
                                      [&effects](const std::string& engine) {
                                        return effects.engines.contains(engine);
                                      }));
  return by_engine || effects.killed_hosts.contains(sent.host) ||
         effects.late_hosts.contains(sent.host) ||
         (sent.by_link && effects.broken_links.contains(sent.host));
}

// A host that ends, and one that closes a connection which was used, may not
// have read a request; its caller knows nothing of it then, and it never runs.
bool WentUnread(const FaultEffects& effects, const SentRequest& sent,
                const Answer& answer, const Runs& runs) {
  return answer.status == 0 && runs.first == 0 &&
         (sent.on_used_connection || effects.ended_hosts.contains(sent.host));
}

}  // namespace

std::string FindViolation(World& world, const FaultEffects& effects,
                          const SentRequest& sent, const Answer& answer) {
  const Runs runs = world.RunsOf(sent);
  if (world.RunsOnce(sent.kind) && runs.first > 1) {
    return "ran more than once";
  }
  switch (world.OutcomeOf(sent, answer)) {
    case Outcome::kForeign:
      return "got what is not its own";
    case Outcome::kKeyRefused:
      return "was refused its key, which is in force";
    case Outcome::kNotRun:
      return runs.first > 0 ? "was told that it did not run, and it ran" : "";
    case Outcome::kComplete:
      return runs.first > 0 ? "" : "got an answer that no back end gave";
    case Outcome::kUnknown:
    case Outcome::kTruncated:
      break;
  }
  const bool right = answer.left || IsExplained(effects, sent, runs) ||
                     WentUnread(effects, sent, answer, runs);
  return right ? "" : "got no whole answer, and no fault explains it";
}

std::string Describe(const SentRequest& sent, const Answer& answer,
                     const Runs& runs) {
  constexpr const char* kKinds[] = {"stream", "once", "again"};
  return absl::StrCat(
      "request=", sent.id, " kind=", kKinds[static_cast<int>(sent.kind)],
      " length=", sent.length, " host=", sent.host, " by_link=", sent.by_link,
      " used=", sent.on_used_connection,
      " while_stopping=", sent.while_stopping, " status=", answer.status,
      " bytes=", answer.body.size(), " whole=", answer.whole,
      " left=", answer.left, " runs=", runs.first,
      " engines=", absl::StrJoin(runs.engines, ","));
}

}  // namespace meadowthread::soak
