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
#include "gateway/session_dependencies.h"
#include "gateway/work_gate.h"
#include "net/http_server.h"

namespace meadowthread {

/// @brief Dependencies of the gateway and of its sessions.
struct GatewayDependencies {
  SessionDependencies session;  ///< the gateway sets its observer to itself
  const ServiceCatalog& catalog;
  WorkGate& gate;
  ServiceForwarder& forwarder;
  SessionObserver& observer;  ///< gets each session event from the gateway
  std::function<std::string()> metrics_text;
  std::function<std::string()> status_json;
  std::size_t max_streams = 4000;
};

/// @brief A running request, as reported while the host stops.
struct RunningRequest {
  std::string request;
  SessionPhase phase = SessionPhase::kClaiming;
  std::int64_t tokens_delivered = 0;
};

/// @brief HTTP service for callers (paths in docs/INTERFACES.md, section 6).
class Gateway final : public HttpService, public SessionObserver {
 public:
  explicit Gateway(const GatewayDependencies& deps);
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

  /// @brief Sends queued requests for which there is room now and fails those
  /// that waited too long.
  void DrainQueue();

  /// @brief Sends keep-alives and disconnects callers that are too slow.
  void TickSessions();

  ///////////////////
  // Planned stops
  ///////////////////

  /// @brief Number of generation requests in progress.
  std::size_t Running() const { return this->sessions.size(); }

  /// @brief Requests that a stop still waits for, at most `max_count` of them.
  std::vector<RunningRequest> RunningRequests(std::size_t max_count) const;

  /// @brief Disconnects the streams whose callers can resume at another host.
  /// @return number of disconnected streams
  int DisconnectResumableStreams();

  /// @brief Ends requests with newly quarantined content that are queued or
  /// were sent but have no answer yet.
  void EndQuarantined(const CrashRecord& quarantined);

 private:
  struct IncomingRequest;

  void ServeGeneration(CompletionApi api, const ServerRequest& request,
                       std::unique_ptr<ResponseWriter> writer);
  void ServeResume(const ServerRequest& request,
                   std::unique_ptr<ResponseWriter> writer);
  void ServeModels(const ServerRequest& request,
                   std::unique_ptr<ResponseWriter> writer);
  void ServePlainService(const ServerRequest& request,
                         std::unique_ptr<ResponseWriter> writer);
  absl::StatusOr<CallerIdentity> Authenticate(
      const ServerRequest& request) const;
  absl::Status CheckRequest(CompletionApi api, const ServerRequest& request,
                            IncomingRequest* incoming) const;
  absl::Status ResolveParameters(const ServerRequest& request,
                                 IncomingRequest* incoming) const;
  absl::Status AdmitWithinLimits(SessionStart* start);
  absl::Status BeginWork(const SessionStart& start);
  GenerationSession& AddSession(const SessionStart& start,
                                std::unique_ptr<ResponseWriter> writer,
                                DeliveryMode mode);
  GenerationSession* FindSession(std::string_view request);
  void RemoveEndedSessions();

  GatewayDependencies deps;
  std::map<std::uint64_t, std::unique_ptr<GenerationSession>> sessions;
  std::map<std::string, std::uint64_t, std::less<>> by_request;
  std::uint64_t last_session = 0;
  bool removal_scheduled = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_GATEWAY_H_
