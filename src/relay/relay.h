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
#include "relay/call_session.h"
#include "relay/departures.h"
#include "relay/plan_in_force.h"
#include "relay/relay_parts.h"
#include "relay/stream_session.h"

namespace meadowthread {

/// @brief Counts since the start.
struct RelayStats {
  std::int64_t requests = 0;
  std::int64_t streams = 0;
  std::int64_t refused = 0;  ///< before any backend server was chosen
};

/// @brief What a stopping host knows of the others.
class StopView {
 public:
  virtual ~StopView() = default;

  /// @brief When a request that it refuses should come back.
  virtual std::int64_t ReturnAfterMs() const = 0;
};

/// @brief Serves callers' requests by routes: calls and streams, each ended
/// exactly once.
class Relay final : public HttpService {
 public:
  /// @param[in] host this one's name
  /// @param[in] parts,stream_parts,control,callers,plan outlive the relay
  Relay(std::string_view host, const RelayParts& parts,
        const StreamParts& stream_parts, EngineControl& control,
        const CallerWire& callers, const PlanInForce& plan);
  ~Relay() override;
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override;

  /// @brief Sends queued streams that an engine has room for, and gives up
  /// what waited too long. To be called every few tens of milliseconds.
  void DrainQueue();

  /// @brief An engine leaves: its streams go on elsewhere.
  void OnEngineLeaves(const Backend& engine);

  /// @brief An engine has started again under its id: what ran there is over,
  /// and what was held there is lost.
  /// @param[in] before its start before
  void OnEngineStartedAgain(const Backend& before);

  /// @brief A content is in quarantine now: what waits or was just sent of it
  /// ends.
  void EndQuarantined(const CrashRecordId& quarantined);

  /// @brief Asks the engines that have streams of this host whether they leave;
  /// to be called again and again while the store can't tell.
  /// @param[in] only_unnamed only those of which their entry doesn't tell
  void AskEngines(bool only_unnamed = false);

  /// @brief A planned stop: from now on only requests that will have ended by
  /// `ends_ms` (monotonic) are taken.
  /// @param[in] view outlives the relay
  void BeginStop(std::int64_t ends_ms, const StopView& view);

  /// @brief The host ends: every request in progress gets its last word now.
  void EndWithHost();

  /// @brief Requests in progress.
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
  absl::Status CheckStop(const RelayTerms& terms,
                         const RelayRequest& request) const;
  void AnswerCall(std::uint64_t number,
                  const absl::StatusOr<HttpResponse>& result);
  void DropCall(std::uint64_t number);
  void DropStream(std::uint64_t number);
  void SweepLater();
  void TakeState(const std::string& engine,
                 const absl::StatusOr<EngineState>& state);
  void EndSilentStreams(const std::string& engine);
  StreamSession* FindStream(std::string_view request);
  std::vector<CallSession*> AllCalls() const;
  std::vector<StreamSession*> AllStreams() const;
  std::vector<StreamSession*> StreamsAt(std::string_view engine);

  RelayParts parts;
  StreamParts stream_parts;
  EngineControl& control;
  const CallerWire& callers;
  const PlanInForce& plan;
  Departures departures;
  RelayStats stats;
  std::uint64_t last_number = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls;
  std::unordered_map<std::uint64_t, std::unique_ptr<StreamSession>> streams;
  /// Ended ones: their own calls may still be on the stack.
  std::vector<std::unique_ptr<Call>> ended_calls;
  std::vector<std::unique_ptr<StreamSession>> ended_streams;
  bool sweep_planned = false;
  std::set<std::string> asked;  ///< engines whose answer is awaited
  std::int64_t stop_ends_ms = -1;
  const StopView* stop = nullptr;  ///< null: not stopping
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RELAY_H_
