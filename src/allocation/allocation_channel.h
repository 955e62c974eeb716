#ifndef MEADOWTHREAD_ALLOCATION_ALLOCATION_CHANNEL_H_
#define MEADOWTHREAD_ALLOCATION_ALLOCATION_CHANNEL_H_

#include <string_view>

#include "allocation/allocation_messages.h"

namespace meadowthread {

/// @brief Sends allocation messages to other hosts. A message may be lost,
/// duplicated or delayed; one that a host sends to itself is delivered before
/// Send returns.
class AllocationChannel {
 public:
  virtual ~AllocationChannel() = default;

  virtual void Send(std::string_view host, const PlacementRequest& request) = 0;
  virtual void Send(std::string_view host,
                    const PlacementResponse& response) = 0;
  virtual void Send(std::string_view host, const LinkRelease& release) = 0;
  virtual void Send(std::string_view host, const GroupPressure& pressure) = 0;
  virtual void Send(std::string_view host, const EngineAttempt& attempt) = 0;
  virtual void Send(std::string_view host, const PrefillObservation& seen) = 0;
  virtual void Send(std::string_view host, const SpeedObservation& seen) = 0;

  /// @brief Asks all other hosts to report their loads.
  virtual void RequestLoadReports() = 0;

  /// @brief Sends a heartbeat to all other hosts.
  virtual void SendHeartbeats() = 0;
};

/// @brief Receives the allocation messages of other hosts.
class AllocationReceiver {
 public:
  virtual ~AllocationReceiver() = default;

  virtual void OnMessage(std::string_view host,
                         const PlacementRequest& request) = 0;
  virtual void OnMessage(std::string_view host,
                         const PlacementResponse& response) = 0;
  virtual void OnMessage(std::string_view host, const LinkRelease& release) = 0;
  virtual void OnMessage(std::string_view host,
                         const GroupPressure& pressure) = 0;
  virtual void OnMessage(std::string_view host,
                         const EngineAttempt& attempt) = 0;
  virtual void OnMessage(std::string_view host,
                         const PrefillObservation& seen) = 0;
  virtual void OnMessage(std::string_view host,
                         const SpeedObservation& seen) = 0;

  /// @brief Another host asks this one to report all of its loads.
  virtual void OnLoadReportsRequested() = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ALLOCATION_CHANNEL_H_
