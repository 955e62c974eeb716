#include "serve/host_status.h"

#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

json WaitsJson(const HostStatus& status) {
  json waits = json::array();
  for (const RunningRequest& running : status.stop_waits_for) {
    waits.push_back({{"request", running.request},
                     {"phase", std::string(SessionPhaseName(running.phase))},
                     {"tokens_delivered", running.tokens_delivered}});
  }
  return waits;
}

json ProblemsJson(const HostStatus& status) {
  json problems = json::array();
  for (const CatalogProblem& problem : status.problems) {
    problems.push_back({{"template", problem.template_name},
                        {"version", problem.version},
                        {"in_force_version", problem.in_force_version},
                        {"message", problem.message}});
  }
  return problems;
}

}  // namespace

std::string HostStatusJson(const HostStatus& status) {
  const json body = {{"host", status.host},
                     {"incarnation", status.incarnation},
                     {"ready", status.ready.ok()},
                     {"why_not_ready", std::string{status.ready.message()}},
                     {"configuration_revision", status.configuration_revision},
                     {"known_to_revision", status.templates.revision},
                     {"confirmed_unix_ms", status.templates.confirmed.unix_ms},
                     {"confirmed_by", status.templates.confirmed.by},
                     {"streams", status.streams},
                     {"queued", status.queued},
                     {"mark", std::string(HostMarkName(status.mark))},
                     {"stop_waits_for", WaitsJson(status)},
                     {"engines", status.engines},
                     {"engines_usable", status.engines_usable},
                     {"template_problems", ProblemsJson(status)}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace meadowthread
