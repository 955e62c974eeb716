#ifndef MEADOWTHREAD_EXCHANGE_HTTP_CONNECTOR_H_
#define MEADOWTHREAD_EXCHANGE_HTTP_CONNECTOR_H_

#include <curl/curl.h>
#include <jsonrpccpp/client/iclientconnector.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace meadowthread {
namespace detail {

/// @brief Carries libjsonrpccpp's client over HTTP by libcurl. C++14 only.
///
/// The library's own connector takes answers of any size, goes through proxies
/// that the environment names, and tells a time-out in words only.
class HttpConnector : public jsonrpc::IClientConnector {
 public:
  HttpConnector();
  ~HttpConnector() override;
  HttpConnector(const HttpConnector&) = delete;
  HttpConnector& operator=(const HttpConnector&) = delete;

  /// @brief Where the next message goes, and how long it may take.
  void SetTarget(const std::string& url, std::int64_t limit_ms);

  /// @brief Whether the latest message failed for want of time.
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
