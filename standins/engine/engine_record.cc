#include "engine/engine_record.h"

#include "engine/engine_wire.h"

namespace meadowthread::standins {
namespace {

using nlohmann::json;

json AttemptJson(const Generation& generation) {
  return {{"request", generation.spec.request},
          {"generation", generation.id},
          {"workspace", generation.spec.workspace},
          {"tokens_generated", generation.generated},
          {"length", generation.spec.length},
          {"state", StateName(generation.state)},
          {"reason", generation.lost_reason},
          {"has_reader", generation.unread_since_ms < 0},
          {"preemptions", generation.preemptions},
          {"started", true},
          {"started_unix_ms", generation.started_ms}};
}

json RefusedJson(const RefusedStart& refused) {
  return {{"request", refused.request},
          {"generation", ""},
          {"workspace", refused.workspace},
          {"tokens_generated", 0},
          {"state", "rejected"},
          {"reason", refused.reason},
          {"started", false},
          {"started_unix_ms", refused.at_ms}};
}

json OrderJson(const ReceivedOrder& seen) {
  return {{"holder", seen.order.holder},
          {"fence", seen.order.fence},
          {"role", seen.order.role},
          {"models", ModelsJson(seen.order.models)},
          {"answer", OrderAnswerName(seen.answer)},
          {"unix_ms", seen.at_ms}};
}

}  // namespace

json EngineRecord::ToJson(const EngineModel& model,
                          const OrderLog& orders) const {
  json attempts = json::array();
  for (const auto& generation : model.Generations()) {
    attempts.push_back(AttemptJson(*generation));
  }
  for (const RefusedStart& one : this->refused) {
    attempts.push_back(RefusedJson(one));
  }
  json order_log = json::array();
  for (const ReceivedOrder& seen : orders.Seen()) {
    order_log.push_back(OrderJson(seen));
  }
  const json calls = {{"starts", this->counts.starts},
                      {"rejects", this->counts.rejects},
                      {"resumes", this->counts.resumes},
                      {"unknown_resumes", this->counts.unknown_resumes},
                      {"cancels", this->counts.cancels},
                      {"load_reads", this->counts.load_reads}};
  return {{"attempts", std::move(attempts)},
          {"counts", calls},
          {"orders", std::move(order_log)},
          {"preemptions", model.Load().preemptions},
          {"incarnation", model.Incarnation()}};
}

}  // namespace meadowthread::standins
