#ifndef MEADOWTHREAD_STANDINS_ENGINE_TOKEN_STREAM_H_
#define MEADOWTHREAD_STANDINS_ENGINE_TOKEN_STREAM_H_

#include <deque>
#include <string>

#include "engine/token_events.h"
#include "http/http_exchange.h"

namespace meadowthread::standins {

/// @brief How a stream stands after it was pumped.
enum class Pumped {
  kUpToDate,  ///< nothing to send until the generation goes on
  kBehind,    ///< something is held back and comes later
  kOver,      ///< the last event was sent
};

/// @brief One reader's stream of a generation over HTTP.
class TokenStream {
 public:
  TokenStream(ExchangePtr exchange, Generation* generation, std::int64_t from);

  /// @brief Sends the head and the `start` event.
  void Begin();

  /// @brief Sends what is new and due, in one write.
  /// @param[in,out] count token events of the engine
  /// @param[in,out] buffer scratch space, shared by an engine's streams
  Pumped Pump(const EngineFaults& faults, std::int64_t now_ms,
              std::int64_t* count, std::string* buffer);

  const ExchangePtr& Exchange() const { return this->exchange; }

 private:
  struct LateText {
    std::int64_t due_ms = 0;
    std::string text;
  };

  /// @brief Queues the buffer's text and puts what is due in its place.
  void Delay(std::int64_t due_ms, std::int64_t now_ms, std::string* buffer);

  ExchangePtr exchange;
  TokenEvents events;
  std::deque<LateText> late;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_TOKEN_STREAM_H_
