#ifndef MEADOWTHREAD_ROLLOUT_FLEET_ANSWERS_H_
#define MEADOWTHREAD_ROLLOUT_FLEET_ANSWERS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "policy/string_map.h"
#include "rollout/answer_counts.h"

namespace meadowthread {

/// @brief The answers on each route, by the route's name.
using AnswersByRoute = std::map<std::string, RouteAnswers, std::less<>>;

/// @brief Joins what all hosts report on the answers of a rollout.
///
/// Reports hold a host's counts since its process started. They may be lost,
/// late or duplicated: the counts only grow.
class FleetAnswers {
 public:
  /// Maximum number of reports kept, one for each process and route.
  static constexpr std::size_t kMaxReports = 32'768;

  /// @brief Applies one report.
  /// @param[in] process identifies the reporting process; a host that restarts
  /// counts from zero under another one
  /// @return false if it was refused because there are too many
  /// @complexity O(1) on average
  bool Apply(std::string_view process, std::string_view route,
             const RouteAnswers& answers);

  /// @brief The sums over all hosts.
  const AnswersByRoute& Totals() const { return this->totals; }

 private:
  StringMap<RouteAnswers> reports;  ///< by process and route
  AnswersByRoute totals;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_FLEET_ANSWERS_H_
