#ifndef MEADOWTHREAD_PERMITS_NOTICE_GOSSIP_H_
#define MEADOWTHREAD_PERMITS_NOTICE_GOSSIP_H_

#include <cstdint>
#include <functional>
#include <string_view>

#include "base/clock.h"
#include "base/gossip_channel.h"
#include "nlohmann/json.hpp"
#include "policy/requested_backoffs.h"

namespace meadowthread {

/// @brief Hosts tell each other of servers that have asked one of them to
/// back off, or have said that they leave. Each passes on what is news to it.
class NoticeGossip {
 public:
  /// @brief Called with a server that another host was told leaves. Whether
  /// that is news, to be passed on by TellLeaving, is for the receiver to say.
  using LeavingListener = std::function<void(std::string_view server)>;

  /// @param[in] backoffs,channel,clock outlive this
  NoticeGossip(RequestedBackoffs& backoffs, GossipChannel& channel,
               const Clock& clock, const LeavingListener& leaving);
  NoticeGossip(const NoticeGossip&) = delete;
  NoticeGossip& operator=(const NoticeGossip&) = delete;

  /// @brief Tells other hosts that a server leaves.
  void TellLeaving(std::string_view server);

  /// @brief Handles a message of another host; a malformed one is logged.
  void OnNotice(std::string_view host, const nlohmann::json& payload);

  static constexpr char kTopic[] = "server-notice";

 private:
  void Tell(std::string_view server, std::int64_t backoff_ms);

  RequestedBackoffs& backoffs;
  GossipChannel& channel;
  const Clock& clock;
  LeavingListener leaving;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PERMITS_NOTICE_GOSSIP_H_
