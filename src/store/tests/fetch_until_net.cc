// Plays src/net's Fetch and FindHeader until that slice is built; then this
// file goes away.
#include <strings.h>

#include <memory>

#include "net/http_client.h"

namespace meadowthread {
namespace {

class Gathering final : public HttpHandler {
 public:
  explicit Gathering(std::function<void(const HttpFetched&)> done)
      : done(std::move(done)) {}
  void OnHead(int http_status, std::span<const HttpHeader> headers) override {
    this->fetched.response.http_status = http_status;
    this->fetched.response.headers = {headers.begin(), headers.end()};
  }
  void OnData(std::string_view data) override {
    this->fetched.response.body += data;
  }
  void OnEnd(const HttpEnd& end) override {
    this->fetched.end = end;
    this->done(this->fetched);
    delete this;
  }

 private:
  std::function<void(const HttpFetched&)> done;
  HttpFetched fetched;
};

}  // namespace

void Fetch(HttpClient& client, const HttpRequest& request,
           std::size_t /*limit_bytes*/,
           const std::function<void(const HttpFetched&)>& done) {
  client.Start(request, new Gathering(done));
}

std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (strcasecmp(header.name.c_str(), std::string(name).c_str()) == 0) {
      return header.value;
    }
  }
  return {};
}

}  // namespace meadowthread
