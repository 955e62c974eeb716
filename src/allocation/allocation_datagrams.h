#ifndef MEADOWTHREAD_ALLOCATION_ALLOCATION_DATAGRAMS_H_
#define MEADOWTHREAD_ALLOCATION_ALLOCATION_DATAGRAMS_H_

#include <functional>
#include <string>
#include <string_view>

#include "allocation/allocation_channel.h"
#include "exchange/datagrams.h"

namespace meadowthread {

/// @brief Sends allocation messages as datagrams. Lost ones are not
/// retransmitted, because they would arrive too late to be of use.
class AllocationDatagrams final : public AllocationChannel {
 public:
  /// @param[in] hub,receiver must outlive this
  AllocationDatagrams(std::string_view self, DatagramHub& hub,
                      AllocationReceiver& receiver);
  AllocationDatagrams(const AllocationDatagrams&) = delete;
  AllocationDatagrams& operator=(const AllocationDatagrams&) = delete;

  void Send(std::string_view host, const PlacementRequest& request) override;
  void Send(std::string_view host, const PlacementResponse& response) override;
  void Send(std::string_view host, const LinkRelease& release) override;
  void Send(std::string_view host, const GroupPressure& pressure) override;
  void Send(std::string_view host, const EngineAttempt& attempt) override;
  void Send(std::string_view host, const PrefillObservation& seen) override;
  void Send(std::string_view host, const SpeedObservation& seen) override;
  void RequestLoadReports() override;
  void SendHeartbeats() override;

 private:
  template <typename Message>
  void SendOrDeliver(std::string_view host, std::string_view topic,
                     const Message& message);
  template <typename Message>
  void Register(std::string_view topic,
                absl::StatusOr<Message> (*read)(const nlohmann::json&));

  std::string self;
  DatagramHub& hub;
  AllocationReceiver& receiver;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ALLOCATION_DATAGRAMS_H_
