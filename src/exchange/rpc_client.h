#ifndef MEADOWTHREAD_EXCHANGE_RPC_CLIENT_H_
#define MEADOWTHREAD_EXCHANGE_RPC_CLIENT_H_

#include <QObject>
#include <QThreadPool>
#include <memory>

#include "base/clock.h"
#include "exchange/rpc_channel.h"

namespace meadowthread {

/// @brief Bounds of the calls in progress.
struct RpcClientSettings {
  int threads = 4;         ///< calls on the wire at once
  int max_in_flight = 64;  ///< on the wire and waiting for a thread
};

/// @brief Calls over HTTP by libjsonrpccpp, on worker threads.
class RpcClient final : public RpcChannel {
 public:
  /// @param[in] clock read from worker threads too; outlives the client
  RpcClient(const RpcClientSettings& settings, const Clock& clock);
  /// @brief Waits for calls on the wire; what still waits is dropped untold.
  ~RpcClient() override;

  void Call(const RpcPeer& peer, std::string_view method,
            std::string_view params, std::int64_t limit_ms,
            const RpcDone& done) override;

  int InFlight() const { return this->in_flight; }

 private:
  void Deliver(const RpcDone& done, const absl::StatusOr<std::string>& result);

  RpcClientSettings settings;
  const Clock& clock;
  int in_flight = 0;
  QObject context;  ///< receives answers on the thread that made the client
  QThreadPool pool;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_RPC_CLIENT_H_
