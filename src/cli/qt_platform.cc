#include "cli/qt_platform.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <algorithm>
#include <optional>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error.h"
#include "cli/await.h"
#include "exchange/rpc_client.h"
#include "net/http_code.h"
#include "net/pooled_client.h"
#include "net/qt_scheduler.h"
#include "store/http_object_store.h"

namespace meadowthread {
namespace {

constexpr std::size_t kHostListLimitBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t kStatusLimitBytes = std::size_t{1024} * 1024;
constexpr std::int64_t kConnectTimeoutMs = 1000;
constexpr int kRpcThreads = 16;
/// Added to the calls' own timeouts, so that a call reports its timeout before
/// the wait ends.
constexpr std::int64_t kWaitMarginMs = 500;

/// Qt's event loop needs an application object that lives as long as the
/// process.
void EnsureApplication() {
  if (QCoreApplication::instance() != nullptr) {
    return;
  }
  static int argc = 1;
  static std::string name = "meadowthread";
  static char* argv = name.data();
  static QCoreApplication application(argc, &argv);
}

absl::Status PeerError(ErrorId id, std::string_view step, std::string_view peer,
                       std::string_view message) {
  ErrorDetail detail;
  detail.id = id;
  detail.step = std::string(step);
  detail.peer = std::string(peer);
  return MakeError(absl::StatusCode::kUnavailable, detail, message);
}

/// The body of a complete response with status 200, otherwise an error.
absl::StatusOr<std::string> BodyOf(const FetchResult& fetched,
                                   std::string_view step,
                                   std::string_view peer) {
  if (!fetched.end.status.ok()) {
    return fetched.end.status;
  }
  if (fetched.response.http_status != http_code::kOk) {
    return PeerError(ErrorId::kRejectedByPeer, step, peer,
                     absl::StrCat("responded with HTTP status ",
                                  fetched.response.http_status));
  }
  return fetched.response.body;
}

class QtPlatform final : public Platform {
 public:
  explicit QtPlatform(const PlatformAddress& address)
      : address(address),
        store(this->http, StoreOptions(address)),
        rpc({kRpcThreads, kMaxCalls}, this->clock) {}

  ObjectStore& Store() override { return this->store; }
  Scheduler& Tasks() override { return this->tasks; }

  bool Wait(const std::function<bool()>& is_done) override {
    return this->WaitUpTo(this->address.timeout_ms + kWaitMarginMs, is_done);
  }

  void Pause(std::int64_t pause_ms) override {
    this->WaitUpTo(pause_ms, [] { return false; });
  }

  absl::StatusOr<HostList> ListHosts() override {
    if (this->address.host_list.empty()) {
      return PeerError(ErrorId::kFieldMissing, "host-list", "",
                       "the host list is not given: use --host-list URL, "
                       "--settings FILE or MEADOWTHREAD_HOST_LIST");
    }
    const std::string url = this->address.host_list;
    const absl::StatusOr<std::string> body = Await<std::string>(
        *this,
        PeerError(ErrorId::kPeerTimeout, "host-list", url,
                  "no answer within the timeout"),
        [this, &url](const auto& done) {
          Fetch(this->http, this->Get(url), kHostListLimitBytes,
                [done, url](const FetchResult& fetched) {
                  done(BodyOf(fetched, "host-list", url));
                });
        });
    if (!body.ok()) {
      return body.status();
    }
    return DecodeHostList(*body);
  }

  std::vector<HostReply> AskStatuses(
      std::span<const HostEntry> hosts) override {
    return this->AskAll(
        hosts, "status", [this](const HostEntry& host, const RpcDone& done) {
          this->AskStatus(host.ControlUrl(), host.BaseUrl(), done);
        });
  }

  std::vector<HostReply> CallAll(std::span<const HostEntry> hosts,
                                 std::string_view method,
                                 std::string_view params) override {
    return this->AskAll(
        hosts, method, [&](const HostEntry& host, const RpcDone& done) {
          const RpcPeer peer = {host.name, host.address,
                                static_cast<std::uint16_t>(host.control_port)};
          this->rpc.Call(peer, method, params, this->address.timeout_ms, done);
        });
  }

 private:
  using Ask = std::function<void(const HostEntry&, const RpcDone&)>;
  using Replies = std::vector<std::optional<absl::StatusOr<std::string>>>;

  static constexpr int kMaxCalls = 1024;

  static HttpObjectStoreOptions StoreOptions(const PlatformAddress& address) {
    HttpObjectStoreOptions options;
    options.base_url = address.object_api;
    options.read_timeout_ms = address.timeout_ms;
    options.write_timeout_ms = address.timeout_ms;
    return options;
  }

  HttpRequest Get(const std::string& url) const {
    HttpRequest request;
    request.url = url;
    request.connect_timeout_ms = kConnectTimeoutMs;
    request.total_timeout_ms = this->address.timeout_ms;
    return request;
  }

  /// The control port is asked first, as it still answers when a host no longer
  /// accepts callers.
  void AskStatus(const std::string& url, const std::string& other_url,
                 const RpcDone& done) {
    const std::string status_url = url + "/statusz";
    Fetch(this->http, this->Get(status_url), kStatusLimitBytes,
          [this, status_url, other_url, done](const FetchResult& fetched) {
            const auto body = BodyOf(fetched, "statusz", status_url);
            if (body.ok() || other_url.empty()) {
              done(body);
              return;
            }
            this->AskStatus(other_url, "", done);
          });
  }

  std::vector<HostReply> AskAll(std::span<const HostEntry> hosts,
                                std::string_view step, const Ask& ask) {
    auto replies = std::make_shared<Replies>(hosts.size());
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      ask(hosts[i], [replies, i](const absl::StatusOr<std::string>& result) {
        (*replies)[i] = result;
      });
    }
    this->Wait([replies] {
      return std::all_of(replies->begin(), replies->end(),
                         [](const auto& reply) { return reply.has_value(); });
    });
    std::vector<HostReply> all;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      const auto& reply = (*replies)[i];
      all.push_back({hosts[i].name,
                     reply.has_value()
                         ? *reply
                         : PeerError(ErrorId::kPeerTimeout, step, hosts[i].name,
                                     "no answer within the timeout")});
    }
    return all;
  }

  bool WaitUpTo(std::int64_t limit_ms, const std::function<bool()>& is_done) {
    bool expired = false;
    QTimer timer;
    timer.setSingleShot(true);
    QObject::connect(&timer, &QTimer::timeout, &timer,
                     [&expired] { expired = true; });
    timer.start(static_cast<int>(limit_ms));
    QEventLoop loop;
    while (!is_done() && !expired) {
      loop.processEvents(QEventLoop::WaitForMoreEvents);
    }
    return is_done();
  }

  PlatformAddress address;
  SystemClock clock;
  QtScheduler tasks;
  PooledClient http;
  HttpObjectStore store;
  RpcClient rpc;
};

}  // namespace

std::unique_ptr<Platform> QtPlatformConnector::Connect(
    const PlatformAddress& address) {
  EnsureApplication();
  return std::make_unique<QtPlatform>(address);
}

}  // namespace meadowthread
