#ifndef MEADOWTHREAD_ALLOCATION_ALLOCATION_DUTY_H_
#define MEADOWTHREAD_ALLOCATION_ALLOCATION_DUTY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "allocation/allocation_datagrams.h"
#include "allocation/allocator.h"
#include "allocation/allocator_client.h"
#include "allocation/engine_groups.h"
#include "base/lifetime.h"
#include "exchange/load_note.h"

namespace meadowthread {

/// @brief What an AllocationDuty needs of its host.
struct AllocationParts {
  DatagramHub& hub;
  FleetState& fleet;
  EngineAllocation& local;
  LoadSink& loads;
  Scheduler& scheduler;
  const Clock& clock;
  const ArrivalLimits& arrivals;
  std::mt19937_64& random;
};

/// @brief What an AllocationDuty may be set to.
struct AllocationOptions {
  AllocationSelf self;
  PressureOptions pressure;
  /// Up to so many hosts tell each other everything, and each chooses by
  /// itself: what they tell grows with the square of their number.
  std::size_t direct_hosts = 0;
};

/// @brief A host's part in handing out engines: asks for its own requests, and
/// hands out places where that is its duty.
class AllocationDuty final : public AllocationReceiver,
                             public LoadSink,
                             public LoadAudience {
 public:
  using AttemptTold = std::function<void(const EngineAttempt& attempt)>;

  /// @param[in] parts all outlive the duty
  AllocationDuty(const AllocationOptions& options,
                 const AllocationParts& parts);
  AllocationDuty(const AllocationDuty&) = delete;
  AllocationDuty& operator=(const AllocationDuty&) = delete;

  /// @brief Told of attempts that other hosts made at engines of this host's
  /// groups.
  void OnAttempt(const AttemptTold& told) { this->attempt_told = told; }

  /// @brief Called where a host asks for all that this one has at engines.
  void OnTellAll(const std::function<void()>& tell) { this->tell_all = tell; }

  /// @brief Begins its upkeep.
  /// @param[in] hosts gives the hosts that may hand out places now
  void Start(const std::function<std::vector<AllocatorHost>()>& hosts);

  /// @brief An attempt of this host at an engine is over.
  void TellAttempt(const EngineAttempt& attempt);

  /// @brief Something came from a host.
  void NoteHeard(std::string_view host) { this->asking.NoteHeard(host); }

  /// @brief A first event of an own stream came.
  void TellReading(const ReadingSeen& seen);

  EngineAllocation& Allocation() { return this->asking; }

  /// @brief Groups whose places this host hands out.
  std::size_t Duties() const { return this->own_groups.size(); }

  // AllocationReceiver
  void On(std::string_view host, const PlaceAsk& ask) override;
  void On(std::string_view host, const PlaceAnswer& answer) override;
  void On(std::string_view host, const TurnOver& over) override;
  void On(std::string_view host, const GroupPressure& pressure) override;
  void On(std::string_view host, const EngineAttempt& attempt) override;
  void On(std::string_view host, const ReadingSeen& seen) override;
  void OnAskedToTell() override;

  // LoadSink
  void OnNotes(std::string_view host,
               std::span<const EngineLoadNote> notes) override;

  // LoadAudience
  bool IsEverybody() const override { return !this->asking.IsShared(); }
  std::vector<std::string> HostsFor(std::string_view engine) const override;

 private:
  void Tick();
  bool HasStoodStill() const;
  void TakeHosts();
  void TakeDuties(bool stood_still);
  template <typename Message>
  void TellAllocators(const Message& message);
  void TellPressures();
  void GrantTurns();

  AllocationOptions options;
  AllocationParts parts;
  EngineGroups groups;
  AllocationDatagrams channel;
  Allocator allocator;
  GroupAllocation asking;
  AttemptTold attempt_told;
  std::function<void()> tell_all;
  std::function<std::vector<AllocatorHost>()> hosts_now;
  std::set<std::string> own_groups;
  std::int64_t ticked_ms = 0;
  std::int64_t heard_by_all_ms = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ALLOCATION_DUTY_H_
