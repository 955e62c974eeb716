#include "exchange/http_connector.h"

#include <jsonrpccpp/common/errors.h>

namespace meadowthread {
namespace detail {
namespace {

// The longest response is a full state of all kinds.
constexpr std::size_t kMaxAnswerBytes = std::size_t{32} << 20;
constexpr long kHttpOk = 200;  // NOLINT: libcurl's type

// libcurl aborts the transfer if the callback returns fewer bytes than it got.
std::size_t Append(char* data, std::size_t size, std::size_t count,
                   void* into) {
  std::string& text = *static_cast<std::string*>(into);
  const std::size_t bytes = size * count;
  if (text.size() + bytes > kMaxAnswerBytes) {
    return 0;
  }
  text.append(data, bytes);
  return bytes;
}

}  // namespace

HttpConnector::HttpConnector() : curl(curl_easy_init()), headers(nullptr) {
  this->headers =
      curl_slist_append(this->headers, "Content-Type: application/json");
  // Disables `Expect: 100-continue`, which costs a round trip before longer
  // bodies.
  this->headers = curl_slist_append(this->headers, "Expect:");
  curl_easy_setopt(this->curl, CURLOPT_HTTPHEADER, this->headers);
  curl_easy_setopt(this->curl, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(this->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->curl, CURLOPT_PROXY, "");
  curl_easy_setopt(this->curl, CURLOPT_TCP_NODELAY, 1L);
}

HttpConnector::~HttpConnector() {
  curl_slist_free_all(this->headers);
  curl_easy_cleanup(this->curl);
}

void HttpConnector::SetTarget(const std::string& url, std::int64_t timeout_ms) {
  curl_easy_setopt(this->curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(this->curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout_ms));  // NOLINT: libcurl's type
}

void HttpConnector::SendRPCMessage(
    const std::string& message,
    std::string& result) throw(jsonrpc::JsonRpcException) {
  curl_easy_setopt(this->curl, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(message.size()));
  curl_easy_setopt(this->curl, CURLOPT_POSTFIELDS, message.data());
  curl_easy_setopt(this->curl, CURLOPT_WRITEDATA, &result);
  const CURLcode code = curl_easy_perform(this->curl);
  this->timed_out = code == CURLE_OPERATION_TIMEDOUT;
  if (code != CURLE_OK) {
    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                    curl_easy_strerror(code));
  }
  long status = 0;  // NOLINT: libcurl's type
  curl_easy_getinfo(this->curl, CURLINFO_RESPONSE_CODE, &status);
  if (status != kHttpOk) {
    throw jsonrpc::JsonRpcException(
        jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE,
        "HTTP status " + std::to_string(status));
  }
}

}  // namespace detail
}  // namespace meadowthread
