#ifndef MEADOWTHREAD_NET_CURL_CLIENT_H_
#define MEADOWTHREAD_NET_CURL_CLIENT_H_

#include <memory>

#include "net/http_client.h"

namespace meadowthread {

namespace detail {
class CurlMulti;
}  // namespace detail

/// @brief HttpClient over libcurl's multi interface on Qt's event loop.
///
/// Qt's own network access sends a POST again by itself when a connection dies
/// (docs/design/http-libraries.md), so that no attempt could be counted.
class CurlClient final : public HttpClient {
 public:
  CurlClient();
  ~CurlClient() override;
  CurlClient(const CurlClient&) = delete;
  CurlClient& operator=(const CurlClient&) = delete;

  HttpCallId Start(const HttpRequest& request, HttpHandler* handler) override;
  void Cancel(HttpCallId call) override;
  void SetPaused(HttpCallId call, bool paused) override;

 private:
  std::unique_ptr<detail::CurlMulti> multi;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_CURL_CLIENT_H_
