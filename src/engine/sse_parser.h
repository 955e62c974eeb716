#ifndef MEADOWTHREAD_ENGINE_SSE_PARSER_H_
#define MEADOWTHREAD_ENGINE_SSE_PARSER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief One server-sent event.
struct SseEvent {
  std::string name;  ///< "message" where the stream names none
  std::string data;
};

/// @brief Receives events as they become whole.
class SseSink {
 public:
  virtual ~SseSink() = default;
  virtual void OnSseEvent(const SseEvent& event) = 0;
};

/// @brief Cuts a byte stream into server-sent events.
class SseParser {
 public:
  /// @param[in] limit_bytes bound on one event
  explicit SseParser(std::size_t limit_bytes) : limit_bytes(limit_bytes) {}

  /// @brief Takes the next bytes and tells the sink of whole events.
  /// @return false where an event passes its bound; the stream is then useless
  bool Feed(std::string_view bytes, SseSink& sink);

 private:
  void TakeLine(std::string_view line, SseSink& sink);

  std::size_t limit_bytes;
  std::string partial;
  SseEvent event;
  bool has_data = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ENGINE_SSE_PARSER_H_
