#include <sys/resource.h>

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <cstdio>
#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "exchange/bench/bench_runs.h"
#include "exchange/exchanger.h"
#include "exchange/replicated_source.h"
#include "exchange/rpc_client.h"
#include "exchange/rpc_server.h"
#include "net/qt_scheduler.h"

namespace meadowthread::bench {
namespace {

constexpr std::size_t kValueBytes = 700;
constexpr int kMsPerSecond = 1000;
constexpr std::array<std::string_view, 2> kKinds = {kMarksKind, kTemplatesKind};

/// TCP proxy to a host that counts connections and bytes.
class CountingProxy final : public QTcpServer {
 public:
  explicit CountingProxy(std::uint16_t target) : target_port(target) {
    QObject::connect(this, &QTcpServer::newConnection, this,
                     [this] { this->Accept(); });
    this->listen(QHostAddress::LocalHost, 0);
  }

  std::int64_t Bytes() const { return this->bytes; }
  std::int64_t Connections() const { return this->connections; }

 private:
  void Accept() {
    ++this->connections;
    QTcpSocket* const near = this->nextPendingConnection();
    auto* const far = new QTcpSocket(this);
    far->connectToHost(QHostAddress::LocalHost, this->target_port);
    this->Pass(near, far);
    this->Pass(far, near);
  }

  void Pass(QTcpSocket* from, QTcpSocket* into) {
    QObject::connect(from, &QTcpSocket::readyRead, this, [this, from, into] {
      const QByteArray data = from->readAll();
      this->bytes += data.size();
      into->write(data);
    });
    QObject::connect(from, &QTcpSocket::disconnected, into,
                     &QTcpSocket::disconnectFromHost);
  }

  std::uint16_t target_port;
  std::int64_t bytes = 0;
  std::int64_t connections = 0;
};

/// One host with the real exchange over TCP.
class WireHost {
 public:
  WireHost(int number, const SystemClock& clock, QtScheduler& scheduler)
      : name(absl::StrCat("host-", number)),
        view(clock, kKinds),
        source(this->view),
        directory(this->name, {absl::StrCat("zone-", number % 3), "region"}, {},
                  number + 1, clock),
        client({}, clock),
        exchanger(
            {this->name, 1}, {}, number + 1,
            {this->source, this->directory, this->client, scheduler, clock}) {
    this->server.Register(kExchangeMethod, [this](std::string_view params) {
      return this->exchanger.Exchange(params);
    });
    this->port = *this->server.Listen(QHostAddress::LocalHost, 0);
  }

  PeerEntry Entry(int number, std::uint16_t at_port) const {
    return {{this->name, "127.0.0.1", at_port},
            {absl::StrCat("zone-", number % 3), "region"}};
  }

  std::string name;
  ReplicatedView view;
  ReplicatedSource source;
  PeerDirectory directory;
  RpcClient client;
  Exchanger exchanger;
  RpcServer server{RpcServerSettings{}};
  std::uint16_t port = 0;
};

double ProcessorMicros() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

/// The hosts, all in this process.
struct WireFleet {
  SystemClock clock;
  QtScheduler scheduler;
  std::vector<std::unique_ptr<WireHost>> hosts;
  std::vector<std::unique_ptr<CountingProxy>> proxies;
};

void Build(WireFleet* fleet, int hosts, int items, bool with_relay) {
  ObjectList all{items, {}};
  for (int item = 1; item <= items; ++item) {
    all.items.push_back({std::string(kTemplatesKind),
                         absl::StrCat("template-", item), item,
                         std::string(kValueBytes, 'x'), false});
  }
  std::vector<PeerEntry> entries;
  for (int number = 0; number < hosts; ++number) {
    fleet->hosts.push_back(
        std::make_unique<WireHost>(number, fleet->clock, fleet->scheduler));
    WireHost& host = *fleet->hosts.back();
    host.view.ApplyList(kTemplatesKind, 0, all, {});
    std::uint16_t port = host.port;
    if (with_relay) {
      fleet->proxies.push_back(std::make_unique<CountingProxy>(port));
      port = fleet->proxies.back()->serverPort();
    }
    entries.push_back(host.Entry(number, port));
  }
  for (const auto& host : fleet->hosts) {
    host->exchanger.SetHosts(entries);
    host->exchanger.Start();
  }
}

void RunFor(int seconds) {
  QTimer::singleShot(seconds * kMsPerSecond, QCoreApplication::instance(),
                     &QCoreApplication::quit);
  QCoreApplication::exec();
}

}  // namespace

void RunWire(int hosts, int seconds, int items, bool with_relay) {
  int argc = 0;
  const QCoreApplication application(argc, nullptr);
  WireFleet fleet;
  Build(&fleet, hosts, items, with_relay);
  const double micros_before = ProcessorMicros();
  RunFor(seconds);
  const double micros = ProcessorMicros() - micros_before;
  std::int64_t calls = 0;
  std::int64_t failures = 0;
  std::int64_t body_bytes = 0;
  for (const auto& host : fleet.hosts) {
    const ExchangeStats stats = host->exchanger.Stats();
    calls += stats.calls;
    failures += stats.failures;
    body_bytes += stats.bytes_in + stats.bytes_out;
  }
  std::int64_t wire_bytes = 0;
  std::int64_t connections = 0;
  for (const auto& proxy : fleet.proxies) {
    wire_bytes += proxy->Bytes();
    connections += proxy->Connections();
  }
  const auto per_call = [calls](auto total) {
    return static_cast<double>(total) / static_cast<double>(calls);
  };
  std::printf(
      "hosts,items,seconds,relay,calls,failures,cpu_us_a_call,"
      "cpu_percent_a_host,body_bytes_a_call,payload_bytes_a_call,"
      "connections_a_call\n");
  // Each body is counted by the sender and by the receiver, hence the half.
  std::printf("%d,%d,%d,%d,%ld,%ld,%.0f,%.3f,%.0f,%.0f,%.3f\n", hosts, items,
              seconds, with_relay ? 1 : 0, static_cast<long>(calls),  // NOLINT
              static_cast<long>(failures), per_call(micros),          // NOLINT
              micros / seconds / hosts / 1e4, per_call(body_bytes) / 2,
              per_call(wire_bytes), per_call(connections));
}

}  // namespace meadowthread::bench
