#ifndef MEADOWTHREAD_STORE_TESTS_FAKE_HTTP_CLIENT_H_
#define MEADOWTHREAD_STORE_TESTS_FAKE_HTTP_CLIENT_H_

#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "net/http_client.h"

namespace meadowthread {

/// @brief An HttpClient that records requests; the test sets the result of
/// each.
class FakeHttpClient final : public HttpClient {
 public:
  /// @brief Ends open calls, because the handlers that Fetch creates delete
  /// themselves only in OnEnd.
  ~FakeHttpClient() override {
    for (HttpHandler* handler : this->handlers) {
      if (handler != nullptr) {
        handler->OnEnd({absl::CancelledError("closed"), 0, true});
      }
    }
  }
  HttpCallId Start(const HttpRequest& request, HttpHandler* handler) override {
    this->requests.push_back(request);
    this->handlers.push_back(handler);
    return this->handlers.size();
  }
  void Cancel(HttpCallId call) override { this->handlers[call - 1] = nullptr; }
  void SetPaused(HttpCallId /*call*/, bool /*paused*/) override {}

  const HttpRequest& Last() const { return this->requests.back(); }

  /// @brief Completes the last request with a response.
  void Answer(int http_status, std::vector<HttpHeader> headers,
              std::string_view body) {
    HttpHandler* const handler = std::exchange(this->handlers.back(), nullptr);
    handler->OnHead(http_status, headers);
    handler->OnData(body);
    handler->OnEnd({absl::OkStatus(), http_status, true});
  }

  /// @brief Fails the last request.
  void Fail(ErrorId id, int http_status, bool request_may_have_left) {
    ErrorDetail detail;
    detail.id = id;
    std::exchange(this->handlers.back(), nullptr)
        ->OnEnd({MakeError(absl::StatusCode::kUnavailable, detail, "failed"),
                 http_status, request_may_have_left});
  }

 private:
  std::vector<HttpRequest> requests;
  std::vector<HttpHandler*> handlers;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_TESTS_FAKE_HTTP_CLIENT_H_
