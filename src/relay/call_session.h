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
#include "quarantine/guarded_run.h"
#include "relay/relay_parts.h"
#include "relay/relay_request.h"

namespace meadowthread {

/// @brief How a call ended: a backend server's whole answer, or why not.
using CallDone = std::function<void(const absl::StatusOr<HttpResponse>&)>;

/// @brief One call of a plain service: chosen, sent, sent again where that is
/// safe, and ended in time. The answer is gathered whole before it is told, so
/// that a broken one can be replaced.
class CallSession {
 public:
  /// @param[in] done told once, unless the session is destroyed before
  CallSession(const RelayParts& parts, RelayRequest request, RelayTerms terms,
              CallDone done);
  /// @brief Cancels what is in progress.
  ~CallSession();
  CallSession(const CallSession&) = delete;
  CallSession& operator=(const CallSession&) = delete;

  void Begin();

  /// @brief The caller is gone: what is in progress is cancelled, and nothing
  /// is told any more.
  void Abandon();

  /// @brief The host ends: told as not run where no server may have it.
  /// @param[in] return_after_ms when a call that did not run should come back
  void EndWithHost(std::int64_t return_after_ms);

  /// @brief A content is in quarantine now: ends if it is this call's.
  void EndIfQuarantined(const CrashRecordId& quarantined);

  const RelayRequest& Request() const { return this->request; }
  const RelayTerms& Terms() const { return this->terms; }

 private:
  class Attempt;

  // When to come back where no server could be reached.
  static constexpr std::int64_t kNoServerRetryMs = 400;

  void Send();
  bool HasHome() const;
  bool IsClaimOver() const;
  const Backend* Choose() const;
  double CostOf(const Backend& backend, std::int64_t now_ms) const;
  void PlanHedge();
  void OnAttemptEnd(Attempt& attempt);
  void OnAnswer(Attempt& attempt);
  void OnBroken(Attempt& attempt);
  /// @brief Sends again if that is safe, allowed and in time.
  bool SendAgain(bool connected);
  void Retire(Attempt& attempt);
  void EndOrWait(const absl::StatusOr<HttpResponse>& result);
  void End(const absl::StatusOr<HttpResponse>& result);
  void GiveUpAtDeadline();
  Outcome OutcomeSoFar() const;
  std::int64_t ReturnAfterMs(ErrorId id) const;
  void TellEnd(std::string_view outcome, int http_status,
               const std::optional<ErrorDetail>& failure);
  absl::Status Problem(ErrorId id, Outcome outcome, std::string_view step,
                       std::string_view what) const;
  std::int64_t LeftMs() const;
  void After(std::int64_t delay_ms, void (CallSession::*task)());

  const RelayParts& parts;
  RelayRequest request;
  RelayTerms terms;
  GuardedRun guarded;
  CallDone done;
  std::int64_t deadline_ms;
  std::vector<std::unique_ptr<Attempt>> attempts;  ///< those in progress
  std::vector<std::unique_ptr<Attempt>> retired;
  std::vector<std::string> tried;  ///< servers that it was sent to
  int sent = 0;                    ///< attempts of which bytes may have left
  int unreachable = 0;
  bool may_have_run = false;
  bool ended = false;
  std::int64_t begun_ms;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_CALL_SESSION_H_
