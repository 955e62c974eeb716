#ifndef MEADOWTHREAD_ENGINE_SSE_PARSER_H_
#define MEADOWTHREAD_ENGINE_SSE_PARSER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief One server-sent event.
struct SseEvent {
  std::string name;  ///< the `event` field; empty if there is none
  std::string data;
};

/// @brief Receives each event when it is complete.
class SseSink {
 public:
  virtual ~SseSink() = default;
  virtual void OnSseEvent(const SseEvent& event) = 0;
};

/// @brief Incremental parser for server-sent events (SSE).
class SseParser {
 public:
  /// @param[in] limit_bytes largest permitted event
  explicit SseParser(std::size_t limit_bytes) : limit_bytes(limit_bytes) {}

  /// @brief Parses the next bytes and passes complete events to the sink.
  /// @return false if an event exceeds the limit; the stream can't be parsed
  /// any further
  bool Feed(std::string_view bytes, SseSink& sink);

 private:
  void ParseLine(std::string_view line, SseSink& sink);

  std::size_t limit_bytes;
  std::string partial;
  SseEvent event;
  bool has_data = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ENGINE_SSE_PARSER_H_
