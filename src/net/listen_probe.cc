#include "net/listen_probe.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <QUrl>
#include <chrono>
#include <utility>

#include "base/ip_and_port.h"

namespace meadowthread {
namespace {

/// @brief One test connection; deletes itself when it has a result.
class PendingCheck final : public QObject {
 public:
  PendingCheck(const ListenProbe::Done& done, QObject* owner)
      : QObject(owner), done(done) {
    QObject::connect(&this->socket, &QTcpSocket::connected, this,
                     [this] { this->Finish(ListenProbeResult::kListens); });
    QObject::connect(
        &this->socket, &QTcpSocket::errorOccurred, this,
        [this](QAbstractSocket::SocketError error) {
          this->Finish(error == QAbstractSocket::ConnectionRefusedError
                           ? ListenProbeResult::kRefused
                           : ListenProbeResult::kSilent);
        });
  }

  void Begin(const QUrl& to, std::int64_t limit_ms) {
    QTimer::singleShot(std::chrono::milliseconds(limit_ms), this,
                       [this] { this->Finish(ListenProbeResult::kSilent); });
    this->socket.connectToHost(QHostAddress(to.host()),
                               static_cast<quint16>(to.port()));
  }

  void Finish(ListenProbeResult state) {
    if (!std::exchange(this->finished, true)) {
      this->socket.abort();
      this->deleteLater();
      this->done(state);
    }
  }

 private:
  ListenProbe::Done done;
  QTcpSocket socket;
  bool finished = false;
};

}  // namespace

std::string_view ListenProbeResultName(ListenProbeResult state) {
  switch (state) {
    case ListenProbeResult::kListens:
      return "listens";
    case ListenProbeResult::kRefused:
      return "refused";
    case ListenProbeResult::kSilent:
      return "silent";
  }
  return "silent";
}

// Starts in the next turn of the event loop, so that `done` is never called
// from within Ask.
void QtListenProbe::Ask(std::string_view address, std::int64_t limit_ms,
                        const Done& done) {
  auto* const check = new PendingCheck(done, &this->owner);  // deletes itself
  const bool is_address = IsIpAndPort(address);
  const QUrl to("tcp://" +
                QString::fromUtf8(address.data(), std::ssize(address)));
  QTimer::singleShot(0, check, [check, is_address, to, limit_ms] {
    if (is_address) {
      check->Begin(to, limit_ms);
    } else {
      check->Finish(ListenProbeResult::kSilent);
    }
  });
}

}  // namespace meadowthread
