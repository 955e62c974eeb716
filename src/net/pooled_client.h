#ifndef MEADOWTHREAD_NET_POOLED_CLIENT_H_
#define MEADOWTHREAD_NET_POOLED_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "net/http_client.h"

namespace meadowthread {

namespace detail {
class ClientCore;
}  // namespace detail

/// @brief Counters since the client was created.
struct ClientStats {
  std::int64_t connects = 0;  ///< connection attempts
  std::int64_t reuses = 0;    ///< calls sent on a pooled connection
  std::int64_t resent = 0;    ///< requests that were resent
  std::int64_t foreign_responses =
      0;  ///< responses discarded because they belonged to another request
};

/// @brief An HTTP/1.1 client with a pool of connections, on Qt's event loop.
///
/// It reports exactly whether any byte of a request was sent, and never resends
/// a request with `send_once`.
class PooledClient final : public HttpClient {
 public:
  PooledClient();
  ~PooledClient() override;
  PooledClient(const PooledClient&) = delete;
  PooledClient& operator=(const PooledClient&) = delete;

  HttpCallId Start(const HttpRequest& request, HttpHandler* handler) override;
  void Cancel(HttpCallId call) override;
  void SetPaused(HttpCallId call, bool paused) override;

  /// @brief Closes the idle connections to a peer whose process has ended.
  /// @param[in] peer IP:PORT
  void CloseIdle(std::string_view peer);

  const ClientStats& Stats() const;

 private:
  std::unique_ptr<detail::ClientCore> core;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_POOLED_CLIENT_H_
