#ifndef MEADOWTHREAD_EXCHANGE_DATAGRAMS_H_
#define MEADOWTHREAD_EXCHANGE_DATAGRAMS_H_

#include <QHostAddress>
#include <QUdpSocket>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief One message between hosts that may be lost, doubled or late.
struct Datagram {
  std::string topic;
  std::string host;  ///< who sent it
  nlohmann::json payload;
};

/// @brief The datagram's bytes (CBOR).
std::string EncodeDatagram(const Datagram& datagram);

/// @brief Reads a datagram; whatever its bytes are, it gives one or an error.
absl::StatusOr<Datagram> DecodeDatagram(std::string_view bytes);

/// @brief Where another host takes datagrams.
struct DatagramPeer {
  std::string name;
  std::string address;  ///< an IP number
  std::uint16_t port = 0;
};

/// @brief Sends and takes datagrams, within a bound of bytes.
class DatagramHub {
 public:
  using Handler =
      std::function<void(std::string_view host, const nlohmann::json& payload)>;

  /// @param[in] bytes_per_second sent by this host, headers included
  /// @param[in] clock outlives the hub
  DatagramHub(std::string_view host, std::int64_t bytes_per_second,
              std::uint64_t seed, const Clock& clock);
  DatagramHub(const DatagramHub&) = delete;
  DatagramHub& operator=(const DatagramHub&) = delete;

  /// @brief Told of every datagram of a topic; to be set before Start.
  void Register(std::string_view topic, const Handler& handler);

  absl::Status Start(std::string_view address, std::uint16_t port);

  void SetPeers(std::span<const DatagramPeer> peers);

  /// @brief Calls `told` with the sender of each datagram that could be read.
  void OnHeard(const std::function<void(std::string_view host)>& told) {
    this->heard = told;
  }

  /// @brief Sends to all peers, where the bound allows it now.
  /// @return whether it was sent
  bool SendToAll(std::string_view topic, const nlohmann::json& payload);

  /// @brief Sends to some peers drawn at random, whatever the bound says: news
  /// that others wait for.
  void SendToSome(std::string_view topic, const nlohmann::json& payload,
                  std::size_t count);

  /// @brief Sends to one host, whatever the bound says; nothing where it is not
  /// known.
  void SendToOne(std::string_view topic, const nlohmann::json& payload,
                 std::string_view host);

  std::size_t Peers() const { return this->peers.size(); }

 private:
  void Take();
  struct Target {
    std::string name;
    QHostAddress address;
    std::uint16_t port = 0;
  };

  void SendTo(const Target& target, const std::string& bytes);
  void Refill();

  std::string host;
  std::int64_t bytes_per_second;
  const Clock& clock;
  std::mt19937_64 random;
  std::vector<Target> peers;  ///< by name
  std::map<std::string, Handler, std::less<>> handlers;
  std::function<void(std::string_view host)> heard;
  QUdpSocket socket;
  double allowance = 0.0;
  std::int64_t refilled_ms = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_DATAGRAMS_H_
