#ifndef MEADOWTHREAD_SERVE_CRASH_GOSSIP_DATAGRAMS_H_
#define MEADOWTHREAD_SERVE_CRASH_GOSSIP_DATAGRAMS_H_

#include <string_view>

#include "exchange/datagrams.h"
#include "quarantine/crash_gossip.h"

namespace meadowthread {

/// @brief Sends and receives crash gossip as datagrams.
class CrashGossipDatagrams final : public CrashGossipChannel {
 public:
  /// @param[in] hub outlives this
  explicit CrashGossipDatagrams(DatagramHub& hub) : hub(hub) {}

  void SendToRandom(std::string_view topic, const nlohmann::json& payload,
                    std::size_t count) override {
    this->hub.SendToRandom(topic, payload, count);
  }
  void SendToHost(std::string_view topic, const nlohmann::json& payload,
                  std::string_view host) override {
    this->hub.SendToHost(topic, payload, host);
  }

  /// @brief Delivers messages from other hosts to the gossip.
  /// @param[in] gossip outlives the hub
  void Connect(CrashGossip& gossip) {
    this->hub.Register(
        CrashGossip::kRecordsTopic,
        [&gossip](std::string_view host, const nlohmann::json& payload) {
          gossip.OnRecords(host, payload);
        });
    this->hub.Register(
        CrashGossip::kDigestTopic,
        [&gossip](std::string_view host, const nlohmann::json& payload) {
          gossip.OnDigest(host, payload);
        });
  }

 private:
  DatagramHub& hub;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_CRASH_GOSSIP_DATAGRAMS_H_
