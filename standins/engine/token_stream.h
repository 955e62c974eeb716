#ifndef MEADOWTHREAD_STANDINS_ENGINE_TOKEN_STREAM_H_
#define MEADOWTHREAD_STANDINS_ENGINE_TOKEN_STREAM_H_

#include <deque>
#include <string>

#include "engine/token_events.h"
#include "http/http_exchange.h"

namespace meadowthread::standins {

/// @brief State of a stream after `Pump`.
enum class PumpResult {
  kUpToDate,  ///< nothing to send until there are new tokens
  kBehind,    ///< events are waiting to be sent later
  kOver,      ///< the final event was sent
};

/// @brief The HTTP event stream of a generation to one reader.
class TokenStream {
 public:
  TokenStream(ExchangePtr exchange, Generation* generation, std::int64_t from);

  /// @brief Sends the response head and the `start` event.
  void Begin();

  /// @brief Sends the new events that are due, in one write.
  /// @param[in,out] count the engine's token events so far
  /// @param[in,out] buffer scratch space, shared by an engine's streams
  PumpResult Pump(const EngineFaults& faults, std::int64_t now_ms,
                  std::int64_t* count, std::string* buffer);

  const ExchangePtr& Exchange() const { return this->exchange; }

 private:
  struct LateText {
    std::int64_t due_ms = 0;
    std::string text;
  };

  /// @brief Queues the buffer's text until `due_ms` and replaces it by the
  /// queued text that is due.
  void Delay(std::int64_t due_ms, std::int64_t now_ms, std::string* buffer);

  ExchangePtr exchange;
  TokenEvents events;
  std::deque<LateText> late;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_TOKEN_STREAM_H_
