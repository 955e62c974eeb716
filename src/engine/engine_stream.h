#ifndef MEADOWTHREAD_ENGINE_ENGINE_STREAM_H_
#define MEADOWTHREAD_ENGINE_ENGINE_STREAM_H_

#include <string>

#include "engine/engine_messages.h"
#include "engine/sse_parser.h"
#include "net/http_client.h"

namespace meadowthread {

/// @brief How a stream from an engine was closed.
struct StreamClose {
  absl::Status status;    ///< OK where the connection ended in order
  int http_status = 0;    ///< 0 where no head came
  bool rejected = false;  ///< the engine's definite answer that it won't run
  bool may_have_left = false;  ///< false: certainly no byte was sent
  std::string reason;          ///< the engine's reason for a rejection
  std::int64_t retry_after_ms = -1;
};

/// @brief Receives what an engine's stream tells.
class GenerationSink {
 public:
  virtual ~GenerationSink() = default;

  virtual void OnGenerationStarted(const std::string& generation) = 0;
  virtual void OnToken(const TokenEvent& token) = 0;
  virtual void OnFinished(const GenerationFinish& finish) = 0;
  /// @brief The engine says that the generation ended before its end.
  virtual void OnLost(const std::string& generation,
                      const std::string& reason) = 0;
  /// @brief Another reader took this one's place.
  virtual void OnReplaced(const std::string& generation) = 0;
  /// @brief The connection ended; nothing follows.
  virtual void OnStreamClosed(const StreamClose& close) = 0;
};

/// @brief One connection on which an engine streams one generation.
///
/// Destroying it closes the connection; the generation itself goes on until
/// the engine's orphan timeout.
class EngineStream final : public HttpHandler, public SseSink {
 public:
  /// @param[in] client outlives the stream
  /// @param[in] sink outlives the stream, or the stream is closed before; it
  /// must not destroy the stream from within a call, but may close it
  EngineStream(HttpClient& client, std::string_view engine,
               GenerationSink& sink);
  ~EngineStream() override;
  EngineStream(const EngineStream&) = delete;
  EngineStream& operator=(const EngineStream&) = delete;

  /// @brief Sends the request; called once.
  void Open(const HttpRequest& request);

  /// @brief Closes the connection; the sink hears nothing more.
  void Close();

  /// @brief Stops or goes on reading.
  void SetPaused(bool paused);

  void OnHead(int http_status, std::span<const HttpHeader> headers) override;
  void OnData(std::string_view data) override;
  void OnEnd(const HttpEnd& end) override;
  void OnSseEvent(const SseEvent& event) override;

 private:
  void CloseMalformed(std::string_view what);
  StreamClose CloseOf(const HttpEnd& end) const;

  HttpClient& client;
  std::string engine;
  GenerationSink* sink;  ///< null once closed
  SseParser parser;
  HttpCallId call = 0;
  int http_status = 0;
  std::int64_t retry_after_ms = -1;
  std::string error_body;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ENGINE_ENGINE_STREAM_H_
