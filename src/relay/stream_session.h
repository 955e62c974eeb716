#ifndef MEADOWTHREAD_RELAY_STREAM_SESSION_H_
#define MEADOWTHREAD_RELAY_STREAM_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/lifetime.h"
#include "net/response_writer.h"
#include "policy/engine_view.h"
#include "policy/stop_admission.h"
#include "policy/work_item.h"
#include "quarantine/request_quarantine.h"
#include "relay/event_sequence.h"
#include "relay/relay_dependencies.h"
#include "relay/relay_request.h"
#include "relay/run_move.h"
#include "relay/sse_event_splitter.h"
#include "relay/stream_limit.h"

namespace meadowthread {

/// @brief Progress of a stream.
enum class StreamPhase {
  kQueued,     ///< waits for an engine with room
  kSent,       ///< sent to an engine that has not answered yet
  kStreaming,  ///< events are being forwarded
  kResuming,   ///< stopped at one engine and not yet continued at the next
  kEnded,
};

/// @brief One generation: placed on an engine, forwarded event by event, moved
/// together with its KV cache if the engine leaves, and ended exactly once.
class StreamSession final : public HttpHandler, public RunMoveOwner {
 public:
  /// @param[in] ended called once; the session has to be destroyed later, not
  /// within the call
  StreamSession(const RelayDependencies& deps,
                const StreamDependencies& stream_deps, EngineControl& control,
                const CallerProtocol& callers, RelayRequest request,
                RelayTerms terms, std::int64_t tokens_per_event,
                std::unique_ptr<ResponseWriter> writer,
                std::function<void()> ended);
  ~StreamSession() override;
  StreamSession(const StreamSession&) = delete;
  StreamSession& operator=(const StreamSession&) = delete;

  /// @brief Starts the deadline and requests a placement on an engine.
  void Begin();

  /// @brief Sends the request to the engine chosen for it.
  void SendTo(const Decision& decision);

  /// @brief Refuses the request because the dispatcher refused it or dropped it
  /// from its queue.
  void RefuseFromQueue(RefusalReason reason, std::int64_t retry_after_ms);

  /// @brief Refuses the stream if it waits for an engine and the host shuts
  /// down so soon that no engine is certain to end it before.
  /// @return whether it was refused
  bool RefuseIfStopEndsFirst();

  /// @brief Ends the stream because the host shuts down: reported as not run if
  /// it has not been sent to an engine, otherwise interrupted.
  /// @param[in] return_after_ms retry delay for a request that did not run
  void EndForShutdown(std::int64_t return_after_ms);

  /// @brief Ends the stream if its content is the one that has been put into
  /// quarantine and no engine has begun to answer it.
  void EndIfQuarantined(const CrashRecord& quarantined);

  /// @brief Tries to move the run to another engine because its engine leaves.
  /// @param[in] target key of the engine
  /// @return whether a move has begun
  bool MoveTo(const std::string& target);

  /// @brief Called when an engine has started again and has lost its runs and
  /// copies.
  /// @param[in] started_again the key of its previous start
  void NoteStartedAgain(std::string_view started_again);

  /// @brief Ends the stream of an engine that has started again, once it has
  /// been silent for long enough. The connection may never report its end.
  /// @param[in] silent_ms how long no data must have arrived
  /// @return whether the stream was treated as ended
  bool EndIfSilent(std::int64_t silent_ms);

  const RelayRequest& Request() const { return this->request; }
  const RelayTerms& Terms() const { return this->terms; }
  StreamPhase Phase() const { return this->phase; }
  /// @brief Key of the engine that has the run, empty if none.
  const std::string& Engine() const { return this->engine; }
  bool IsMoving() const { return this->move != nullptr; }
  /// @brief Whether the run's KV cache is being copied while the run continues.
  bool IsCopying() const {
    return this->IsMoving() && this->move->Step() == MoveStep::kCopying;
  }
  /// @brief Key of the engine it moves to; only valid while it moves.
  const std::string& MoveTarget() const { return this->move->Plan().target; }
  std::int64_t Events() const { return this->events; }
  std::int64_t KvCacheTokens() const;
  /// @brief Longest pause with which the stream is in time, divided by the
  /// tokens of an event; 0: no limit.
  std::int64_t MaxTokenGapUs() const;

  // HttpHandler
  void OnHead(int http_status, std::span<const HttpHeader> headers) override;
  void OnData(std::string_view data) override;
  void OnEnd(const HttpCallResult& end) override;

  // RunMoveOwner
  void OnMoveReady(const Continuation& continuation,
                   const std::string& target) override;
  void OnMoveOver(MoveEnd end) override;

 private:
  // Retry delay for callers if no engine can be used.
  static constexpr std::int64_t kNoEngineRetryMs = 400;

  void RequestPlacement();
  bool RefuseIfQuarantined();
  void OnPlacement(const StreamAdmissionPlan& arrival, WorkItem work,
                   const Decision& decision);
  void RetryPlacementAfter(std::int64_t after_ms);
  void Enqueue(const WorkItem& work, DecisionReason why, std::int64_t wait_ms);
  void RefuseQueued(DecisionReason why);
  bool MaySendTo(std::string_view key) const;
  bool FallBackToOtherVersions();
  StreamForecast ForecastAt(std::optional<EngineIndex> index) const;
  std::int64_t LeastMaxDurationMs() const;
  bool RefuseIfStopEndsFirstAt(std::string_view key);
  void RefuseForStop(std::int64_t max_ms);
  bool RefuseUnservable();
  bool RefuseIfHeldBack();
  void AskPermit(const Decision& decision);
  void SendWithPermit(const Decision& decision);
  std::int64_t ElapsedMs() const;
  void Send(const Backend& backend, const std::optional<Continuation>& from);
  void ForwardEvents(std::span<const RawSseEvent> new_events);
  bool AppendNewEvents(std::span<const RawSseEvent> new_events,
                       std::string* bytes);
  void NoteGap(std::int64_t gap_ms, bool was_moved);
  void RecordLinkStall();
  void SendHeadOnce();
  bool IsWithinLimit(std::span<const RawSseEvent> new_events);
  void HoldWholeAnswer(std::string_view data);
  void EndAtLimit(std::string_view why);
  void EndForLackOfMemory();
  void OnStreamEnd(const HttpCallResult& end);
  void OnRejected();
  void OnConnectionLost(const HttpCallResult& end);
  void OnResumeFailed(const HttpCallResult& end, AnswerMeaning meaning);
  const Backend* FindKvCacheHolder(const Continuation& from,
                                   std::string_view target) const;
  bool ResumeAtSource();
  void ResumeWhenPermitted(const std::string& holder, const Continuation& from,
                           std::int64_t until_ms);
  void ResumeLater(const std::string& holder, const Continuation& from,
                   std::int64_t until_ms);
  void ResumeWithPermit(const std::string& holder, const Continuation& from,
                        std::int64_t until_ms);
  void Resume(const Backend& holder, const Continuation& from);
  void ReleaseMoveReservations();
  std::string CopyReservationId() const;
  void ReleaseCopyReservation();
  void Complete();
  void ForwardWholeAnswer();
  void Refuse(ErrorId id, Outcome outcome, std::string_view step,
              std::string_view what, std::int64_t retry_after_ms);
  void Interrupt(std::string_view why);
  void OnCallerGone();
  void OnDeadline();
  void NoteFirstEvent(std::int64_t now_ms);
  void NoteGoodRun();
  std::int64_t MeanGapMs() const;
  void RecordAttemptEnd(AttemptResult result);
  void ReleaseFleetState(StreamEnd how);
  void CancelCall();
  void End(std::string_view outcome, std::string_view why);
  std::int64_t RemainingMs() const;
  WorkItem MakeWork() const;

  const RelayDependencies& deps;
  const StreamDependencies& stream_deps;
  EngineControl& control;
  const CallerProtocol& callers;
  RelayRequest request;
  RelayTerms terms;
  RequestQuarantine guarded;
  std::int64_t tokens_per_event;
  std::unique_ptr<ResponseWriter> writer;
  std::function<void()> ended;

  StreamPhase phase = StreamPhase::kQueued;
  std::string engine;
  HttpCallId call = 0;
  /// The fleet state counts this stream as running on an engine.
  bool in_fleet_state = false;
  bool is_event_stream = false;
  AnswerMeaning meaning = AnswerMeaning::kRan;
  ResponseHead head;  ///< as received from the first engine
  bool head_sent = false;
  HeldAnswer whole_body;  ///< of an answer that is not an event stream
  SseEventSplitter splitter;
  StreamLimit limit;        ///< of the latest attempt
  std::int64_t events = 0;  ///< forwarded
  /// Forwarded before the latest attempt began.
  std::int64_t events_before = 0;
  EventSequence sequence;
  int attempts = 0;
  int moves = 0;    ///< moves after which events arrived
  int resumes = 0;  ///< attempts after the first, for any reason
  std::optional<Continuation> resumed_from;
  std::unique_ptr<RunMove> move;
  std::vector<std::unique_ptr<RunMove>> old_moves;
  /// How the engine's stream ended, if a move may have stopped it; handled once
  /// the move is over.
  std::optional<HttpCallResult> deferred_end;
  std::int64_t deadline_ms;
  std::int64_t begun_ms;
  /// Time until which the request waits for an engine with room; -1: it has not
  /// waited.
  std::int64_t queue_until_ms = -1;
  /// Time from the caller's first attempt to this one.
  std::int64_t since_first_try_ms = 0;
  std::int64_t first_event_ms = -1;
  std::int64_t last_event_ms = 0;
  std::int64_t sent_ms = 0;  ///< of the latest attempt
  /// First event of the latest attempt, unless it resumes a run; -1: none.
  std::int64_t attempt_first_event_ms = -1;
  bool attempt_good = false;  ///< NoteGoodRun was called for it
  /// The engines that the request may be sent to, by their version.
  VersionRule versions;
  /// The request may go to the versions for further attempts, as no engine that
  /// the rule for its first one permits could take it.
  bool fell_back = false;
  /// Keys of the engines for which it was refused a permit.
  std::vector<std::string> without_permit;
  /// Reading from the engine is paused, as the caller is slow.
  bool paused = false;
  /// Upper bound for the duration of an attempt that was sent while the host
  /// shuts down; -1: sent before.
  std::int64_t max_duration_ms = -1;
  std::int64_t reading_since_ms = 0;
  std::int64_t longest_gap_ms = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_STREAM_SESSION_H_
