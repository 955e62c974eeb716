#ifndef MEADOWTHREAD_EXCHANGE_RPC_CLIENT_H_
#define MEADOWTHREAD_EXCHANGE_RPC_CLIENT_H_

#include <QObject>
#include <QThreadPool>
#include <memory>

#include "base/clock.h"
#include "exchange/rpc_channel.h"

namespace meadowthread {

/// @brief Limits of the calls in progress.
struct RpcClientSettings {
  int threads = 4;         ///< concurrent calls on the network
  int max_in_flight = 64;  ///< on the network or waiting for a thread
};

/// @brief JSON-RPC client over HTTP, by libjsonrpccpp on worker threads.
class RpcClient final : public RpcChannel {
 public:
  /// @param[in] clock also read by worker threads; outlives the client
  RpcClient(const RpcClientSettings& settings, const Clock& clock);
  /// @brief Waits for calls on the network; drops queued ones without calling
  /// `done`.
  ~RpcClient() override;

  void Call(const RpcPeer& peer, std::string_view method,
            std::string_view params, std::int64_t timeout_ms,
            const RpcDone& done) override;

  int InFlight() const { return this->in_flight; }

 private:
  void Deliver(const RpcDone& done, const absl::StatusOr<std::string>& result);

  RpcClientSettings settings;
  const Clock& clock;
  int in_flight = 0;
  QObject context;  ///< delivers results on the thread of the client's creation
  QThreadPool pool;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_RPC_CLIENT_H_
