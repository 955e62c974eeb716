#ifndef MEADOWTHREAD_PERMITS_PERMIT_PARTICIPANT_H_
#define MEADOWTHREAD_PERMITS_PERMIT_PARTICIPANT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/gossip_channel.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "nlohmann/json.hpp"
#include "permits/fallback_share.h"
#include "permits/in_flight_limit.h"
#include "permits/named_rates.h"
#include "permits/permit_bucket.h"
#include "permits/permit_messages.h"
#include "permits/rejection_limits.h"
#include "policy/server_permits.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief Counters since the start of the process.
struct PermitStats {
  std::int64_t granted = 0;   ///< to this host's own requests
  std::int64_t refused = 0;   ///< of this host's own requests
  std::int64_t fallback = 0;  ///< decided without the granting host
};

/// @brief One host's part in keeping to the rates that servers name.
///
/// Hosts tell each other of rates by gossip. For each server that names one,
/// one host, which follows from the host list, grants the permits of all hosts;
/// so the whole rate goes to the hosts that have requests. A deputy grants a
/// part of the rate to hosts that this host does not answer. A host that
/// neither answers has a small share that follows from the host list.
class PermitParticipant final : public ServerPermits {
 public:
  /// @brief The names of the hosts that send requests now, including this one;
  /// empty: not known yet.
  using Hosts = std::function<std::vector<std::string>()>;

  /// @param[in] self this host's name
  /// @param[in] channel,clock,scheduler outlive this
  PermitParticipant(std::string_view self, GossipChannel& channel,
                    const Clock& clock, Scheduler& scheduler,
                    const Hosts& hosts);
  PermitParticipant(const PermitParticipant&) = delete;
  PermitParticipant& operator=(const PermitParticipant&) = delete;

  // ServerPermits
  void NoteAnswer(const RateAnswer& answer) override;
  bool IsLimited(std::string_view server) const override;
  std::int64_t ExhaustedForMs(std::string_view server,
                              Urgency urgency) const override;
  void Ask(std::string_view server, Urgency urgency,
           const Decided& decided) override;
  void AskForCall(std::string_view server, Urgency urgency,
                  const Decided& decided) override;
  void NoteCallEnded(std::string_view server) override;

  /// @brief Handle messages of other hosts; malformed ones are logged.
  void OnRate(std::string_view host, const nlohmann::json& payload);
  void OnFull(std::string_view host, const nlohmann::json& payload);
  void OnRejected(std::string_view host, const nlohmann::json& payload);
  void OnRequest(std::string_view host, const nlohmann::json& payload);
  void OnResponse(std::string_view host, const nlohmann::json& payload);
  void OnCallEnded(std::string_view host, const nlohmann::json& payload);

  /// @brief Records that a message of any kind came from another host.
  void NoteHeard(std::string_view host);

  /// @brief Forgets a server that is gone.
  void Remove(std::string_view server);

  /// @brief Number of servers that name a rate.
  std::size_t LimitedServers() const { return this->rates.Count(); }
  const PermitStats& Stats() const { return this->stats; }

  static constexpr char kRateTopic[] = "server-rate";
  static constexpr char kFullTopic[] = "server-full";
  static constexpr char kRejectedTopic[] = "server-rejected";
  static constexpr char kRequestTopic[] = "permit-ask";
  static constexpr char kResponseTopic[] = "permit";
  static constexpr char kCallEndedTopic[] = "permit-ended";

 private:
  using Times = std::array<std::int64_t, kUrgencyCount>;
  /// A call of this host that the granting host counts as in flight.
  struct CountedCall {
    std::string host;
    std::uint64_t call = 0;
  };
  /// What a permit is asked for.
  struct Purpose {
    Urgency urgency = Urgency::kNormal;
    bool is_call = false;
  };
  /// The hosts that grant a server's permits; empty if there are none.
  struct Granting {
    std::string first;
    std::string deputy;  ///< asked by hosts that the first does not answer
  };
  struct Pending {
    std::string server;
    Urgency urgency = Urgency::kNormal;
    Decided decided;
  };

  void Apply(std::string_view server, const RateStatement& statement,
             RateSource source);
  void OnRateChanged(std::string_view server);
  void ReportRejection(std::string_view server);
  void CountRejection(std::string_view server, const Rejection& rejection);
  void TellFull(std::string_view server);
  void DropExhausted(std::string_view server);
  std::optional<double> RateOf(std::string_view server) const;
  RateNews NewsToSend(std::string_view server) const;
  Granting GrantingHosts(std::string_view server) const;
  double GrantedRate(std::string_view server, double per_s) const;
  std::string HostToAsk(std::string_view server) const;
  bool IsAlone() const;
  PermitDecision Grant(std::string_view server, double per_s,
                       const Purpose& purpose);
  PermitDecision FallBack(std::string_view server, Urgency urgency);
  PermitResponse Respond(const PermitRequest& request);
  void NoteCounted(std::string_view server, std::string_view host,
                   const PermitDecision& decision);
  void AskFor(std::string_view server, const Purpose& purpose,
              const Decided& decided);
  void EndCall(std::string_view server, std::uint64_t call);
  void SendRequest(std::string_view host, std::string_view server,
                   const Purpose& purpose, const Decided& decided);
  void OnTimeout(std::uint64_t ticket, const std::string& host);
  void Finish(std::uint64_t ticket, const PermitDecision& decision);
  PermitDecision Record(std::string_view server, Urgency urgency,
                        const PermitDecision& decision);
  bool IsSuspect(std::string_view host) const;

  std::string self;
  GossipChannel& channel;
  const Clock& clock;
  Scheduler& scheduler;
  Hosts hosts;
  NamedRates rates;
  RejectionLimits rejections;
  PermitStats stats;
  StringMap<PermitBucket> buckets;     ///< of servers whose permits it grants
  StringMap<InFlightLimit> in_flight;  ///< of brittle ones among them
  /// Calls of this host that are counted, by server.
  StringMap<std::deque<CountedCall>> own_calls;
  std::uint64_t last_call = 0;         ///< that this host counted for any host
  StringMap<FallbackShare> fallbacks;  ///< of servers whose host was silent
  /// Until when no permit is granted to this host, by urgency.
  StringMap<Times> exhausted_until_ms;
  StringMap<std::int64_t> suspects;  ///< hosts not asked until then
  std::int64_t heard_ms;             ///< when any other host was heard last
  std::map<std::uint64_t, Pending> pending;
  std::uint64_t last_ticket = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PERMITS_PERMIT_PARTICIPANT_H_
