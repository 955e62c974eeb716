#include "rollout/fleet_answers.h"

#include "absl/strings/str_cat.h"
#include "base/absl_view.h"

namespace meadowthread {

bool FleetAnswers::Apply(std::string_view process, std::string_view route,
                         const RouteAnswers& answers) {
  const std::string key =
      absl::StrCat(AbslView(process), "\n", AbslView(route));
  if (!this->reports.contains(key) && this->reports.size() >= kMaxReports) {
    return false;
  }
  RouteAnswers& known = this->reports[key];
  RouteAnswers& total = this->totals[std::string(route)];
  total.Subtract(known);
  known.RaiseTo(answers);
  total.Add(known);
  return true;
}

}  // namespace meadowthread
