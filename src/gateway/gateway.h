#ifndef MEADOWTHREAD_GATEWAY_GATEWAY_H_
#define MEADOWTHREAD_GATEWAY_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/lifetime.h"
#include "gateway/caller_identity.h"
#include "gateway/generation_session.h"
#include "gateway/service_forwarder.h"
#include "gateway/session_parts.h"
#include "gateway/work_gate.h"
#include "net/http_server.h"

namespace meadowthread {

/// @brief What the gateway needs besides what its sessions need.
struct GatewayParts {
  SessionParts session;  ///< its observer is replaced by the gateway
  const ServiceCatalog& catalog;
  WorkGate& gate;
  ServiceForwarder& forwarder;
  SessionObserver& observer;  ///< told after the gateway's own bookkeeping
  std::function<std::string()> metrics_text;
  std::function<std::string()> status_json;
  std::size_t max_streams = 4000;
};

/// @brief One running request, for a stop's report.
struct RunningRequest {
  std::string request;
  SessionPhase phase = SessionPhase::kClaiming;
  std::int64_t tokens_delivered = 0;
};

/// @brief Answers callers: the paths of docs/INTERFACES.md, section 6.
class Gateway final : public HttpService, public SessionObserver {
 public:
  explicit Gateway(const GatewayParts& parts);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override;

  void OnSessionEnded(const SessionEnd& end) override;
  void OnTokenGap(std::int64_t gap_ms) override;

  /////////////////////
  // Called by timers
  /////////////////////

  /// @brief Sends queued work that fits now and gives up what waited too long.
  void DrainQueue();

  /// @brief Keep-alives and slow callers.
  void TickSessions();

  ///////////////////
  // Planned stops
  ///////////////////

  /// @brief Requests in progress.
  std::size_t Running() const { return this->sessions.size(); }

  /// @brief What a stop waits for, the first `most` of it.
  std::vector<RunningRequest> RunningRequests(std::size_t most) const;

  /// @brief Hands over the streams whose callers can resume elsewhere.
  /// @return how many were cut for that
  int HandOverStreams();

  /// @brief A content is in quarantine now: what waits or was just sent of it
  /// ends.
  void EndQuarantined(const CrashRecordId& quarantined);

 private:
  struct Arrival;

  void ServeGeneration(CompletionApi form, const ServerRequest& request,
                       std::unique_ptr<ResponseWriter> writer);
  void ServeResume(const ServerRequest& request,
                   std::unique_ptr<ResponseWriter> writer);
  void ServeModels(const ServerRequest& request,
                   std::unique_ptr<ResponseWriter> writer);
  void ServePlainService(const ServerRequest& request,
                         std::unique_ptr<ResponseWriter> writer);
  absl::Status Check(CompletionApi form, const ServerRequest& request,
                     Arrival* arrival) const;
  absl::Status CheckTerms(const ServerRequest& request, Arrival* arrival) const;
  absl::Status AdmitToLimits(SessionStart* start);
  absl::Status BeginWork(const SessionStart& start);
  GenerationSession& AddSession(const SessionStart& start,
                                std::unique_ptr<ResponseWriter> writer,
                                DeliveryMode mode);
  GenerationSession* FindSession(std::string_view request);
  void DropEnded();

  GatewayParts parts;
  std::map<std::uint64_t, std::unique_ptr<GenerationSession>> sessions;
  std::map<std::string, std::uint64_t, std::less<>> by_request;
  std::uint64_t last_session = 0;
  bool drop_planned = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_GATEWAY_H_
