#include "net/curl_client.h"

#include "net/curl_multi.h"

namespace meadowthread {

CurlClient::CurlClient() : multi(std::make_unique<detail::CurlMulti>()) {}
CurlClient::~CurlClient() = default;

HttpCallId CurlClient::Start(const HttpRequest& request, HttpHandler* handler) {
  return this->multi->Start(request, handler);
}

void CurlClient::Cancel(HttpCallId call) { this->multi->Cancel(call); }

void CurlClient::SetPaused(HttpCallId call, bool paused) {
  this->multi->SetPaused(call, paused);
}

}  // namespace meadowthread
