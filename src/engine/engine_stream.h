#ifndef MEADOWTHREAD_ENGINE_ENGINE_STREAM_H_
#define MEADOWTHREAD_ENGINE_ENGINE_STREAM_H_

#include <string>

#include "engine/engine_messages.h"
#include "engine/sse_parser.h"
#include "net/http_client.h"

namespace meadowthread {

/// @brief How a stream from an engine was closed.
struct StreamClose {
  absl::Status status;    ///< OK if the HTTP response ended normally
  int http_status = 0;    ///< 0 if no response headers arrived
  bool rejected = false;  ///< the engine refused the request and won't run it
  bool may_have_left = false;        ///< false: no byte of the request was sent
  std::string reason;                ///< the engine's reason for a rejection
  std::int64_t retry_after_ms = -1;  ///< -1: not given
};

/// @brief Receives the events of an engine's stream.
class GenerationSink {
 public:
  virtual ~GenerationSink() = default;

  virtual void OnGenerationStarted(const std::string& generation) = 0;
  virtual void OnToken(const TokenEvent& token) = 0;
  virtual void OnFinished(const GenerationFinish& finish) = 0;
  /// @brief The engine reports that the generation was aborted.
  virtual void OnLost(const std::string& generation,
                      const std::string& reason) = 0;
  /// @brief Another connection now reads the generation in place of this one.
  virtual void OnReplaced(const std::string& generation) = 0;
  /// @brief The connection closed. This is the last call.
  virtual void OnStreamClosed(const StreamClose& close) = 0;
};

/// @brief A connection on which an engine streams one generation.
///
/// Destroying it closes the connection. The generation keeps running until the
/// engine's orphan timeout.
class EngineStream final : public HttpHandler, public SseSink {
 public:
  /// @param[in] client must outlive the stream
  /// @param[in] sink must live until the stream is closed or destroyed. It may
  /// close the stream from within a callback, but must not destroy it there.
  EngineStream(HttpClient& client, std::string_view engine,
               GenerationSink& sink);
  ~EngineStream() override;
  EngineStream(const EngineStream&) = delete;
  EngineStream& operator=(const EngineStream&) = delete;

  /// @brief Sends the request. Call it once only.
  void Open(const HttpRequest& request);

  /// @brief Closes the connection. The sink gets no further calls.
  void Close();

  /// @brief Pauses or continues reading from the connection.
  void SetPaused(bool paused);

  void OnHead(int http_status, std::span<const HttpHeader> headers) override;
  void OnData(std::string_view data) override;
  void OnEnd(const HttpCallResult& end) override;
  void OnSseEvent(const SseEvent& event) override;

 private:
  void CloseMalformed(std::string_view what);
  StreamClose MakeStreamClose(const HttpCallResult& end) const;

  HttpClient& client;
  std::string engine;
  GenerationSink* sink;  ///< null after Close()
  SseParser parser;
  HttpCallId call = 0;
  int http_status = 0;
  std::int64_t retry_after_ms = -1;
  std::string error_body;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ENGINE_ENGINE_STREAM_H_
