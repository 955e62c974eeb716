#ifndef MEADOWTHREAD_POLICY_DISPATCHER_H_
#define MEADOWTHREAD_POLICY_DISPATCHER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "policy/admission.h"
#include "policy/chooser.h"
#include "policy/fleet_state.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief A queued piece of work to be sent now; the fleet state already counts
/// it.
struct SendOrder {
  WorkItem work;
  Decision decision;
};

/// @brief Default limit on the orders returned by one call of
/// Dispatcher::Drain.
inline constexpr int kMaxDispatchedPerCall = 64;

/// @brief Result of Dispatcher::Offer.
struct DispatchResult {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalReason refusal = RefusalReason::kNone;
  Decision decision;                ///< names the engine, if admitted
  std::int64_t retry_after_ms = 0;  ///< set if refused
};

/// @brief Connects the admission queue, the engine chooser and the fleet state.
/// Used by both `serve` and the benchmark.
class Dispatcher {
 public:
  /// @param[in] fleet must outlive the dispatcher
  /// @param[in] chooser must outlive the dispatcher
  Dispatcher(FleetState& fleet, EngineChooser& chooser,
             AdmissionOptions options = {});

  /// @brief Admits, queues or refuses new work.
  DispatchResult Offer(WorkItem work, std::int64_t now_ms,
                       std::uint64_t random);

  /// @brief Removes and returns queued work that can be sent now. Should be
  /// called whenever a stream ends, and every few tens of milliseconds.
  /// @param[in] max_orders limit for this call, so that a host with a wrong
  /// view of the engines does not send them its whole queue at once
  std::vector<SendOrder> Drain(std::int64_t now_ms, std::uint64_t random,
                               int max_orders = kMaxDispatchedPerCall);

  /// @brief Removes and returns queued work that has waited too long or whose
  /// deadline has passed.
  std::vector<ExpiredWork> Expire(std::int64_t now_ms, std::uint64_t random);

  /// @brief Removes a queued request, for instance because its caller
  /// disconnected.
  bool Cancel(std::string_view request);

  /// @brief The admission queue, for inspection.
  const AdmissionQueue& Queue() const { return this->queue; }

 private:
  FleetState& fleet;
  EngineChooser& chooser;
  AdmissionQueue queue;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_DISPATCHER_H_
