#include "weights/weight_service.h"

#include <optional>

namespace meadowthread::standins {
namespace {

constexpr std::int64_t kMsPerSecond = 1000;

std::optional<WeightLoad> ParseLoad(std::string_view body) {
  try {
    const nlohmann::json load = nlohmann::json::parse(body);
    return WeightLoad{load.at("engine").get<std::string>(),
                      load.at("model").get<std::string>(),
                      load.value("adapter", ""), load.value("version", "")};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

void WeightService::Handle(const Request& request,
                           const ExchangePtr& exchange) {
  if (request.PathIs({"loads"}) && request.method == "POST") {
    this->Load(request, exchange);
  } else if (request.PathIs({"standin", "record"})) {
    exchange->Send(JsonReply(200, this->RecordJson()));
  } else {
    exchange->Send(ErrorReply(404, "no_such_call", request.path));
  }
}

void WeightService::Load(const Request& request, const ExchangePtr& exchange) {
  std::optional<WeightLoad> load = ParseLoad(request.body);
  if (!load) {
    exchange->Send(ErrorReply(400, "malformed", "not a load"));
    return;
  }
  load->at_ms = this->clock.NowMs();
  load->granted = this->limit.Take(load->at_ms);
  this->loads.push_back(*load);
  if (load->granted) {
    exchange->Send(JsonReply(200, {{"ready_after_ms", this->options.load_ms}}));
    return;
  }
  const std::int64_t wait_s =
      (this->limit.WaitMs() + kMsPerSecond - 1) / kMsPerSecond;
  Reply reply = ErrorReply(429, "rate", "over the rate limit");
  reply.headers.push_back({"Retry-After", std::to_string(wait_s)});
  exchange->Send(reply);
}

nlohmann::json WeightService::RecordJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const WeightLoad& load : this->loads) {
    list.push_back({{"engine", load.engine},
                    {"model", load.model},
                    {"adapter", load.adapter},
                    {"version", load.version},
                    {"granted", load.granted},
                    {"unix_ms", load.at_ms}});
  }
  return {{"loads", std::move(list)}};
}

}  // namespace meadowthread::standins
