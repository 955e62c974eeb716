#ifndef MEADOWTHREAD_SERVE_GOSSIP_DATAGRAMS_H_
#define MEADOWTHREAD_SERVE_GOSSIP_DATAGRAMS_H_

#include <cstddef>
#include <string_view>

#include "base/gossip_channel.h"
#include "exchange/datagrams.h"
#include "permits/notice_gossip.h"
#include "permits/permit_participant.h"
#include "permits/share_loans.h"
#include "quarantine/crash_gossip.h"
#include "rollout/rollout_participant.h"

namespace meadowthread {

/// @brief Sends and receives gossip as datagrams.
class GossipDatagrams final : public GossipChannel {
 public:
  /// @param[in] hub outlives this
  explicit GossipDatagrams(DatagramHub& hub) : hub(hub) {}

  void SendToRandom(std::string_view topic, const nlohmann::json& payload,
                    std::size_t count) override {
    this->hub.SendToRandom(topic, payload, count);
  }
  void SendToHost(std::string_view topic, const nlohmann::json& payload,
                  std::string_view host) override {
    this->hub.SendToHost(topic, payload, host);
  }

  /// @brief Delivers messages from other hosts to the crash gossip.
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

  /// @brief Delivers messages from other hosts to the rollouts.
  /// @param[in] rollouts outlives the hub
  void Connect(RolloutParticipant& rollouts) {
    this->hub.Register(
        RolloutParticipant::kReportTopic,
        [&rollouts](std::string_view host, const nlohmann::json& payload) {
          rollouts.OnReport(host, payload);
        });
    this->hub.Register(
        RolloutParticipant::kProgressTopic,
        [&rollouts](std::string_view host, const nlohmann::json& payload) {
          rollouts.OnProgress(host, payload);
        });
  }

  /// @brief Delivers messages from other hosts about permits.
  /// @param[in] permits outlives the hub
  void Connect(PermitParticipant& permits) {
    this->hub.Register(
        PermitParticipant::kRateTopic,
        [&permits](std::string_view host, const nlohmann::json& payload) {
          permits.OnRate(host, payload);
        });
    this->hub.Register(
        PermitParticipant::kFullTopic,
        [&permits](std::string_view host, const nlohmann::json& payload) {
          permits.OnFull(host, payload);
        });
    this->hub.Register(
        PermitParticipant::kRejectedTopic,
        [&permits](std::string_view host, const nlohmann::json& payload) {
          permits.OnRejected(host, payload);
        });
    this->hub.Register(
        PermitParticipant::kRequestTopic,
        [&permits](std::string_view host, const nlohmann::json& payload) {
          permits.OnRequest(host, payload);
        });
    this->hub.Register(
        PermitParticipant::kResponseTopic,
        [&permits](std::string_view host, const nlohmann::json& payload) {
          permits.OnResponse(host, payload);
        });
  }

  /// @brief Delivers messages from other hosts about servers at rest and
  /// leaving ones.
  /// @param[in] notices outlives the hub
  void Connect(NoticeGossip& notices) {
    this->hub.Register(
        NoticeGossip::kTopic,
        [&notices](std::string_view host, const nlohmann::json& payload) {
          notices.OnNotice(host, payload);
        });
  }

  /// @brief Delivers messages from other hosts about lent shares.
  /// @param[in] loans outlives the hub
  void Connect(ShareLoans& loans) {
    this->hub.Register(
        ShareLoans::kRequestTopic,
        [&loans](std::string_view host, const nlohmann::json& payload) {
          loans.OnRequest(host, payload);
        });
    this->hub.Register(
        ShareLoans::kLoanTopic,
        [&loans](std::string_view host, const nlohmann::json& payload) {
          loans.OnLoan(host, payload);
        });
  }

 private:
  DatagramHub& hub;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_GOSSIP_DATAGRAMS_H_
