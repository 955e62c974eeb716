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

/// @brief Counts since the start.
struct ClientStats {
  std::int64_t connects = 0;        ///< connections begun
  std::int64_t reuses = 0;          ///< calls on a connection used before
  std::int64_t sent_again = 0;      ///< calls sent a second time
  std::int64_t answers_passed = 0;  ///< that belonged to other requests
};

/// @brief An HTTP/1.1 client with a pool of connections, on Qt's event loop.
///
/// It knows exactly whether a byte of a request has left, and sends nothing
/// twice that may not be.
class PooledClient final : public HttpClient {
 public:
  PooledClient();
  ~PooledClient() override;
  PooledClient(const PooledClient&) = delete;
  PooledClient& operator=(const PooledClient&) = delete;

  HttpCallId Start(const HttpRequest& request, HttpHandler* handler) override;
  void Cancel(HttpCallId call) override;
  void SetPaused(HttpCallId call, bool paused) override;

  /// @brief Closes the connections that rest for a peer: the process at their
  /// other end is gone.
  /// @param[in] peer IP:PORT
  void DropResting(std::string_view peer);

  const ClientStats& Stats() const;

 private:
  std::unique_ptr<detail::ClientCore> core;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_POOLED_CLIENT_H_
