#include "placement/order_sender.h"

#include <algorithm>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

constexpr std::size_t kMaxAnswerBytes = 65'536;
// No order is sent when less of the lease is left, as the order would probably
// arrive after its deadline.
constexpr std::int64_t kMinRemainingMs = 100;

absl::Status NotSentError(ErrorId id, std::string_view engine,
                          std::string_view message) {
  ErrorDetail error;
  error.id = id;
  error.outcome = Outcome::kNotRun;
  error.step = "order.check";
  error.peer = std::string(engine);
  return MakeError(absl::StatusCode::kFailedPrecondition, error, message);
}

void Log(const EngineOrder& order, std::int64_t fence,
         const OrderResult& result) {
  LogLine line("placement");
  line.Add("engine", order.engine).Add("fence", fence);
  line.Add("why", order.reason);
  line.Add("outcome", OrderOutcomeName(result.outcome));
  line.Add("role", order.desired.role);
  std::string models;
  for (const ServedModel& model : order.desired.models) {
    models.append(models.empty() ? "" : ",").append(model.model);
    models.append("/").append(model.adapter).append("/").append(model.version);
  }
  line.Add("models", models);
  if (!result.status.ok()) {
    const absl::string_view message = result.status.message();
    line.Add("error", std::string_view(message.data(), message.size()));
  }
  line.Write();
}

}  // namespace

absl::Status OrderSender::CheckMaySend(const EngineOrder& order) const {
  if (this->lease.RemainingMs() < kMinRemainingMs) {
    return NotSentError(ErrorId::kLeaseLost, order.engine,
                        "the lease is not held");
  }
  const OwnershipLookup owned =
      this->ownership.Lookup({OwnedKind::kEngine, order.engine});
  if (owned.verdict != OwnershipVerdict::kOurs) {
    return NotSentError(ErrorId::kOwnedElsewhere, order.engine,
                        OwnershipVerdictName(owned.verdict));
  }
  // The previous owner's fencing tokens are lower than the version that changed
  // the owner. Ours must be higher than that version, or the engine could take
  // a late order of the previous owner for newer than ours.
  if (this->lease.Fence() <= owned.version) {
    return NotSentError(ErrorId::kOrderStale, order.engine,
                        "the fence is older than the engine's change of owner");
  }
  return absl::OkStatus();
}

HttpRequest OrderSender::Request(const EngineOrder& order) const {
  // Reads the wall clock first: a pause before the next reading then shortens
  // the deadline and cannot move it past the end of the lease.
  const std::int64_t now_unix_ms = this->clock.WallMs();
  const std::int64_t window_ms = std::min(
      this->lease.Settings().order_window_ms, this->lease.RemainingMs());
  OrderMessage message;
  message.holder = this->lease.Settings().holder;
  message.fence = this->lease.Fence();
  message.deadline_unix_ms = now_unix_ms + window_ms;
  message.desired = order.desired;
  HttpRequest request;
  request.method = "POST";
  request.url = order.base_url + "/v1/orders";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = EncodeOrder(message);
  // At least 1, as 0 would mean no timeout.
  request.total_timeout_ms = std::max<std::int64_t>(1, window_ms);
  request.connect_timeout_ms =
      std::min(request.connect_timeout_ms, request.total_timeout_ms);
  // An automatic retry by the HTTP client would bypass the checks of
  // CheckMaySend.
  request.send_once = true;
  request.reuse_idle_ms = 0;
  return request;
}

void OrderSender::Send(const EngineOrder& order, const Done& done) {
  const absl::Status check = this->CheckMaySend(order);
  if (!check.ok()) {
    if (DetailOf(check).id == ErrorId::kOrderStale) {
      this->lease.RenewSoon();
    }
    OrderResult result;
    result.outcome = OrderOutcome::kNotSent;
    result.status = check;
    Log(order, this->lease.Fence(), result);
    done(result);
    return;
  }
  const std::int64_t fence = this->lease.Fence();
  Fetch(this->client, this->Request(order), kMaxAnswerBytes,
        this->life.Guarded(
            [this, order, fence, done](const FetchResult& fetched) {
              const OrderResult result = this->ClassifyAnswer(
                  ReadOrderAnswer(fetched, order.engine), fence);
              Log(order, fence, result);
              done(result);
            }));
}

OrderResult OrderSender::ClassifyAnswer(const OrderResult& answer,
                                        std::int64_t fence) {
  if (answer.outcome != OrderOutcome::kStaleFence) {
    return answer;
  }
  OrderResult result = answer;
  if (this->lease.IsOwnFence(answer.peer_fence)) {
    result.outcome = OrderOutcome::kSuperseded;
  } else if (this->lease.IsOwnFence(fence)) {
    // Another holder has sent orders to this engine, so this host may no longer
    // count as the holder, even if its own clocks say that its lease is valid.
    this->lease.StepDown("stale_fence");
  }
  return result;
}

}  // namespace meadowthread
