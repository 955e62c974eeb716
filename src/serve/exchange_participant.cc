#include "serve/exchange_participant.h"

#include <QHostAddress>
#include <random>
#include <string>
#include <vector>

namespace meadowthread {
namespace {

// Share of the exchange's bandwidth for pushing changes to all hosts
// immediately. The rest is for the full state that restarted hosts fetch.
constexpr double kImmediatePushShare = 0.85;

ExchangeSettings MakeExchangeSettings(const HostExchangeSettings& with) {
  ExchangeSettings settings;
  settings.round_ms = with.period_ms;
  settings.push_fanout = with.fanout;
  const auto bytes = static_cast<double>(with.bytes_per_second);
  settings.regular_bytes_per_second =
      static_cast<std::int64_t>(bytes * kImmediatePushShare);
  settings.bulk_bytes_per_second =
      static_cast<std::int64_t>(bytes * (1.0 - kImmediatePushShare));
  return settings;
}

std::uint64_t NewSeed() { return std::random_device{}(); }

}  // namespace

ExchangeParticipant::ExchangeParticipant(
    const Settings& settings, std::int64_t incarnation, const Clock& clock,
    Scheduler& scheduler, ReplicatedView& view, HostDirectory& hosts)
    : host(settings.host),
      hosts(hosts),
      client(RpcClientSettings{}, clock),
      server(RpcServerSettings{}),
      directory(settings.host.name, {settings.host.zone, settings.host.region},
                PeerSettings{}, NewSeed(), clock),
      source(view),
      exchanger(
          {settings.host.name, incarnation},
          MakeExchangeSettings(settings.exchange), NewSeed(),
          {this->source, this->directory, this->client, scheduler, clock}) {
  view.AddListener([this](const ViewChange& change) {
    this->exchanger.NoteChange(change.kind);
  });
}

absl::Status ExchangeParticipant::Start() {
  this->server.Register(kExchangeMethod, [this](std::string_view params) {
    return this->exchanger.Exchange(params);
  });
  this->server.Register(kOfferMethod, [this](std::string_view params) {
    return this->exchanger.Offer(params);
  });
  const absl::StatusOr<std::uint16_t> port = this->server.Listen(
      QHostAddress(QString::fromStdString(this->host.address)),
      static_cast<std::uint16_t>(this->host.control_port));
  if (!port.ok()) {
    return port.status();
  }
  this->hosts.AddListener([this] { this->UpdatePeers(); });
  this->UpdatePeers();
  this->exchanger.Start();
  return absl::OkStatus();
}

void ExchangeParticipant::UpdatePeers() {
  std::vector<PeerEntry> peers;
  for (const HostEntry* entry : this->hosts.OfRole(HostRole::kEntry)) {
    if (entry->control_port > 0) {
      peers.push_back({{entry->name, entry->address,
                        static_cast<std::uint16_t>(entry->control_port)},
                       {entry->zone, entry->region}});
    }
  }
  this->exchanger.SetHosts(peers);
}

}  // namespace meadowthread
