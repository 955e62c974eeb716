#ifndef MEADOWTHREAD_GATEWAY_SESSION_DEPENDENCIES_H_
#define MEADOWTHREAD_GATEWAY_SESSION_DEPENDENCIES_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "answer/resume_token.h"
#include "base/clock.h"
#include "base/scheduler.h"
#include "claims/claim_service.h"
#include "engine/engine_client.h"
#include "gateway/caller_stream.h"
#include "policy/dispatcher.h"
#include "policy/retry_budget.h"
#include "policy/workspace_limits.h"
#include "quarantine/quarantine.h"

namespace meadowthread {

/// @brief Looks up the addresses of engines by name.
class EngineDirectory {
 public:
  virtual ~EngineDirectory() = default;

  /// @brief The engine's address; nullopt if the host list has none.
  virtual std::optional<EngineAddress> AddressOf(
      std::string_view engine) const = 0;
};

/// @brief Outcome and timing of an ended request, for metrics.
struct SessionEnd {
  std::string request;
  std::string workspace;
  Outcome outcome = Outcome::kNone;  ///< kNone: completed
  ErrorId error = ErrorId::kInternal;
  std::int64_t tokens = 0;
  std::int64_t first_token_ms = -1;  ///< since arrival; -1: no token came
  std::int64_t total_ms = 0;
  std::int64_t longest_gap_ms = 0;  ///< between tokens
  bool resumed = false;             ///< started by another session
};

/// @brief Observes the events of sessions.
class SessionObserver {
 public:
  virtual ~SessionObserver() = default;

  /// @brief A session ended. It must not be destroyed from within this call.
  virtual void OnSessionEnded(const SessionEnd& end) = 0;

  /// @brief Reports the time between two tokens.
  virtual void OnTokenGap(std::int64_t gap_ms) = 0;
};

/// @brief Timeouts and limits of sessions.
struct SessionOptions {
  DeliveryLimits delivery_limits;
  std::int64_t keepalive_ms = 15'000;
  std::int64_t resume_expiry_ms = 600'000;
  std::int64_t orphan_timeout_ms = 30'000;
  std::int64_t slow_caller_timeout_ms = 60'000;
  std::int64_t recorded_text_limit_bytes = std::int64_t{512} * 1024;
  int max_resumes = 5;  ///< consecutive attempts without a new token
};

/// @brief Dependencies of a session; all must outlive it.
struct SessionDependencies {
  const Clock& clock;
  Scheduler& scheduler;
  EngineClient& engines;
  const EngineDirectory& directory;
  Dispatcher& dispatcher;
  FleetState& fleet;
  RetryBudget& retries;
  WorkspaceLimits& limits;
  ClaimService& claims;
  Quarantine& quarantine;
  const ResumeTokenCodec& tokens;
  SessionObserver* observer;
  SessionOptions options;
  std::mt19937_64& random;
};

/// @brief How a generation is to be run, from its workspace's service template.
struct GenerationParameters {
  std::string workspace;
  std::string template_name;
  std::int64_t template_version = 0;
  ServedModel model;
  Urgency urgency = Urgency::kNormal;
  std::int64_t max_output_tokens = 0;
  std::int64_t deadline_ms = 0;  ///< maximum from arrival to sending
  bool whole_delivery = false;
  bool at_most_once = false;
  KeyForm key_form = KeyForm::kTimed;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_SESSION_DEPENDENCIES_H_
