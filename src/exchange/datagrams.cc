#include "exchange/datagrams.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

// IP and UDP headers of a datagram.
constexpr std::int64_t kHeaderBytes = 28;
// Twice the longest datagram that hosts send. The CBOR decoder uses a stack
// frame for each nested array, which takes only one byte to open, so a longer
// datagram could overflow the stack.
constexpr qint64 kMaxDatagramBytes = 8'192;
constexpr std::size_t kFields = 3;
constexpr double kMsPerSecond = 1000.0;
// Largest burst, in seconds of the send rate, for moments in which much changes
// at once.
constexpr double kBurstSeconds = 2.0;

absl::Status Malformed() {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = "read-datagram";
  return MakeError(
      absl::StatusCode::kInvalidArgument, detail,
      "the datagram is too long or not a CBOR array of topic, host and "
      "payload");
}

QHostAddress AddressOf(std::string_view text) {
  return QHostAddress(
      QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size())));
}

}  // namespace

std::string EncodeDatagram(const Datagram& datagram) {
  const std::vector<std::uint8_t> bytes = json::to_cbor(
      json::array({datagram.topic, datagram.host, datagram.payload}));
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<json> CborFrom(std::string_view bytes) {
  if (bytes.size() > static_cast<std::size_t>(kMaxDatagramBytes)) {
    return Malformed();
  }
  try {
    return json::from_cbor(bytes, true, false);
  } catch (const json::exception&) {
    // Despite allow_exceptions = false, from_cbor throws where an array
    // declares a length that exceeds memory.
    return Malformed();
  }
}

absl::StatusOr<Datagram> DecodeDatagram(std::string_view bytes) {
  absl::StatusOr<json> decoded = CborFrom(bytes);
  if (!decoded.ok()) {
    return decoded.status();
  }
  json& value = *decoded;
  const bool fits = value.is_array() && value.size() == kFields &&
                    value[0].is_string() && value[1].is_string();
  if (!fits) {
    return Malformed();
  }
  return Datagram{value[0].get<std::string>(), value[1].get<std::string>(),
                  std::move(value[2])};
}

DatagramHub::DatagramHub(std::string_view host, std::int64_t bytes_per_second,
                         std::uint64_t seed, const Clock& clock)
    : host(host),
      bytes_per_second(bytes_per_second),
      clock(clock),
      random(seed),
      refilled_ms(clock.MonotonicMs()) {}

void DatagramHub::Register(std::string_view topic, const Handler& handler) {
  this->handlers[std::string(topic)] = handler;
}

absl::Status DatagramHub::Start(std::string_view address, std::uint16_t port) {
  if (!this->socket.bind(AddressOf(address), port)) {
    ErrorDetail detail;
    detail.id = ErrorId::kSettingsInvalid;
    detail.step = "listen";
    detail.field = "listen.loads_port";
    detail.peer = std::string(address);
    return MakeError(absl::StatusCode::kUnavailable, detail,
                     this->socket.errorString().toStdString());
  }
  QObject::connect(&this->socket, &QUdpSocket::readyRead, &this->socket,
                   [this] { this->ReceivePending(); });
  return absl::OkStatus();
}

void DatagramHub::SetPeers(std::span<const DatagramPeer> new_peers) {
  this->peers.clear();
  for (const DatagramPeer& peer : new_peers) {
    if (peer.name != this->host) {
      this->peers.push_back({peer.name, AddressOf(peer.address), peer.port});
    }
  }
  std::sort(this->peers.begin(), this->peers.end(),
            [](const Target& a, const Target& b) { return a.name < b.name; });
}

void DatagramHub::Refill() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const auto since = static_cast<double>(now_ms - this->refilled_ms);
  const auto rate = static_cast<double>(this->bytes_per_second);
  this->allowance = std::min(rate * kBurstSeconds,
                             this->allowance + since * rate / kMsPerSecond);
  this->refilled_ms = now_ms;
}

void DatagramHub::SendTo(const Target& target, const std::string& bytes) {
  this->socket.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                             target.address, target.port);
  this->allowance -= static_cast<double>(std::ssize(bytes) + kHeaderBytes);
}

bool DatagramHub::SendToAll(std::string_view topic, const json& payload) {
  this->Refill();
  if (this->allowance <= 0.0) {
    return false;
  }
  const std::string bytes =
      EncodeDatagram({std::string(topic), this->host, payload});
  for (const Target& peer : this->peers) {
    this->SendTo(peer, bytes);
  }
  return true;
}

void DatagramHub::SendToRandom(std::string_view topic, const json& payload,
                               std::size_t count) {
  this->Refill();
  const std::string bytes =
      EncodeDatagram({std::string(topic), this->host, payload});
  for (const std::size_t index : this->DrawPeers(count)) {
    this->SendTo(this->peers[index], bytes);
  }
}

// Cheap in a fleet of any size: few are drawn, so that one is rarely drawn
// twice.
std::set<std::size_t> DatagramHub::DrawPeers(std::size_t count) {
  const std::size_t wanted = std::min(count, this->peers.size());
  std::set<std::size_t> drawn;
  while (drawn.size() < wanted) {
    std::uniform_int_distribution<std::size_t> any(0, this->peers.size() - 1);
    drawn.insert(any(this->random));
  }
  return drawn;
}

void DatagramHub::SendToHost(std::string_view topic, const json& payload,
                             std::string_view to) {
  const auto found =
      std::lower_bound(this->peers.begin(), this->peers.end(), to,
                       [](const Target& peer, std::string_view name) {
                         return peer.name < name;
                       });
  if (found == this->peers.end() || found->name != to) {
    return;
  }
  this->Refill();
  this->SendTo(*found,
               EncodeDatagram({std::string(topic), this->host, payload}));
}

void DatagramHub::ReceivePending() {
  while (this->socket.hasPendingDatagrams()) {
    std::string bytes(
        static_cast<std::size_t>(std::clamp<qint64>(
            this->socket.pendingDatagramSize(), 0, kMaxDatagramBytes)),
        '\0');
    const qint64 size = this->socket.readDatagram(
        bytes.data(), static_cast<qint64>(bytes.size()));
    if (size < 0) {
      return;
    }
    bytes.resize(static_cast<std::size_t>(size));
    const absl::StatusOr<Datagram> read = DecodeDatagram(bytes);
    const auto found =
        read.ok() ? this->handlers.find(read->topic) : this->handlers.end();
    if (found == this->handlers.end()) {
      LogLine("datagram-malformed").Add("bytes", size).WriteImportant();
      continue;
    }
    if (this->sender_listener) {
      this->sender_listener(read->host);
    }
    found->second(read->host, read->payload);
  }
}

}  // namespace meadowthread
