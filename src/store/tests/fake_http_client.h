#ifndef MEADOWTHREAD_STORE_TESTS_FAKE_HTTP_CLIENT_H_
#define MEADOWTHREAD_STORE_TESTS_FAKE_HTTP_CLIENT_H_

#include <string>
#include <vector>

#include "base/error.h"
#include "net/http_client.h"

namespace meadowthread {

/// @brief Records requests; a test ends each as it likes.
class FakeHttpClient final : public HttpClient {
 public:
  HttpCallId Start(const HttpRequest& request, HttpHandler* handler) override {
    this->requests.push_back(request);
    this->handlers.push_back(handler);
    return this->handlers.size();
  }
  void Cancel(HttpCallId call) override { this->handlers[call - 1] = nullptr; }
  void SetPaused(HttpCallId /*call*/, bool /*paused*/) override {}

  const HttpRequest& Last() const { return this->requests.back(); }

  /// @brief Gives the last request a whole answer.
  void Answer(int http_status, std::vector<HttpHeader> headers,
              std::string_view body) {
    this->handlers.back()->OnHead(http_status, headers);
    this->handlers.back()->OnData(body);
    this->handlers.back()->OnEnd({absl::OkStatus(), http_status, true});
  }

  /// @brief Ends the last request with an error.
  void Fail(ErrorId id, int http_status, bool request_may_have_left) {
    ErrorDetail detail;
    detail.id = id;
    this->handlers.back()->OnEnd(
        {MakeError(absl::StatusCode::kUnavailable, detail, "failed"),
         http_status, request_may_have_left});
  }

 private:
  std::vector<HttpRequest> requests;
  std::vector<HttpHandler*> handlers;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_TESTS_FAKE_HTTP_CLIENT_H_
