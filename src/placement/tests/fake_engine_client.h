#ifndef MEADOWTHREAD_PLACEMENT_TESTS_FAKE_ENGINE_CLIENT_H_
#define MEADOWTHREAD_PLACEMENT_TESTS_FAKE_ENGINE_CLIENT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/http_client.h"
#include "placement/planner.h"

namespace meadowthread {

/// @brief A simulated engine that applies orders and completes loads later.
struct FakePlacementEngine {
  bool checks_fence = true;
  bool checks_deadline = true;
  bool throttled = false;    ///< answers orders with 429
  bool never_loads = false;  ///< as if the weight store refused every load
  std::int64_t load_ms = 2'000;

  std::int64_t highest_fence = 0;
  DesiredState state{"mixed", {}};
  DesiredState desired{"mixed", {}};
  std::int64_t ready_ms = 0;
  std::vector<std::int64_t> applied_fences;
  int refused = 0;
};

/// @brief The engines by name, and the fences of all orders as they were sent.
struct FakeEngineFleet {
  std::map<std::string, FakePlacementEngine> engines;
  std::vector<std::int64_t> sent_fences;
};

/// @brief A network fault that an order meets.
enum class OrderFault { kNone, kAnswerLost, kSendFailed };

/// @brief The HTTP client of one host; it reaches the engine NAME at
/// http://NAME. Calls are queued until a test delivers them.
class FakeEngineClient final : public HttpClient {
 public:
  FakeEngineClient(FakeEngineFleet& fleet, const Clock& clock)
      : fleet(fleet), clock(clock) {}

  HttpCallId Start(const HttpRequest& request, HttpHandler* handler) override;
  void Cancel(HttpCallId /*call*/) override {}
  void SetPaused(HttpCallId /*call*/, bool /*paused*/) override {}

  /// @brief Delivers the oldest call, and its answer.
  /// @return whether there was one
  bool DeliverNext();
  /// @brief Delivers all queued calls, and those that their answers lead to.
  void DeliverAll();
  /// @brief The number of queued orders.
  int PendingOrders() const;

  std::deque<OrderFault> faults;  ///< of the next orders, one each
  int orders_sent = 0;

 private:
  struct Call {
    HttpRequest request;
    HttpHandler* handler = nullptr;
  };

  void Answer(const Call& call, int status, const std::string& body) const;
  void ApplyOrder(const Call& call, FakePlacementEngine& engine);
  void AnswerLoad(const Call& call, FakePlacementEngine& engine) const;

  FakeEngineFleet& fleet;
  const Clock& clock;
  std::deque<Call> calls;
  HttpCallId last_call = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_TESTS_FAKE_ENGINE_CLIENT_H_
