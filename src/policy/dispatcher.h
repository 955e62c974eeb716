#ifndef MEADOWTHREAD_POLICY_DISPATCHER_H_
#define MEADOWTHREAD_POLICY_DISPATCHER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "policy/admission.h"
#include "policy/chooser.h"
#include "policy/fleet_state.h"
#include "policy/work.h"

namespace meadowthread {

/// @brief One piece of work to be sent now, already noted in the fleet state.
struct SendOrder {
  WorkItem work;
  Decision decision;
};

/// @brief Orders that one call of Dispatcher::Drain gives unless told.
inline constexpr int kMostSentAtOnce = 64;

/// @brief The answer to newly arrived work.
struct DispatchAnswer {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalReason refusal = RefusalReason::kNone;
  Decision decision;                ///< the engine, where admitted
  std::int64_t retry_after_ms = 0;  ///< where refused
};

/// @brief Joins queues, chooser and fleet state: what `serve` and the bench
/// both call.
class Dispatcher {
 public:
  /// @param[in] fleet outlives the dispatcher
  /// @param[in] chooser outlives the dispatcher
  Dispatcher(FleetState& fleet, EngineChooser& chooser,
             AdmissionOptions options = {});

  /// @brief Sends, queues or refuses work that has just arrived.
  DispatchAnswer Offer(WorkItem work, std::int64_t now_ms,
                       std::uint64_t random);

  /// @brief Queued work that can be sent now. To be called when a stream
  /// ended and every few tens of milliseconds.
  /// @param[in] most orders at once, so that a host whose view of the engines
  /// is wrong does not empty its queue onto them
  std::vector<SendOrder> Drain(std::int64_t now_ms, std::uint64_t random,
                               int most = kMostSentAtOnce);

  /// @brief Queued work that is not worth waiting for any more.
  std::vector<GivenUp> Expire(std::int64_t now_ms, std::uint64_t random);

  /// @brief Takes a queued request out (its caller went away).
  bool Cancel(std::string_view request);

  const AdmissionQueue& Queue() const { return this->queue; }

 private:
  FleetState& fleet;
  EngineChooser& chooser;
  AdmissionQueue queue;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_DISPATCHER_H_
