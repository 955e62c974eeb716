#include "exchange/rpc_error.h"

#include "base/error_json.h"
#include "base/json_fields.h"

namespace meadowthread {

using nlohmann::json;

std::string RpcErrorData(const absl::Status& status) {
  json data = ErrorDetailJson(DetailOf(status));
  data["status"] = static_cast<int>(status.code());
  return data.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::Status RpcErrorFromData(std::string_view data, std::string_view message,
                              std::string_view peer) {
  const json value = json::parse(data, nullptr, false);
  const auto rejected = static_cast<std::int64_t>(ErrorId::kRejectedByPeer);
  ErrorDetail detail;
  detail.id = static_cast<ErrorId>(IntOr(value, "id", rejected));
  detail.outcome = static_cast<Outcome>(IntOr(value, "outcome", 0));
  detail.step = StringOr(value, "step", "rpc_call");
  detail.peer = StringOr(value, "peer", "");
  detail.field = StringOr(value, "field", "");
  detail.retry_after_ms = IntOr(value, "retry_after_ms", -1);
  if (detail.peer.empty()) {
    detail.peer = std::string(peer);
  }
  const auto internal = static_cast<int>(absl::StatusCode::kInternal);
  const std::int64_t code = IntOr(value, "status", internal);
  // An error response must not become an OK status, whatever its data says.
  const bool known = code > 0 && code <= 16;
  return MakeError(static_cast<absl::StatusCode>(known ? code : internal),
                   detail, message);
}

}  // namespace meadowthread
