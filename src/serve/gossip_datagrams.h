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
    this->Deliver(CrashGossip::kRecordsTopic, gossip, &CrashGossip::OnRecords);
    this->Deliver(CrashGossip::kDigestTopic, gossip, &CrashGossip::OnDigest);
  }

  /// @brief Delivers messages from other hosts to the rollouts.
  /// @param[in] rollouts outlives the hub
  void Connect(RolloutParticipant& rollouts) {
    this->Deliver(RolloutParticipant::kReportTopic, rollouts,
                  &RolloutParticipant::OnReport);
    this->Deliver(RolloutParticipant::kProgressTopic, rollouts,
                  &RolloutParticipant::OnProgress);
  }

  /// @brief Delivers messages from other hosts about permits.
  /// @param[in] permits outlives the hub
  void Connect(PermitParticipant& permits) {
    this->Deliver(PermitParticipant::kRateTopic, permits,
                  &PermitParticipant::OnRate);
    this->Deliver(PermitParticipant::kFullTopic, permits,
                  &PermitParticipant::OnFull);
    this->Deliver(PermitParticipant::kRejectedTopic, permits,
                  &PermitParticipant::OnRejected);
    this->Deliver(PermitParticipant::kRequestTopic, permits,
                  &PermitParticipant::OnRequest);
    this->Deliver(PermitParticipant::kResponseTopic, permits,
                  &PermitParticipant::OnResponse);
    this->Deliver(PermitParticipant::kCallEndedTopic, permits,
                  &PermitParticipant::OnCallEnded);
  }

  /// @brief Delivers messages from other hosts about servers in backoff and
  /// leaving ones.
  /// @param[in] notices outlives the hub
  void Connect(NoticeGossip& notices) {
    this->Deliver(NoticeGossip::kTopic, notices, &NoticeGossip::OnNotice);
  }

  /// @brief Delivers messages from other hosts about lent shares.
  /// @param[in] loans outlives the hub
  void Connect(ShareLoans& loans) {
    this->Deliver(ShareLoans::kRequestTopic, loans, &ShareLoans::OnRequest);
    this->Deliver(ShareLoans::kLoanTopic, loans, &ShareLoans::OnLoan);
  }

 private:
  /// @param[in] handle is called with the sender's name and the payload
  template <typename Receiver>
  void Deliver(std::string_view topic, Receiver& receiver,
               void (Receiver::*handle)(std::string_view,
                                        const nlohmann::json&)) {
    this->hub.Register(topic,
                       [&receiver, handle](std::string_view host,
                                           const nlohmann::json& payload) {
                         (receiver.*handle)(host, payload);
                       });
  }

  DatagramHub& hub;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_GOSSIP_DATAGRAMS_H_
