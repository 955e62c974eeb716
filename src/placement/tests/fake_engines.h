#ifndef MEADOWTHREAD_PLACEMENT_TESTS_FAKE_ENGINES_H_
#define MEADOWTHREAD_PLACEMENT_TESTS_FAKE_ENGINES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/http_client.h"
#include "placement/planner.h"

namespace meadowthread {

/// @brief An engine that takes orders, and loads after a while.
struct FakeEngine {
  bool checks_fence = true;
  bool checks_deadline = true;
  bool throttled = false;    ///< answers orders with 429
  bool never_loads = false;  ///< the weight store refuses it for good
  std::int64_t load_ms = 2'000;

  std::int64_t highest_fence = 0;
  DesiredState state{"mixed", {}};
  DesiredState wanted{"mixed", {}};
  std::int64_t ready_ms = 0;
  std::vector<std::int64_t> applied_fences;
  int refused = 0;
};

/// @brief The engines, and the orders in the sequence in which they left.
struct FakeFleet {
  std::map<std::string, FakeEngine> engines;
  std::vector<std::int64_t> sent_fences;
};

/// @brief What happens to the next order on its way.
enum class OrderFault { kNone, kAnswerLost, kNeverLeft };

/// @brief One host's way to the engines at http://NAME; calls wait until a test
/// delivers them.
class FakeEngines final : public HttpClient {
 public:
  FakeEngines(FakeFleet& of, const Clock& by) : fleet(of), clock(by) {}

  HttpCallId Start(const HttpRequest& request, HttpHandler* handler) override;
  void Cancel(HttpCallId /*call*/) override {}
  void SetPaused(HttpCallId /*call*/, bool /*paused*/) override {}

  /// @brief Delivers the oldest call, and its answer.
  bool Step();
  /// @brief Delivers all.
  void Settle();
  /// @brief Orders that wait to be delivered.
  int OrdersWaiting() const;

  std::deque<OrderFault> faults;
  int orders_sent = 0;

 private:
  struct Call {
    HttpRequest request;
    HttpHandler* handler = nullptr;
  };

  void Answer(const Call& call, int status, const std::string& body) const;
  void TakeOrder(const Call& call, FakeEngine& engine);
  void TellLoad(const Call& call, FakeEngine& engine) const;

  FakeFleet& fleet;
  const Clock& clock;
  std::deque<Call> calls;
  HttpCallId last_call = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_TESTS_FAKE_ENGINES_H_
