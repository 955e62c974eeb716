#ifndef MEADOWTHREAD_TESTS_SOAK_SOAK_CALLER_H_
#define MEADOWTHREAD_TESTS_SOAK_SOAK_CALLER_H_

#include <functional>
#include <vector>

#include "net/message_reader.h"
#include "net/tests/slow_client.h"
#include "soak/sent_request.h"

namespace meadowthread::soak {

/// @brief How a caller behaves.
struct CallerBehaviour {
  std::size_t bytes_per_10_ms = 1;
  int receive_bytes = 0;         ///< that its kernel holds for it
  int follow_ups = 0;            ///< requests after its first ones
  bool pipelines = false;        ///< sends two at once
  bool leaves = false;           ///< goes away in the middle of its answer
  bool heeds_the_close = false;  ///< sends nothing after `Connection: close`
};

/// @brief One connection of a caller, and what came for each of its requests.
class SoakCaller {
 public:
  struct Exchange {
    SentRequest sent;
    Answer answer;
  };
  using Next = std::function<SentRequest()>;
  using RequestOf = std::function<HttpRequest(const SentRequest&)>;

  /// @param[in] next draws a further request of this caller
  /// @param[in] request_of what is sent for it, to the connection's port
  SoakCaller(const CallerBehaviour& behaviour, Next next, RequestOf request_of);

  /// @brief Takes what came, and sends what is next.
  /// @param[in] goes_on sends on until its connection ends
  void Step(bool goes_on);

  bool IsOver() const { return this->over; }
  /// @brief A byte of its first answer came, or none will.
  bool HasBegun() const { return this->over || !this->slow.Got().empty(); }
  std::size_t Bytes() const { return this->slow.Got().size(); }
  /// @brief All of its connection's bytes.
  const std::string& Raw() const { return this->slow.Got(); }
  int Host() const { return this->exchanges.front().sent.host; }
  const std::vector<Exchange>& Exchanges() const { return this->exchanges; }
  /// @brief Bytes came that belong to no request.
  bool GotTooMuch() const { return this->too_much; }

 private:
  void Take(ReadState state);
  void EndConnection();
  void Send();

  CallerBehaviour behaviour;
  Next next;
  RequestOf request_of;
  std::vector<Exchange> exchanges;
  tests::SlowClient slow;
  MessageReader reader;
  std::size_t taken = 0;     ///< bytes handed to the reader
  std::size_t answered = 0;  ///< exchanges that are over
  bool keep_alive = true;
  bool over = false;
  bool too_much = false;
};

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_SOAK_CALLER_H_
