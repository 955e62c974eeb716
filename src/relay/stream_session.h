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
#include "policy/work.h"
#include "quarantine/guarded_run.h"
#include "relay/event_cutter.h"
#include "relay/relay_parts.h"
#include "relay/relay_request.h"
#include "relay/run_move.h"

namespace meadowthread {

/// @brief Where a stream stands.
enum class StreamPhase {
  kQueued,     ///< no engine has room
  kSent,       ///< an engine has the request; nothing came yet
  kStreaming,  ///< events pass
  kBetween,    ///< its engine stopped it, and the next one has not begun
  kEnded,
};

/// @brief One generation: placed, passed on event by event, moved with its
/// memory where its engine leaves, ended exactly once.
class StreamSession final : public HttpHandler, public RunMoveOwner {
 public:
  /// @param[in] ended told once; the session is to be destroyed later
  StreamSession(const RelayParts& parts, const StreamParts& stream_parts,
                EngineControl& control, const CallerWire& callers,
                RelayRequest request, RelayTerms terms,
                std::int64_t tokens_per_event,
                std::unique_ptr<ResponseWriter> writer,
                std::function<void()> ended);
  ~StreamSession() override;
  StreamSession(const StreamSession&) = delete;
  StreamSession& operator=(const StreamSession&) = delete;

  /// @brief Offers the request to the policy.
  void Begin();

  /// @brief The policy found an engine for the queued request.
  void SendTo(const Decision& decision);

  /// @brief The policy gave the queued request up.
  void GiveUp(RefusalReason reason, std::int64_t retry_after_ms);

  /// @brief The host ends: what no engine has is refused as not run, the rest
  /// is broken off.
  /// @param[in] return_after_ms when a refused one should come back
  void EndWithHost(std::int64_t return_after_ms);

  /// @brief A content is in quarantine now: ends if it is this stream's and no
  /// engine has begun to answer it.
  void EndIfQuarantined(const CrashRecordId& quarantined);

  /// @brief Tries to go on at another engine, as this one leaves.
  /// @param[in] target its key
  /// @return whether a move has begun
  bool MoveTo(const std::string& target);

  /// @brief An engine has started again; nothing that was held there is.
  /// @param[in] started_again the key of its start before
  void NoteStartedAgain(std::string_view started_again);

  /// @brief Ends the stream of an engine that has started again, once nothing
  /// of it comes any more: its connection may never tell.
  /// @param[in] silent_ms so long nothing came
  /// @return whether its end was taken for come
  bool EndIfSilent(std::int64_t silent_ms);

  const RelayRequest& Request() const { return this->request; }
  const RelayTerms& Terms() const { return this->terms; }
  StreamPhase Phase() const { return this->phase; }
  /// @brief The engine that has the run, empty while there is none.
  const std::string& Engine() const { return this->engine; }
  bool IsMoving() const { return this->move != nullptr; }
  /// @brief Whether its memory is copied while it runs.
  bool IsCopying() const {
    return this->IsMoving() && this->move->Step() == MoveStep::kCopying;
  }
  /// @brief The engine that it moves to; only while it moves.
  const std::string& MoveTarget() const { return this->move->Plan().target; }
  std::int64_t Events() const { return this->events; }
  std::int64_t MemoryTokens() const;

  // HttpHandler
  void OnHead(int http_status, std::span<const HttpHeader> headers) override;
  void OnData(std::string_view data) override;
  void OnEnd(const HttpEnd& end) override;

  // RunMoveOwner
  void OnMoveReady(const Continuation& continuation,
                   const std::string& target) override;
  void OnMoveOver(MoveEnd end) override;

 private:
  // When to come back where no engine can be used.
  static constexpr std::int64_t kNoEngineRetryMs = 400;

  void Offer();
  bool EndsInQuarantine();
  void TakeChoice(const ArrivalPlan& arrival, WorkItem work,
                  const Decision& decision);
  void AskAgain(std::int64_t after_ms);
  void Queue(const WorkItem& work, DecisionReason why, std::int64_t wait_ms);
  void RefuseQueued(DecisionReason why);
  bool MaySendTo(std::string_view key) const;
  bool RefuseUnservable();
  std::int64_t ElapsedMs() const;
  void Send(const Backend& backend, const std::optional<Continuation>& from);
  void PassOn(std::vector<CutEvent>* cut);
  void NoteLinkStall();
  void SendHeadOnce();
  void OnStreamEnd(const HttpEnd& end);
  void OnRejected();
  void OnBroken(const HttpEnd& end);
  void OnResumeFailed(const HttpEnd& end, AnswerMeaning meaning);
  const Backend* HolderOf(const Continuation& from,
                          std::string_view target) const;
  bool ResumeAtSource();
  void ResumeWhenPermitted(const std::string& holder, const Continuation& from,
                           std::int64_t until_ms);
  void Resume(const Backend& holder, const Continuation& from);
  void EndMove();
  std::string CopyName() const;
  void DropCopyNote();
  void Complete();
  void PassOnWhole();
  void Refuse(ErrorId id, Outcome outcome, std::string_view step,
              std::string_view what, std::int64_t retry_after_ms);
  void BreakOff(std::string_view why);
  void OnCallerGone();
  void OnDeadline();
  void LeaveEngine(AttemptResult result);
  void CancelCall();
  void End(std::string_view outcome, std::string_view why);
  std::int64_t LeftMs() const;
  WorkItem MakeWork() const;

  const RelayParts& parts;
  const StreamParts& stream_parts;
  EngineControl& control;
  const CallerWire& callers;
  RelayRequest request;
  RelayTerms terms;
  GuardedRun guarded;
  std::int64_t tokens_per_event;
  std::unique_ptr<ResponseWriter> writer;
  std::function<void()> ended;

  StreamPhase phase = StreamPhase::kQueued;
  std::string engine;
  HttpCallId call = 0;
  bool noted = false;  ///< counted in the fleet's state
  bool is_event_stream = false;
  AnswerMeaning meaning = AnswerMeaning::kRan;
  ResponseHead head;  ///< as the first engine sent it
  bool head_sent = false;
  std::string whole_body;  ///< of an answer that is no stream
  EventCutter cutter;
  std::int64_t events = 0;         ///< passed on
  std::int64_t events_before = 0;  ///< of those, before the last sending
  std::int64_t last_id = -1;       ///< of the last event passed on
  int sendings = 0;
  int moves = 0;    ///< that went on with events
  int resumes = 0;  ///< further sendings of any ground
  std::optional<Continuation> resumed_from;
  std::unique_ptr<RunMove> move;
  std::vector<std::unique_ptr<RunMove>> old_moves;
  std::optional<HttpEnd>
      held_end;  ///< of a stream that a move may have stopped
  std::int64_t deadline_ms;
  std::int64_t begun_ms;
  std::int64_t waits_until_ms = -1;     ///< for room; -1: it had not to
  std::int64_t since_first_try_ms = 0;  ///< when it arrived
  std::int64_t first_event_ms = -1;
  std::int64_t last_event_ms = 0;
  bool paused = false;  ///< nothing is read, as the caller is slow
  std::int64_t reading_since_ms = 0;
  std::int64_t longest_gap_ms = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_STREAM_SESSION_H_
