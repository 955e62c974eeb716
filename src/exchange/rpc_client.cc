#include "exchange/rpc_client.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "exchange/blocking_rpc_client.h"
#include "exchange/rpc_error.h"

namespace meadowthread {
namespace {

constexpr char kStep[] = "rpc_call";

/// A call as given to a worker thread.
struct CallTask {
  RpcPeer peer;
  std::string method;
  std::string params;
  std::int64_t deadline_ms = 0;
};

std::string UrlOf(const RpcPeer& peer) {
  const bool is_v6 = peer.address.find(':') != std::string::npos;
  const std::string host =
      is_v6 ? absl::StrCat("[", peer.address, "]") : peer.address;
  return absl::StrCat("http://", host, ":", peer.control_port, "/rpc");
}

absl::Status Failure(absl::StatusCode code, ErrorId id, const RpcPeer& peer,
                     std::string_view message) {
  ErrorDetail detail;
  detail.id = id;
  detail.step = kStep;
  detail.peer = peer.name;
  return MakeError(code, detail, message);
}

// One client per worker thread, which keeps connections open between calls.
detail::BlockingRpcClient& ThreadClient() {
  thread_local detail::BlockingRpcClient client;
  return client;
}

absl::StatusOr<std::string> Run(const CallTask& task, const Clock& clock) {
  const std::int64_t left_ms = task.deadline_ms - clock.MonotonicMs();
  if (left_ms <= 0) {
    return Failure(absl::StatusCode::kDeadlineExceeded, ErrorId::kPeerTimeout,
                   task.peer, "no worker thread was free before the deadline");
  }
  const detail::RpcResult result =
      ThreadClient().Call(UrlOf(task.peer), task.method, task.params, left_ms);
  switch (result.outcome) {
    case detail::RpcOutcome::kResult:
      return result.text;
    case detail::RpcOutcome::kPeerError:
      return RpcErrorFromData(result.text, result.message, task.peer.name);
    case detail::RpcOutcome::kMalformed:
      return Failure(absl::StatusCode::kInternal, ErrorId::kPeerMalformed,
                     task.peer, result.message);
    case detail::RpcOutcome::kTimedOut:
      return Failure(absl::StatusCode::kDeadlineExceeded, ErrorId::kPeerTimeout,
                     task.peer, result.message);
    case detail::RpcOutcome::kConnectionLost:
      break;
  }
  return Failure(absl::StatusCode::kUnavailable, ErrorId::kConnectionLost,
                 task.peer, result.message);
}

}  // namespace

RpcClient::RpcClient(const RpcClientSettings& client_settings,
                     const Clock& call_clock)
    : settings(client_settings), clock(call_clock) {
  this->pool.setMaxThreadCount(this->settings.threads);
  this->pool.setExpiryTimeout(-1);
}

RpcClient::~RpcClient() {
  this->pool.clear();
  this->pool.waitForDone();
}

void RpcClient::Call(const RpcPeer& peer, std::string_view method,
                     std::string_view params, std::int64_t timeout_ms,
                     const RpcDone& done) {
  ++this->in_flight;
  if (this->in_flight > this->settings.max_in_flight) {
    this->Deliver(done, Failure(absl::StatusCode::kResourceExhausted,
                                ErrorId::kOverloaded, peer,
                                "too many calls in progress"));
    return;
  }
  const CallTask task{peer, std::string(method), std::string(params),
                      this->clock.MonotonicMs() + timeout_ms};
  this->pool.start(
      [this, task, done] { this->Deliver(done, Run(task, this->clock)); });
}

void RpcClient::Deliver(const RpcDone& done,
                        const absl::StatusOr<std::string>& result) {
  QMetaObject::invokeMethod(
      &this->context,
      [this, done, result] {
        --this->in_flight;
        done(result);
      },
      Qt::QueuedConnection);
}

}  // namespace meadowthread
