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
#include "gateway/session_parts.h"
#include "quarantine/guarded_run.h"
#include "relay/attempt_outcome.h"

namespace meadowthread {

/// @brief Where a session is.
enum class SessionPhase {
  kClaiming,
  kQueued,
  kSending,    ///< sent; no generation named yet
  kStreaming,  ///< a generation is pinned
  kEnded,
};

/// @brief The phase's name in logs.
std::string_view SessionPhaseName(SessionPhase phase);

/// @brief Names one start of an engine in the quarantine's records.
std::string EngineStartKey(std::string_view engine,
                           std::string_view incarnation);

/// @brief What is known of a request when its session begins.
struct SessionStart {
  std::string request;  ///< its id
  std::string caller;   ///< a digest of the caller's key
  std::string idempotency_key;
  Hash256 body_digest{};
  CallerRequest asked;
  ServiceTerms terms;
  std::int64_t arrived_ms = 0;       ///< Unix time
  std::int64_t expected_tokens = 0;  ///< as counted against the limits
};

/// @brief One caller's generation, from claim to its one outcome.
class GenerationSession final : public GenerationSink {
 public:
  GenerationSession(const SessionParts& parts, const SessionStart& start,
                    std::unique_ptr<CallerStream> caller);
  ~GenerationSession() override;
  GenerationSession(const GenerationSession&) = delete;
  GenerationSession& operator=(const GenerationSession&) = delete;

  ///////////////
  // Beginnings
  ///////////////

  /// @brief Begins a new request.
  void Begin();

  /// @brief Goes on with an answer that another host may have begun.
  /// @param[in] from the first index that the caller lacks
  void BeginResumed(const ResumeTokenClaims& claims, std::int64_t from);

  ////////////////////////////////
  // What others decide about it
  ////////////////////////////////

  /// @brief The queue let it go: send to the engine chosen.
  void SendNow(const Decision& decision);

  /// @brief The queue gave it up.
  void GiveUp(RefusalReason reason, std::int64_t retry_after_ms);

  /// @brief A content is in quarantine now: ends if it is this one's and no
  /// engine has begun to answer it.
  void EndIfQuarantined(const CrashRecordId& quarantined);

  /// @brief Called now and then: keep-alive, slow callers.
  void Tick();

  /// @brief Cuts the caller off so that it resumes at another host, if it can.
  /// @return whether it was cut
  bool HandOver();

  const std::string& Request() const { return this->start.request; }
  SessionPhase Phase() const { return this->phase; }
  std::int64_t TokensDelivered() const { return this->caller->Delivered(); }

  /////////////////////////////
  // From the engine's stream
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
  void Replay(const ClaimResult& result);
  void ReleaseClaim();
  void RecordResult(const AnswerUsage& usage);

  // Placing and sending
  void Offer();
  void OfferAgain();
  void Send(const Decision& decision);
  void LogRoute(const Decision& decision) const;
  WorkItem MakeWork() const;
  std::int64_t DeadlineUnixMs() const;

  // The quarantine
  bool EndsInQuarantine();
  std::optional<ServerInstance> UnannouncedEngine() const;

  // Failing and trying again
  void RetryElsewhere(AttemptFailure failure, const absl::Status& cause,
                      Outcome outcome);
  void SendAgain(const absl::Status& cause, Outcome outcome);
  void ResumeSoon(const absl::Status& cause);
  void ResumeStream();
  void AfterGenerationLost(const absl::Status& cause);

  // Delivering
  void Apply(AssemblerAction verdict);
  void DeliverReady();
  void NoteTokenTimes(std::size_t count);
  void Complete();

  // Ending
  void OnCallerGone();
  void Fail(const absl::Status& status);
  void EndPolicy(StreamEnd end);
  void Finish(Outcome outcome, ErrorId error);
  void RetireStream();
  void CancelGeneration();
  ResumeTokenClaims MakeResumeClaims() const;
  absl::Status ErrorOf(ErrorId id, Outcome outcome, std::string_view step,
                       std::string_view what) const;
  bool MayRunAgain() const;
  absl::Status Truthful(const absl::Status& status) const;

  SessionParts parts;
  SessionStart start;
  GuardedRun guarded;
  std::unique_ptr<CallerStream> caller;
  SessionPhase phase = SessionPhase::kClaiming;
  std::optional<ClaimGrant> grant;
  EngineAddress engine;
  std::string engine_start;  ///< its incarnation when it was sent there
  std::unique_ptr<EngineStream> stream;
  std::vector<std::unique_ptr<EngineStream>> retired;
  StreamAssembler assembler;
  Lifetime life;
  /// The worst that is known of attempts which failed: a later one that has
  /// certainly not run takes nothing of it back.
  Outcome earlier = Outcome::kNotRun;
  int attempts = 0;
  int resumes = 0;  ///< since the last token
  std::int64_t first_token_ms = -1;
  std::int64_t last_token_ms = 0;
  std::int64_t longest_gap_ms = 0;
  std::int64_t last_sign_ms = 0;     ///< of anything sent to the caller
  std::int64_t paused_since_ms = 0;  ///< 0: not paused
  bool noted_in_fleet = false;
  bool resumed = false;  ///< begun elsewhere: the policy did not place it here
  bool caller_gone = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_GENERATION_SESSION_H_
