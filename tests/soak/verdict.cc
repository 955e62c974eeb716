#include "soak/verdict.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace meadowthread::soak {
namespace {

// Nothing else explains an answer that is not whole. A request of which no run
// is known may have been on its way to any engine.
bool IsExplained(const Disturbed& disturbed, const Asked& asked,
                 const Runs& runs) {
  const bool by_engine =
      !disturbed.engines.empty() &&
      (runs.engines.empty() ||
       std::any_of(runs.engines.begin(), runs.engines.end(),
                   [&disturbed](const std::string& engine) {
                     return disturbed.engines.contains(engine);
                   }));
  return by_engine || disturbed.killed_hosts.contains(asked.host) ||
         disturbed.late_hosts.contains(asked.host) ||
         (asked.by_link && disturbed.broken_links.contains(asked.host));
}

// A host that ends, and one that closes a connection which was used, may not
// have read a request; its caller knows nothing of it then, and it never runs.
bool WentUnread(const Disturbed& disturbed, const Asked& asked,
                const Answer& answer, const Runs& runs) {
  return answer.status == 0 && runs.first == 0 &&
         (asked.on_used_connection ||
          disturbed.ended_hosts.contains(asked.host));
}

}  // namespace

std::string Complaint(World& world, const Disturbed& disturbed,
                      const Asked& asked, const Answer& answer) {
  const Runs runs = world.RunsOf(asked);
  if (world.RunsOnce(asked.kind) && runs.first > 1) {
    return "ran more than once";
  }
  switch (world.WordOf(asked, answer)) {
    case Word::kForeign:
      return "got what is not its own";
    case Word::kKeyRefused:
      return "was refused its key, which is in force";
    case Word::kNotRun:
      return runs.first > 0 ? "was told that it did not run, and it ran" : "";
    case Word::kWhole:
      return runs.first > 0 ? "" : "got an answer that no back end gave";
    case Word::kUnknown:
    case Word::kCut:
      break;
  }
  const bool right = answer.left || IsExplained(disturbed, asked, runs) ||
                     WentUnread(disturbed, asked, answer, runs);
  return right ? "" : "got no whole answer, and no fault explains it";
}

std::string Describe(const Asked& asked, const Answer& answer,
                     const Runs& runs) {
  constexpr const char* kKinds[] = {"stream", "once", "again"};
  return absl::StrCat(
      "request=", asked.id, " kind=", kKinds[static_cast<int>(asked.kind)],
      " length=", asked.length, " host=", asked.host,
      " by_link=", asked.by_link, " used=", asked.on_used_connection,
      " while_stopping=", asked.while_stopping, " status=", answer.status,
      " bytes=", answer.body.size(), " whole=", answer.whole,
      " left=", answer.left, " runs=", runs.first,
      " engines=", absl::StrJoin(runs.engines, ","));
}

}  // namespace meadowthread::soak
