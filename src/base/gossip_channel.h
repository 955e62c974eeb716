#ifndef MEADOWTHREAD_BASE_GOSSIP_CHANNEL_H_
#define MEADOWTHREAD_BASE_GOSSIP_CHANNEL_H_

#include <cstddef>
#include <string_view>

#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief Sends messages of one host to other hosts. They may be lost,
/// duplicated or late.
class GossipChannel {
 public:
  virtual ~GossipChannel() = default;

  /// @brief Sends a message to `count` other hosts, chosen at random.
  virtual void SendToRandom(std::string_view topic,
                            const nlohmann::json& payload,
                            std::size_t count) = 0;

  /// @brief Sends a message to one host.
  virtual void SendToHost(std::string_view topic, const nlohmann::json& payload,
                          std::string_view host) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_GOSSIP_CHANNEL_H_
