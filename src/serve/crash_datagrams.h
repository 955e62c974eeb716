#ifndef MEADOWTHREAD_SERVE_CRASH_DATAGRAMS_H_
#define MEADOWTHREAD_SERVE_CRASH_DATAGRAMS_H_

#include <string_view>

#include "exchange/datagrams.h"
#include "quarantine/crash_gossip.h"

namespace meadowthread {

/// @brief Words of the quarantine by datagrams.
class CrashDatagrams final : public CrashGossipChannel {
 public:
  /// @param[in] hub outlives this
  explicit CrashDatagrams(DatagramHub& hub) : hub(hub) {}

  void SendToRandom(std::string_view topic, const nlohmann::json& payload,
                    std::size_t count) override {
    this->hub.SendToSome(topic, payload, count);
  }
  void SendToHost(std::string_view topic, const nlohmann::json& payload,
                  std::string_view host) override {
    this->hub.SendToOne(topic, payload, host);
  }

  /// @brief Gives what other hosts tell to the words.
  /// @param[in] words outlives the hub
  void Connect(CrashGossip& words) {
    this->hub.Register(
        CrashGossip::kRecordsTopic,
        [&words](std::string_view host, const nlohmann::json& payload) {
          words.OnRecords(host, payload);
        });
    this->hub.Register(
        CrashGossip::kDigestTopic,
        [&words](std::string_view host, const nlohmann::json& payload) {
          words.OnDigest(host, payload);
        });
  }

 private:
  DatagramHub& hub;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_CRASH_DATAGRAMS_H_
