#include <memory>
#include <utility>

#include "base/error.h"
#include "net/http_client.h"
#include "net/http_headers.h"

namespace meadowthread {
namespace {

// Has no other owner, so it deletes itself when the call ends.
class FetchHandler final : public HttpHandler {
 public:
  FetchHandler(HttpClient& client, std::size_t limit_bytes,
               std::function<void(const FetchResult&)> done)
      : client(client), limit_bytes(limit_bytes), done(std::move(done)) {}

  void Start(const HttpRequest& request) {
    this->url = request.url;
    this->call = this->client.Start(request, this);
  }

  void OnHead(int http_status, std::span<const HttpHeader> headers) override {
    this->fetched.response.http_status = http_status;
    this->fetched.response.headers.assign(headers.begin(), headers.end());
  }

  void OnData(std::string_view data) override {
    std::string& body = this->fetched.response.body;
    if (body.size() + data.size() <= this->limit_bytes) {
      body.append(data);
      return;
    }
    this->client.Cancel(this->call);
    HttpCallResult end;
    end.http_status = this->fetched.response.http_status;
    end.request_may_have_left = true;
    ErrorDetail detail;
    detail.id = ErrorId::kPeerMalformed;
    detail.step = "read-answer";
    detail.peer = this->url;
    end.status = MakeError(absl::StatusCode::kResourceExhausted, detail,
                           "the answer is longer than its limit");
    this->OnEnd(end);
  }

  void OnEnd(const HttpCallResult& end) override {
    const std::unique_ptr<FetchHandler> owner(this);
    this->fetched.end = end;
    this->done(this->fetched);
  }

 private:
  HttpClient& client;
  std::size_t limit_bytes;
  std::function<void(const FetchResult&)> done;
  std::string url;
  HttpCallId call = 0;
  FetchResult fetched;
};

}  // namespace

void Fetch(HttpClient& client, const HttpRequest& request,
           std::size_t limit_bytes,
           const std::function<void(const FetchResult&)>& done) {
  auto handler = std::make_unique<FetchHandler>(client, limit_bytes, done);
  handler.release()->Start(request);
}

std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (SameHeader(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

}  // namespace meadowthread
