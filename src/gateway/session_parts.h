#ifndef MEADOWTHREAD_GATEWAY_SESSION_PARTS_H_
#define MEADOWTHREAD_GATEWAY_SESSION_PARTS_H_

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

/// @brief Where engines are reached, by name.
class EngineDirectory {
 public:
  virtual ~EngineDirectory() = default;

  /// @brief The engine's address; empty where the host list has none.
  virtual std::optional<EngineAddress> AddressOf(
      std::string_view engine) const = 0;
};

/// @brief How one request ended, for counting.
struct SessionEnd {
  std::string request;
  std::string workspace;
  Outcome outcome = Outcome::kNone;  ///< kNone: complete
  ErrorId error = ErrorId::kInternal;
  std::int64_t tokens = 0;
  std::int64_t first_token_ms = -1;  ///< since arrival; -1: none came
  std::int64_t total_ms = 0;
  std::int64_t longest_gap_ms = 0;  ///< between tokens
  bool resumed = false;             ///< its work was begun by another session
};

/// @brief Told what happens to sessions.
class SessionObserver {
 public:
  virtual ~SessionObserver() = default;

  /// @brief A session ended and may be destroyed, but not from within.
  virtual void OnSessionEnded(const SessionEnd& end) = 0;

  /// @brief Time from one token to the next, milliseconds.
  virtual void OnTokenGap(std::int64_t gap_ms) = 0;
};

/// @brief Time limits and bounds of sessions.
struct SessionOptions {
  CallerLimits bounds;
  std::int64_t keepalive_ms = 15'000;
  std::int64_t resume_expiry_ms = 600'000;
  std::int64_t orphan_timeout_ms = 30'000;
  std::int64_t slow_caller_timeout_ms = 60'000;
  std::int64_t kept_result_bytes = std::int64_t{512} * 1024;
  int max_resumes = 5;  ///< of one generation, without a token in between
};

/// @brief Everything a session works with; all of it outlives sessions.
struct SessionParts {
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

/// @brief What a request is to be done with, from its template.
struct ServiceTerms {
  std::string workspace;
  std::string template_name;
  std::int64_t template_version = 0;
  ServedModel model;
  Urgency urgency = Urgency::kNormal;
  std::int64_t max_output_tokens = 0;
  std::int64_t deadline_ms = 0;  ///< for the first byte sent to an engine
  bool whole_delivery = false;
  bool at_most_once = false;
  KeyForm key_form = KeyForm::kTimed;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_SESSION_PARTS_H_
