#include "engine/engine_messages.h"

#include "base/json_fields.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

using nlohmann::json;

std::string EncodeGenerationRequest(const GenerationRequest& request) {
  const json body = {{"request", request.attempt},
                     {"workspace", request.workspace},
                     {"model", request.model.model},
                     {"adapter", request.model.adapter},
                     {"version", request.model.version},
                     {"prompt", request.prompt},
                     {"max_tokens", request.max_tokens},
                     {"priority", request.priority},
                     {"deadline_unix_ms", request.deadline_unix_ms},
                     {"orphan_timeout_ms", request.orphan_timeout_ms}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<LoadReport> DecodeLoadReport(std::string_view body,
                                            std::string_view engine) {
  const absl::StatusOr<json> parsed =
      ParseObject(body, "read-load-report", engine);
  if (!parsed.ok()) {
    return parsed.status();
  }
  const absl::StatusOr<std::int64_t> as_of = IntField(*parsed, "as_of_unix_ms");
  const absl::StatusOr<std::int64_t> capacity =
      IntField(*parsed, "kv_capacity");
  if (!as_of.ok() || !capacity.ok()) {
    return as_of.ok() ? capacity.status() : as_of.status();
  }
  LoadReport report;
  report.engine = std::string(engine);
  report.incarnation = StringOr(*parsed, "incarnation", "");
  report.role = StringOr(*parsed, "role", "");
  report.as_of_unix_ms = *as_of;
  report.kv_capacity = *capacity;
  report.kv_used = IntOr(*parsed, "kv_used", 0);
  report.preemptions = IntOr(*parsed, "preemptions", 0);
  report.running = static_cast<int>(IntOr(*parsed, "running", 0));
  report.waiting = static_cast<int>(IntOr(*parsed, "waiting", 0));
  report.leaving = StringOr(*parsed, "state", "live") != "live";
  const auto models = parsed->find("models");
  if (models == parsed->end() || !models->is_array()) {
    return report;
  }
  for (const json& model : *models) {
    report.models.push_back({StringOr(model, "model", ""),
                             StringOr(model, "adapter", ""),
                             StringOr(model, "version", "")});
  }
  return report;
}

}  // namespace meadowthread
