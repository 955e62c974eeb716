#include "exchange/load_datagrams.h"

#include <algorithm>

#include "base/error.h"
#include "base/log_line.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

// What IP and UDP add to each datagram.
constexpr std::int64_t kHeaderBytes = 28;
// An empty note tells peers that everything has ended; after it, silence.
constexpr qint64 kMostDatagramBytes = 60'000;
constexpr std::size_t kNoteFields = 5;

absl::Status Malformed() {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = "read-loads";
  return MakeError(absl::StatusCode::kInvalidArgument, detail,
                   "a datagram is no load notes");
}

bool ReadNote(const json& value, EngineLoadNote* note) {
  const bool fits =
      value.is_array() && value.size() == kNoteFields && value[0].is_string() &&
      std::all_of(value.begin() + 1, value.end(),
                  [](const json& one) { return one.is_number_integer(); });
  if (!fits) {
    return false;
  }
  note->engine = value[0].get<std::string>();
  note->in_flight = value[1].get<std::int64_t>();
  note->reserved_tokens = value[2].get<std::int64_t>();
  note->held_tokens = value[3].get<std::int64_t>();
  note->reading_tokens = value[4].get<std::int64_t>();
  return true;
}

}  // namespace

std::string EncodeLoads(const LoadDatagram& datagram) {
  json notes = json::array();
  for (const EngineLoadNote& note : datagram.notes) {
    notes.push_back({note.engine, note.in_flight, note.reserved_tokens,
                     note.held_tokens, note.reading_tokens});
  }
  const std::vector<std::uint8_t> bytes =
      json::to_cbor(json::array({datagram.host, notes}));
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<LoadDatagram> DecodeLoads(std::string_view bytes) {
  const json value = json::from_cbor(bytes, true, false);
  if (!value.is_array() || value.size() != 2 || !value[0].is_string() ||
      !value[1].is_array()) {
    return Malformed();
  }
  LoadDatagram datagram;
  datagram.host = value[0].get<std::string>();
  for (const json& one : value[1]) {
    EngineLoadNote note;
    note.host = datagram.host;
    if (!ReadNote(one, &note)) {
      return Malformed();
    }
    datagram.notes.push_back(std::move(note));
  }
  return datagram;
}

LoadDatagrams::LoadDatagrams(std::string_view host,
                             const LoadDatagramSettings& settings,
                             LoadSource& source, LoadSink& sink,
                             const Clock& clock, Scheduler& scheduler)
    : host(host),
      settings(settings),
      source(source),
      sink(sink),
      clock(clock),
      scheduler(scheduler) {}

absl::Status LoadDatagrams::Start(std::string_view address,
                                  std::uint16_t port) {
  const QHostAddress host_address(QString::fromUtf8(
      address.data(), static_cast<qsizetype>(address.size())));
  if (!this->socket.bind(host_address, port)) {
    ErrorDetail detail;
    detail.id = ErrorId::kSettingsInvalid;
    detail.step = "listen";
    detail.field = "listen.loads_port";
    detail.peer = std::string(address);
    return MakeError(absl::StatusCode::kUnavailable, detail,
                     this->socket.errorString().toStdString());
  }
  QObject::connect(&this->socket, &QUdpSocket::readyRead, &this->socket,
                   [this] { this->Take(); });
  this->TellLater(this->settings.period_ms);
  return absl::OkStatus();
}

void LoadDatagrams::SetPeers(std::span<const LoadPeer> with) {
  this->peers.clear();
  for (const LoadPeer& peer : with) {
    if (peer.name != this->host) {
      this->peers.push_back(peer);
    }
  }
}

void LoadDatagrams::TellLater(std::int64_t delay_ms) {
  this->scheduler.After(delay_ms,
                        [this, guard = std::weak_ptr<bool>(this->alive)] {
                          if (!guard.expired()) {
                            this->Tell();
                          }
                        });
}

void LoadDatagrams::Tell() {
  LoadDatagram datagram;
  datagram.host = this->host;
  datagram.notes = this->source.NotesFor("", this->settings.notes);
  std::int64_t next_ms = this->settings.period_ms;
  const bool any = !datagram.notes.empty();
  if (any || this->told_any) {
    const std::string bytes = EncodeLoads(datagram);
    for (const LoadPeer& peer : this->peers) {
      this->socket.writeDatagram(
          bytes.data(), static_cast<qint64>(bytes.size()),
          QHostAddress(QString::fromStdString(peer.address)), peer.port);
    }
    const std::int64_t sent =
        (std::ssize(bytes) + kHeaderBytes) * std::ssize(this->peers);
    constexpr std::int64_t kMsPerSecond = 1'000;
    next_ms = std::max(next_ms,
                       sent * kMsPerSecond / this->settings.bytes_per_second);
  }
  this->told_any = any;
  this->TellLater(next_ms);
}

// As of now: how old a note is must not rest on another host's clock.
void LoadDatagrams::Take() {
  while (this->socket.hasPendingDatagrams()) {
    std::string bytes(
        static_cast<std::size_t>(std::clamp<qint64>(
            this->socket.pendingDatagramSize(), 0, kMostDatagramBytes)),
        '\0');
    const qint64 size = this->socket.readDatagram(
        bytes.data(), static_cast<qint64>(bytes.size()));
    if (size < 0) {
      return;
    }
    bytes.resize(static_cast<std::size_t>(size));
    absl::StatusOr<LoadDatagram> read = DecodeLoads(bytes);
    if (!read.ok()) {
      LogLine("loads-malformed").Add("bytes", size).WriteImportant();
      continue;
    }
    for (EngineLoadNote& note : read->notes) {
      note.as_of_unix_ms = this->clock.WallMs();
    }
    this->sink.OnNotes(read->host, read->notes);
  }
}

}  // namespace meadowthread
