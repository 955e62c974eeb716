#ifndef MEADOWTHREAD_GATEWAY_GENERATION_SESSION_H_
#define MEADOWTHREAD_GATEWAY_GENERATION_SESSION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "answer/stream_assembler.h"
#include "base/lifetime.h"
#include "engine/engine_stream.h"
#include "gateway/caller_request.h"
#include "gateway/caller_stream.h"
#include "gateway/session_dependencies.h"
#include "quarantine/request_quarantine.h"
#include "relay/attempt_outcome.h"

namespace meadowthread {

/// @brief State of a session.
enum class SessionPhase {
  kClaiming,
  kQueued,
  kSending,    ///< sent to an engine, which has not yet named a generation
  kStreaming,  ///< bound to one generation
  kEnded,
};

/// @brief The phase's name in logs.
std::string_view SessionPhaseName(SessionPhase phase);

/// @brief Key of one incarnation of an engine in quarantine records.
std::string EngineInstanceKey(std::string_view engine,
                              std::string_view incarnation);

/// @brief Inputs of a new session.
struct SessionStart {
  std::string request;  ///< id of the request
  std::string caller;   ///< CallerIdentity::caller
  std::string idempotency_key;
  Hash256 body_digest{};
  CallerRequest caller_request;
  GenerationParameters parameters;
  std::int64_t arrived_ms = 0;       ///< Unix time
  std::int64_t expected_tokens = 0;  ///< counted against the workspace's limits
};

/// @brief Runs one caller's generation, from its claim on the idempotency key
/// to its final outcome.
class GenerationSession final : public GenerationSink {
 public:
  GenerationSession(const SessionDependencies& deps, const SessionStart& start,
                    std::unique_ptr<CallerStream> caller);
  ~GenerationSession() override;
  GenerationSession(const GenerationSession&) = delete;
  GenerationSession& operator=(const GenerationSession&) = delete;

  ///////////////
  // Starting
  ///////////////

  /// @brief Starts a new request.
  void Begin();

  /// @brief Resumes an answer that may have been started by another host.
  /// @param[in] from index of the first token that the caller does not have
  void BeginResumed(const ResumeTokenClaims& claims, std::int64_t from);

  ////////////////////////////////
  // Called by the gateway
  ////////////////////////////////

  /// @brief Sends the request to the engine that the dispatcher chose.
  void SendNow(const Decision& decision);

  /// @brief Fails the request because the dispatcher refused it or dropped it
  /// from the queue.
  void GiveUp(RefusalReason reason, std::int64_t retry_after_ms);

  /// @brief Ends the request if it has the newly quarantined content and no
  /// engine has begun to answer it.
  void EndIfQuarantined(const CrashRecord& quarantined);

  /// @brief Periodic work: sends keep-alives, disconnects a caller that is too
  /// slow.
  void Tick();

  /// @brief Disconnects the caller if it can resume at another host.
  /// @return whether it was disconnected
  bool DisconnectForResume();

  const std::string& Request() const { return this->start.request; }
  SessionPhase Phase() const { return this->phase; }
  std::int64_t TokensDelivered() const { return this->caller->Delivered(); }

  /////////////////////////////
  // Events of the engine's stream
  /////////////////////////////

  void OnGenerationStarted(const std::string& generation) override;
  void OnToken(const TokenEvent& token) override;
  void OnFinished(const GenerationFinish& finish) override;
  void OnLost(const std::string& generation,
              const std::string& reason) override;
  void OnReplaced(const std::string& generation) override;
  void OnStreamClosed(const StreamClose& close) override;

 private:
  // Claiming
  void Claim();
  void OnClaimed(const absl::StatusOr<ClaimAnswer>& answer);
  void ReplayRecordedAnswer(const ClaimResult& result);
  void ReleaseClaim();
  void RecordResult(const TokenUsage& usage);

  // Placing and sending
  void SubmitFirst();
  void SubmitToDispatcher();
  void Send(const Decision& decision);
  void LogRoute(const Decision& decision) const;
  WorkItem MakeWorkItem() const;
  std::int64_t DeadlineUnixMs() const;

  // Quarantine
  bool FailIfQuarantined();
  std::optional<ServerInstance> EngineIfNotLeaving() const;

  // Failures and retries
  void OnAttemptFailed(AttemptFailure failure, const absl::Status& cause,
                       Outcome outcome);
  void RetryOrFail(const absl::Status& cause, Outcome outcome);
  void ResumeSoon(const absl::Status& cause);
  void ResumeStream();
  void AfterGenerationLost(const absl::Status& cause);

  // Delivering
  void Apply(AssemblerAction action);
  void DeliverReady();
  void RecordTokenTimes(std::size_t count);
  void Complete();

  // Ending
  void OnCallerGone();
  void Fail(const absl::Status& status);
  void ReportEndToFleet(StreamEnd end);
  void Finish(Outcome outcome, ErrorId error);
  void RetireStream();
  void CancelGeneration();
  ResumeTokenClaims MakeResumeClaims() const;
  absl::Status EngineError(ErrorId id, Outcome outcome, std::string_view step,
                           std::string_view what) const;
  bool MayStartNewGeneration() const;
  absl::Status WithEarlierOutcome(const absl::Status& status) const;

  SessionDependencies deps;
  SessionStart start;
  RequestQuarantine guarded;
  std::unique_ptr<CallerStream> caller;
  SessionPhase phase = SessionPhase::kClaiming;
  std::optional<ClaimGrant> grant;
  EngineAddress engine;
  std::string engine_incarnation;  ///< of `engine`, at the time of sending
  std::unique_ptr<EngineStream> stream;
  std::vector<std::unique_ptr<EngineStream>> retired;
  StreamAssembler assembler;
  Lifetime life;
  /// Worst outcome of the failed attempts so far. A later attempt that
  /// certainly did not run does not change it.
  Outcome earlier_outcome = Outcome::kNotRun;
  int attempts = 0;
  int resumes_since_token = 0;
  std::int64_t first_token_ms = -1;
  std::int64_t last_token_ms = 0;
  std::int64_t longest_gap_ms = 0;
  std::int64_t last_sent_ms = 0;     ///< time of the last output
  std::int64_t paused_since_ms = 0;  ///< 0: not paused
  bool tracked_in_fleet = false;
  bool resumed = false;  ///< another session started and placed it
  bool caller_gone = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_GENERATION_SESSION_H_
