#ifndef MEADOWTHREAD_EXCHANGE_DATAGRAMS_H_
#define MEADOWTHREAD_EXCHANGE_DATAGRAMS_H_

#include <QHostAddress>
#include <QUdpSocket>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/gossip_channel.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief One UDP message between hosts; may be lost, duplicated or late.
struct Datagram {
  std::string topic;
  std::string host;  ///< the sender
  nlohmann::json payload;
};

/// @brief Encodes a datagram as CBOR.
std::string EncodeDatagram(const Datagram& datagram);

/// @brief Decodes CBOR of at most some thousand bytes; returns an error for
/// malformed bytes and never throws.
absl::StatusOr<nlohmann::json> CborFrom(std::string_view bytes);

/// @brief Decodes a datagram; returns an error for malformed bytes and never
/// throws.
absl::StatusOr<Datagram> DecodeDatagram(std::string_view bytes);

/// @brief Where another host receives datagrams.
struct DatagramPeer {
  std::string name;
  std::string address;  ///< an IP address
  std::uint16_t port = 0;
};

/// @brief Sends datagrams within a byte rate limit and passes received ones to
/// the handler of their topic.
class DatagramHub final : public GossipChannel {
 public:
  using Handler =
      std::function<void(std::string_view host, const nlohmann::json& payload)>;

  /// @param[in] bytes_per_second send rate limit, IP and UDP headers included
  /// @param[in] clock outlives the hub
  DatagramHub(std::string_view host, std::int64_t bytes_per_second,
              std::uint64_t seed, const Clock& clock);
  DatagramHub(const DatagramHub&) = delete;
  DatagramHub& operator=(const DatagramHub&) = delete;

  /// @brief Sets the handler of a topic; to be called before Start.
  void Register(std::string_view topic, const Handler& handler);

  /// @brief Binds the UDP socket and starts to receive.
  absl::Status Start(std::string_view address, std::uint16_t port);

  /// @brief Replaces the peers; an entry for this host itself is skipped.
  void SetPeers(std::span<const DatagramPeer> peers);

  /// @brief Calls `listener` with the sender of each valid datagram whose topic
  /// is registered.
  void SetSenderListener(
      const std::function<void(std::string_view host)>& listener) {
    this->sender_listener = listener;
  }

  /// @brief Sends to all peers, unless the rate limit is exhausted.
  /// @return whether it was sent
  bool SendToAll(std::string_view topic, const nlohmann::json& payload);

  /// @brief Sends to up to `count` random peers regardless of the rate limit,
  /// for changes that other hosts wait for.
  void SendToRandom(std::string_view topic, const nlohmann::json& payload,
                    std::size_t count) override;

  /// @brief Sends to one host regardless of the rate limit; does nothing if the
  /// host is not a known peer.
  void SendToHost(std::string_view topic, const nlohmann::json& payload,
                  std::string_view host) override;

  std::size_t Peers() const { return this->peers.size(); }

 private:
  void ReceivePending();
  struct Target {
    std::string name;
    QHostAddress address;
    std::uint16_t port = 0;
  };

  void SendTo(const Target& target, const std::string& bytes);
  std::set<std::size_t> DrawPeers(std::size_t count);
  void Refill();

  std::string host;
  std::int64_t bytes_per_second;
  const Clock& clock;
  std::mt19937_64 random;
  std::vector<Target> peers;  ///< sorted by name
  std::map<std::string, Handler, std::less<>> handlers;
  std::function<void(std::string_view host)> sender_listener;
  QUdpSocket socket;
  double allowance = 0.0;
  std::int64_t refilled_ms = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_DATAGRAMS_H_
