#include "placement/orderer.h"

#include <algorithm>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

constexpr std::size_t kAnswerLimitBytes = 65'536;
// With less left than this the order would hardly arrive in time.
constexpr std::int64_t kLeastRemainingMs = 100;

absl::Status NotSent(ErrorId id, std::string_view engine,
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
  line.Add("why", order.why);
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

absl::Status Orderer::MaySend(const EngineOrder& order) const {
  if (this->lease.RemainingMs() < kLeastRemainingMs) {
    return NotSent(ErrorId::kLeaseLost, order.engine, "the lease is not held");
  }
  const OwnershipAnswer owned =
      this->ownership.Look({OwnedKind::kEngine, order.engine});
  if (owned.verdict != OwnershipVerdict::kOurs) {
    return NotSent(ErrorId::kOwnedElsewhere, order.engine,
                   OwnershipVerdictName(owned.verdict));
  }
  // The former owner's fences are older than the hand-over: ours must be
  // newer, or its late orders would look newer than ours.
  if (this->lease.Fence() <= owned.version) {
    return NotSent(ErrorId::kOrderStale, order.engine,
                   "the fence is older than the engine's hand-over");
  }
  return absl::OkStatus();
}

HttpRequest Orderer::Request(const EngineOrder& order) const {
  // The wall clock first: a pause between the two readings must shorten the
  // engine's deadline, never move it past the lease's end.
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
  // 0 would mean no limit at all.
  request.total_timeout_ms = std::max<std::int64_t>(1, window_ms);
  request.connect_timeout_ms =
      std::min(request.connect_timeout_ms, request.total_timeout_ms);
  // A second sending by the library would come after our check.
  request.send_once = true;
  request.reuse_idle_ms = 0;
  return request;
}

void Orderer::Send(const EngineOrder& order, const Done& done) {
  const absl::Status may = this->MaySend(order);
  if (!may.ok()) {
    if (DetailOf(may).id == ErrorId::kOrderStale) {
      this->lease.RenewSoon();
    }
    OrderResult result;
    result.outcome = OrderOutcome::kNotSent;
    result.status = may;
    Log(order, this->lease.Fence(), result);
    done(result);
    return;
  }
  const std::int64_t fence = this->lease.Fence();
  Fetch(this->client, this->Request(order), kAnswerLimitBytes,
        this->life.Guarded(
            [this, order, fence, done](const HttpFetched& fetched) {
              const OrderResult result =
                  this->Settle(ReadOrderAnswer(fetched, order.engine), fence);
              Log(order, fence, result);
              done(result);
            }));
}

OrderResult Orderer::Settle(const OrderResult& answer, std::int64_t fence) {
  if (answer.outcome != OrderOutcome::kStaleFence) {
    return answer;
  }
  OrderResult result = answer;
  if (this->lease.IsOwnFence(answer.peer_fence)) {
    result.outcome = OrderOutcome::kSuperseded;
  } else if (this->lease.IsOwnFence(fence)) {
    // Some other holder ordered this engine: whatever our clock says, we are
    // not, or not alone, in charge.
    this->lease.StepDown("stale_fence");
  }
  return result;
}

}  // namespace meadowthread
