#ifndef MEADOWTHREAD_RELAY_RELAY_H_
#define MEADOWTHREAD_RELAY_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/lifetime.h"
#include "net/http_server.h"
#include "relay/active_routing_config.h"
#include "relay/call_session.h"
#include "relay/engine_drainer.h"
#include "relay/relay_dependencies.h"
#include "relay/stream_session.h"

namespace meadowthread {

/// @brief Counters since the start of the process.
struct RelayStats {
  std::int64_t requests = 0;
  std::int64_t streams = 0;
  std::int64_t refused = 0;  ///< before a backend server was chosen
};

/// @brief Serves callers' requests according to the routes, as calls or
/// streams, and ends each exactly once.
class Relay final : public HttpService {
 public:
  /// @param[in] host the name of this host
  /// @param[in] deps,stream_deps,control,callers,config outlive the relay
  Relay(std::string_view host, const RelayDependencies& deps,
        const StreamDependencies& stream_deps, EngineControl& control,
        const CallerProtocol& callers, const ActiveRoutingConfig& config);
  ~Relay() override;
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override;

  /// @brief Sends queued streams to engines that have room, and refuses those
  /// that have waited too long. To be called every few tens of milliseconds.
  void DrainQueue();

  /// @brief Moves the streams at a leaving engine to other engines.
  void OnEngineLeaves(const Backend& engine);

  /// @brief Called when an engine has started again under its id: its runs and
  /// all copies that it held are lost.
  /// @param[in] before the previous start
  void OnEngineStartedAgain(const Backend& before);

  /// @brief Moves the streams at a service's engines to engines of a version.
  void MoveToVersion(std::string_view service, std::string_view version);

  /// @brief Whether no request is in progress at a server of the service with
  /// another version.
  bool IsIdleExceptAt(std::string_view service, std::string_view version) const;

  /// @brief Ends requests whose content has been put into quarantine and that
  /// no engine has begun to answer.
  void EndQuarantined(const CrashRecord& quarantined);

  /// @brief Asks the engines with streams of this host whether they are
  /// leaving. To be called repeatedly while the store can't provide this
  /// information.
  /// @param[in] only_unnamed only engines that have no valid entry in the store
  void PollEngineStates(bool only_unnamed = false);

  /// @brief Begins a planned shutdown: from now on requests are sent to servers
  /// only if they certainly end by `ends_ms` (monotonic).
  /// @param[in] view outlives the relay
  void BeginStop(std::int64_t ends_ms, const StopView& view) {
    this->deps.stops.Begin(ends_ms, view);
  }

  /// @brief Ends every request in progress with a final answer because the host
  /// shuts down now.
  void EndForShutdown();

  /// @brief Number of requests in progress.
  std::size_t Running() const {
    return this->calls.size() + this->streams.size();
  }

  const RelayStats& Stats() const { return this->stats; }

 private:
  struct Call;

  void ServeCall(RelayRequest request, RelayTerms terms,
                 std::unique_ptr<ResponseWriter> writer);
  void ServeStream(RelayRequest request, RelayTerms terms,
                   std::unique_ptr<ResponseWriter> writer);
  void Refuse(ResponseWriter& writer, const absl::Status& why,
              std::string_view request);
  void AnswerCall(std::uint64_t number,
                  const absl::StatusOr<HttpResponse>& result);
  void DropCall(std::uint64_t number);
  void DropStream(std::uint64_t number);
  void ScheduleSweep();
  void RefuseWaitingForStop();
  void OnEngineState(const std::string& engine,
                     const absl::StatusOr<EngineState>& state);
  void EndSilentStreams(const std::string& engine);
  StreamSession* FindStream(std::string_view request);
  std::vector<CallSession*> AllCalls() const;
  std::vector<StreamSession*> AllStreams() const;
  std::vector<StreamSession*> StreamsAt(std::string_view engine);

  RelayDependencies deps;
  StreamDependencies stream_deps;
  EngineControl& control;
  const CallerProtocol& callers;
  const ActiveRoutingConfig& config;
  EngineDrainer drainer;
  RelayStats stats;
  std::uint64_t last_number = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls;
  std::unordered_map<std::uint64_t, std::unique_ptr<StreamSession>> streams;
  /// Ended sessions, whose functions may still be on the call stack.
  std::vector<std::unique_ptr<Call>> ended_calls;
  std::vector<std::unique_ptr<StreamSession>> ended_streams;
  bool sweep_planned = false;
  /// Engines with a pending state request.
  std::set<std::string> pending_state_reads;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RELAY_H_
