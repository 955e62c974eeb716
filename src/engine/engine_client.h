#ifndef MEADOWTHREAD_ENGINE_ENGINE_CLIENT_H_
#define MEADOWTHREAD_ENGINE_ENGINE_CLIENT_H_

#include <functional>
#include <memory>
#include <string_view>

#include "engine/engine_stream.h"

namespace meadowthread {

/// @brief Timeouts of requests to engines.
struct EngineTimeouts {
  std::int64_t connect_timeout_ms = 1000;
  std::int64_t idle_timeout_ms =
      10'000;  ///< longest gap between bytes of a stream
  std::int64_t control_timeout_ms = 2000;
};

/// @brief HTTP client for model engines (docs/INTERFACES.md, section 1).
class EngineClient {
 public:
  using LoadDone = std::function<void(const absl::StatusOr<LoadReport>&)>;

  /// @param[in] client outlives this object and every stream it opens
  EngineClient(HttpClient& client, const EngineTimeouts& limits)
      : client(client), limits(limits) {}

  /// @brief Starts a generation and streams it. The HTTP client sends the
  /// request at most once.
  std::unique_ptr<EngineStream> Start(const EngineAddress& engine,
                                      const GenerationRequest& request,
                                      GenerationSink& sink);

  /// @brief Reconnects to a generation's stream.
  /// @param[in] from index of the first token to stream
  std::unique_ptr<EngineStream> Resume(const EngineAddress& engine,
                                       std::string_view generation,
                                       std::int64_t from, GenerationSink& sink);

  /// @brief Cancels a generation. Best effort: the engine's orphan timeout ends
  /// the generation in any case.
  void Cancel(const EngineAddress& engine, std::string_view generation);

  /// @brief Reads the engine's load report.
  void ReadLoad(const EngineAddress& engine, const LoadDone& done);

 private:
  HttpClient& client;
  EngineTimeouts limits;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ENGINE_ENGINE_CLIENT_H_
