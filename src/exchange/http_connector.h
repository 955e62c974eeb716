#ifndef MEADOWTHREAD_EXCHANGE_HTTP_CONNECTOR_H_
#define MEADOWTHREAD_EXCHANGE_HTTP_CONNECTOR_H_

#include <curl/curl.h>
#include <jsonrpccpp/client/iclientconnector.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace meadowthread {
namespace detail {

/// @brief HTTP transport of libjsonrpccpp's client, by libcurl. C++14 only.
///
/// The library's own connector does not limit the response size, uses proxies
/// from the environment, and reports a timeout only in the message text.
class HttpConnector : public jsonrpc::IClientConnector {
 public:
  HttpConnector();
  ~HttpConnector() override;
  HttpConnector(const HttpConnector&) = delete;
  HttpConnector& operator=(const HttpConnector&) = delete;

  /// @brief Sets the URL and the timeout of the next message.
  void SetTarget(const std::string& url, std::int64_t timeout_ms);

  /// @brief Whether the latest message timed out.
  bool TimedOut() const { return this->timed_out; }

  void SendRPCMessage(const std::string& message,
                      std::string& result)  // NOLINT
      throw(jsonrpc::JsonRpcException) override;

 private:
  CURL* curl;
  curl_slist* headers;
  bool timed_out = false;
};

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_HTTP_CONNECTOR_H_
