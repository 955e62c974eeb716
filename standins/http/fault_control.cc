#include "http/fault_control.h"

namespace meadowthread::standins {

void ApplyFaultControl(
    const Request& request, const ExchangePtr& exchange,
    const std::function<void(const nlohmann::json& change)>& apply) {
  const nlohmann::json change =
      nlohmann::json::parse(request.body, nullptr, false);
  if (!request.PathIs({"standin", "faults"}) || !change.is_object()) {
    exchange->Send(ErrorReply(400, "malformed", "not a control call"));
    return;
  }
  try {
    apply(change);
    exchange->Send(JsonReply(200, {{"applied", true}}));
  } catch (const nlohmann::json::exception& error) {
    exchange->Send(ErrorReply(400, "malformed", error.what()));
  }
}

}  // namespace meadowthread::standins
