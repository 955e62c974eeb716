#ifndef MEADOWTHREAD_RELAY_CALL_SESSION_H_
#define MEADOWTHREAD_RELAY_CALL_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/lifetime.h"
#include "net/http_client.h"
#include "quarantine/request_quarantine.h"
#include "relay/relay_dependencies.h"
#include "relay/relay_request.h"

namespace meadowthread {

/// @brief Receives the result of a call: a backend server's complete answer or
/// an error.
using CallDone = std::function<void(const absl::StatusOr<HttpResponse>&)>;

/// @brief One call to a plain service: chooses a server, sends the request,
/// retries where that is safe, and ends by the deadline. The answer is buffered
/// as a whole before it is returned, so that a broken one can be replaced by a
/// retry.
class CallSession {
 public:
  /// @param[in] done called once, unless the session is destroyed before
  CallSession(const RelayDependencies& deps, RelayRequest request,
              RelayTerms terms, CallDone done);
  /// @brief Cancels the attempts in progress.
  ~CallSession();
  CallSession(const CallSession&) = delete;
  CallSession& operator=(const CallSession&) = delete;

  /// @brief Starts the deadline and the first attempt.
  void Begin();

  /// @brief The caller has disconnected: cancels all attempts without reporting
  /// a result.
  void Abandon();

  /// @brief Ends the call because the host shuts down; reported as not run if
  /// no server may have received it.
  /// @param[in] return_after_ms retry delay for a call that did not run
  void EndForShutdown(std::int64_t return_after_ms);

  /// @brief Ends the call if its content is the one that has been put into
  /// quarantine.
  void EndIfQuarantined(const CrashRecord& quarantined);

  const RelayRequest& Request() const { return this->request; }
  const RelayTerms& Terms() const { return this->terms; }

 private:
  class Attempt;

  // Retry delay for callers if no server could be reached.
  static constexpr std::int64_t kNoServerRetryMs = 400;

  void Send();
  void AskPermit(const std::string& server);
  void ReleasePermit(const std::string& server);
  void SendTo(const std::string& server);
  void EndWithoutServer();
  bool IsHeldBackByRate(const Backend& backend) const;
  bool HasServerInHomeRegions() const;
  bool HasClaimExpired() const;
  bool EndsBeforeStop() const;
  void EndForLackOfTime();
  const Backend* ChooseBackend();
  const Backend* CheapestBackend() const;
  void RecordAttemptEnd(const Attempt& attempt, AttemptResult result);
  double CostOf(const Backend& backend, std::int64_t now_ms) const;
  void ScheduleHedge();
  void OnAttemptEnd(Attempt& attempt);
  void OnAnswer(Attempt& attempt);
  void OnAttemptFailed(Attempt& attempt);
  /// @brief Sends the call to another server if that is safe, allowed and
  /// possible before the deadline.
  /// @param[in] connected whether the previous attempt reached a server, so
  /// that the retry is charged to the budget
  bool SendAgain(bool connected);
  void Retire(Attempt& attempt);
  void EndOrWait(const absl::StatusOr<HttpResponse>& result);
  void End(const absl::StatusOr<HttpResponse>& result);
  void OnDeadline();
  Outcome OutcomeSoFar() const;
  std::int64_t RetryAfterMs(ErrorId id) const;
  void ReportEnd(std::string_view outcome, int http_status,
                 const std::optional<ErrorDetail>& failure);
  absl::Status MakeProblem(ErrorId id, Outcome outcome, std::string_view step,
                           std::string_view what) const;
  std::int64_t RemainingMs() const;
  void After(std::int64_t delay_ms, void (CallSession::*task)());

  const RelayDependencies& deps;
  RelayRequest request;
  RelayTerms terms;
  RequestQuarantine guarded;
  CallDone done;
  std::int64_t deadline_ms;
  std::vector<std::unique_ptr<Attempt>> attempts;  ///< in progress
  std::vector<std::unique_ptr<Attempt>> retired;
  std::vector<std::string> tried;  ///< keys of the servers that it was sent to
  /// The servers that may get the next attempt, by their version.
  VersionRule versions;
  /// Keys of the servers for which it was refused a permit.
  std::vector<std::string> without_permit;
  bool awaits_permit = false;
  /// Keys of the servers whose permits it holds.
  std::vector<std::string> permitted;
  int sent = 0;  ///< attempts that may have sent bytes
  int unreachable = 0;
  bool may_have_run = false;
  bool ended = false;
  std::int64_t begun_ms;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_CALL_SESSION_H_
