#ifndef MEADOWTHREAD_ROLLOUT_ROLLOUT_PARTICIPANT_H_
#define MEADOWTHREAD_ROLLOUT_ROLLOUT_PARTICIPANT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/gossip_channel.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "rollout/rollout_evaluation.h"
#include "rollout/rollout_tracker.h"
#include "rollout/traffic_split.h"
#include "rollout/version_gate.h"

namespace meadowthread {

/// @brief Records the status of rollouts in the store.
class RolloutStatusStore {
 public:
  /// @brief Called with the new version of the object, or an error.
  using Done = std::function<void(const absl::StatusOr<std::int64_t>&)>;

  virtual ~RolloutStatusStore() = default;

  /// @brief Replaces the status of a service's rollout if the object has the
  /// expected version.
  virtual void WriteStatus(std::string_view service,
                           const RolloutStatus& status,
                           std::int64_t expected_version, const Done& done) = 0;
};

/// @brief Versions of a service's servers that a host must treat differently.
struct VersionRestrictions {
  /// Their servers get no requests.
  std::vector<std::string> excluded;
  /// If set, running generations at servers of all other versions move away.
  std::optional<std::string> moves_to;

  friend bool operator==(const VersionRestrictions&,
                         const VersionRestrictions&) = default;
};

/// @brief The requests of a host, as far as rollouts concern them.
class VersionedTraffic {
 public:
  virtual ~VersionedTraffic() = default;

  /// @brief Whether no request of this host is in progress at a server of the
  /// service with another version than the target.
  virtual bool AreOthersIdle(std::string_view service,
                             std::string_view target_version) const = 0;

  /// @brief The versions of the service's servers besides the target.
  virtual std::vector<std::string> OtherVersions(
      std::string_view service, std::string_view target_version) const = 0;

  /// @brief Puts restrictions in force, in place of those before.
  virtual void Restrict(std::string_view service,
                        const VersionRestrictions& restrictions) = 0;

  /// @brief The names of all known hosts, this one included.
  virtual std::vector<std::string> HostNames() const = 0;
};

/// @brief Takes part in rollouts: splits this host's requests between versions,
/// reports how they were answered, and evaluates rollouts if this host is one
/// of those that do.
///
/// A few hosts, chosen by hashing from the list of hosts, join the reports of
/// all and tell all how far the rollout is. Each of them may call the version
/// bad, which binds everybody at once. The decision is recorded in the store by
/// conditional updates.
class RolloutParticipant final : public VersionGate {
 public:
  static constexpr char kReportTopic[] = "rollout-report";
  static constexpr char kProgressTopic[] = "rollout-progress";

  /// @brief Number of hosts that evaluate a rollout.
  static constexpr std::size_t kEvaluators = 3;

  struct Dependencies {
    GossipChannel& channel;
    RolloutStatusStore& store;
    VersionedTraffic& traffic;
    const Clock& clock;
    Scheduler& scheduler;
    std::mt19937_64& random;
  };

  /// @param[in] host name of this host
  /// @param[in] deps outlive this
  RolloutParticipant(std::string_view host, const RolloutLimits& limits,
                     const Dependencies& deps);
  RolloutParticipant(const RolloutParticipant&) = delete;
  RolloutParticipant& operator=(const RolloutParticipant&) = delete;

  /// @brief Starts the periodic reports and evaluations.
  void Start();

  /// @brief Applies a rollout as read from the store.
  /// @param[in] version version of its object
  void SetRollout(const Rollout& rollout, std::int64_t version);

  /// @brief Applies that the operator has withdrawn a service's order. A
  /// version that was on trial gets nothing more.
  void Remove(std::string_view service);

  /// @brief Handles messages of other hosts.
  void OnReport(std::string_view host, const nlohmann::json& payload);
  void OnProgress(std::string_view host, const nlohmann::json& payload);

  // VersionGate
  VersionRule RuleForRequest(std::string_view service,
                             std::string_view route) override;
  VersionRule RuleForRetry(std::string_view service) const override;
  VersionRule RuleForMove(std::string_view service) const override;
  void RecordAnswer(const VersionedAnswer& answer) override;

  /// @brief Number of rollouts that are not decided.
  int Running() const;

  /// @brief Number of messages that were refused since the start.
  std::int64_t Refused() const { return this->refused; }

 private:
  struct Entry {
    Entry(const RolloutTracker& known, std::mt19937_64& random)
        : tracker(known), split(random) {}

    RolloutTracker tracker;
    TrafficSplit split;
    AnswersByRoute own;            ///< answers that this host got
    std::string process;           ///< under which they are reported
    std::int64_t requests = 0;     ///< taken by this host
    bool has_target_news = false;  ///< of the target version, not reported yet
    bool was_idle = false;         ///< as last reported
    bool is_asked = false;         ///< by an evaluating host, for a report
    std::optional<std::int64_t> reported_ms;
    std::optional<RolloutEvaluation> evaluation;
    std::int64_t told_ms = 0;
    /// Monotonic time from which the status in the store has been out of date.
    std::optional<std::int64_t> outdated_since_ms;
    bool writing = false;
    std::int64_t tried_ms = 0;  ///< last write
    VersionRestrictions restrictions;
  };

  bool HasWork() const;
  void Tick();
  void UpdateRole(const std::string& service, Entry* entry);
  void Report(Entry* entry);
  RolloutReport MakeReport(const Entry& entry) const;
  void SendReport(const Entry& entry, const RolloutReport& report);
  void Evaluate(Entry* entry);
  void TellProgress(Entry* entry);
  void AskHostsNotIdle(const Entry& entry, const nlohmann::json& payload);
  void RecordStatus(Entry* entry);
  std::optional<RolloutStatus> DueStatus(const Entry& entry) const;
  void Write(Entry* entry, const RolloutStatus& status);
  void OnWritten(const std::string& service, const Rollout& written,
                 const absl::StatusOr<std::int64_t>& result);
  void ApplyRestrictions(const std::string& service, Entry* entry);
  std::vector<std::string> Evaluators(std::string_view service) const;
  std::size_t RankOf(std::string_view service) const;
  bool ReportsOthers(std::string_view service) const;
  std::int64_t ReportPeriodMs() const;
  std::int64_t RandomPartOfReportPeriod();
  std::int64_t StartedMs(const Rollout& rollout) const;
  Entry* Find(std::string_view service);
  const Entry* Find(std::string_view service) const;
  Entry* FindRunning(const RolloutOrder& order);
  void Refuse(std::string_view host, std::string_view why);

  std::string host;
  RolloutLimits limits;
  Dependencies deps;
  std::int64_t incarnation;
  std::int64_t last_number = 0;
  std::int64_t last_process = 0;
  std::int64_t refused = 0;
  std::int64_t refused_logged_ms = -1;
  std::vector<std::string> hosts;  ///< known ones, as of the last tick
  std::map<std::string, Entry, std::less<>> entries;  ///< by service
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_ROLLOUT_PARTICIPANT_H_
