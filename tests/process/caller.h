#ifndef MEADOWTHREAD_TESTS_PROCESS_CALLER_H_
#define MEADOWTHREAD_TESTS_PROCESS_CALLER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "engine/sse_parser.h"
#include "net/pooled_client.h"
#include "nlohmann/json.hpp"

namespace meadowthread::tests {

/// @brief One token as a caller received it.
struct ReceivedToken {
  std::int64_t index = 0;
  std::string text;
};

/// @brief A caller of the streaming convention.
class StreamingCaller final : public HttpHandler, public SseSink {
 public:
  explicit StreamingCaller(HttpClient& client) : client(client) {}
  ~StreamingCaller() override { this->Leave(); }
  StreamingCaller(const StreamingCaller&) = delete;
  StreamingCaller& operator=(const StreamingCaller&) = delete;

  /// @brief Asks for a generation of `tokens` tokens.
  void Ask(const std::string& base_url, const std::string& key,
           const std::string& prompt, const std::string& idempotency_key = "");

  /// @brief Goes on at any host with what the last stream gave.
  void Resume(const std::string& base_url, const std::string& key);

  /// @brief Goes away without a word.
  void Leave();

  /// @brief Stops or goes on reading.
  void SetPaused(bool paused) { this->client.SetPaused(this->call, paused); }

  void OnHead(int status, std::span<const HttpHeader> headers) override;
  void OnData(std::string_view data) override;
  void OnEnd(const HttpCallResult& end) override;
  void OnSseEvent(const SseEvent& event) override;

  bool IsOver() const { return this->over; }
  /// @brief The whole answer came.
  bool IsDone() const { return this->done; }
  /// @brief The problem that ended it, null where there is none.
  const nlohmann::json& Problem() const { return this->problem; }
  std::string Outcome() const;
  const std::vector<ReceivedToken>& Tokens() const { return this->tokens; }
  const std::string& Token() const { return this->resume_token; }
  const std::string& Request() const { return this->request; }
  int Status() const { return this->status; }
  std::size_t Terminals() const { return this->terminals; }

  /// @brief Whether the tokens are 0, 1, 2, ... each with its own text.
  bool IsExact() const;
  std::string Text() const;

  std::string resume_token;  ///< may be altered by a test

 private:
  void Begin(const HttpRequest& request);

  HttpClient& client;
  HttpCallId call = 0;
  SseParser parser{std::size_t{1024} * 1024};
  std::string body;
  std::string request;
  nlohmann::json problem;
  std::vector<ReceivedToken> tokens;
  std::string event_id;
  std::size_t terminals = 0;
  int status = 0;
  bool over = false;
  bool done = false;
};

/// @brief A whole answer, waited for.
FetchResult Call(HttpClient& client, const HttpRequest& request);

/// @brief A request of a whole answer with a key.
HttpRequest Post(const std::string& url, const std::string& key,
                 const std::string& body,
                 const std::string& idempotency_key = "");

/// @brief The JSON of a whole answer.
nlohmann::json JsonOf(const FetchResult& fetched);

}  // namespace meadowthread::tests

#endif  // MEADOWTHREAD_TESTS_PROCESS_CALLER_H_
