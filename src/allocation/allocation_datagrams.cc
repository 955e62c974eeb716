#include "allocation/allocation_datagrams.h"

#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kRequestTopic[] = "place";
constexpr char kResponseTopic[] = "placed";
constexpr char kReleaseTopic[] = "turn-over";
constexpr char kPressureTopic[] = "pressure";
constexpr char kAttemptTopic[] = "attempt";
constexpr char kReadingTopic[] = "reading";
constexpr char kSpeedTopic[] = "speed";
constexpr char kReportLoadsTopic[] = "tell-loads";
constexpr char kHeartbeatTopic[] = "hear";

}  // namespace

AllocationDatagrams::AllocationDatagrams(std::string_view self,
                                         DatagramHub& hub,
                                         AllocationReceiver& receiver)
    : self(self), hub(hub), receiver(receiver) {
  this->Register(kRequestTopic, &PlacementRequestFrom);
  this->Register(kResponseTopic, &PlacementResponseFrom);
  this->Register(kReleaseTopic, &LinkReleaseFrom);
  this->Register(kPressureTopic, &GroupPressureFrom);
  this->Register(kAttemptTopic, &EngineAttemptFrom);
  this->Register(kReadingTopic, &ReadingSeenFrom);
  this->Register(kSpeedTopic, &SpeedObservationFrom);
  hub.Register(kReportLoadsTopic, [this](std::string_view, const json&) {
    this->receiver.OnLoadReportsRequested();
  });
  hub.Register(kHeartbeatTopic, [](std::string_view, const json&) {});
}

template <typename Message>
void AllocationDatagrams::Register(
    std::string_view topic, absl::StatusOr<Message> (*read)(const json&)) {
  this->hub.Register(topic, [this, read, name = std::string(topic)](
                                std::string_view host, const json& payload) {
    const absl::StatusOr<Message> message = read(payload);
    if (!message.ok()) {
      LogLine("allocation-malformed")
          .Add("host", host)
          .Add("topic", name)
          .WriteImportant();
      return;
    }
    this->receiver.OnMessage(host, *message);
  });
}

template <typename Message>
void AllocationDatagrams::SendOrDeliver(std::string_view host,
                                        std::string_view topic,
                                        const Message& message) {
  if (host == this->self) {
    this->receiver.OnMessage(host, message);
  } else {
    this->hub.SendToHost(topic, ToJson(message), host);
  }
}

void AllocationDatagrams::Send(std::string_view host,
                               const PlacementRequest& request) {
  this->SendOrDeliver(host, kRequestTopic, request);
}

void AllocationDatagrams::Send(std::string_view host,
                               const PlacementResponse& response) {
  this->SendOrDeliver(host, kResponseTopic, response);
}

void AllocationDatagrams::Send(std::string_view host,
                               const LinkRelease& release) {
  this->SendOrDeliver(host, kReleaseTopic, release);
}

void AllocationDatagrams::Send(std::string_view host,
                               const GroupPressure& pressure) {
  this->SendOrDeliver(host, kPressureTopic, pressure);
}

void AllocationDatagrams::Send(std::string_view host,
                               const EngineAttempt& attempt) {
  this->SendOrDeliver(host, kAttemptTopic, attempt);
}

void AllocationDatagrams::Send(std::string_view host,
                               const PrefillObservation& seen) {
  this->SendOrDeliver(host, kReadingTopic, seen);
}

void AllocationDatagrams::Send(std::string_view host,
                               const SpeedObservation& seen) {
  this->SendOrDeliver(host, kSpeedTopic, seen);
}

void AllocationDatagrams::RequestLoadReports() {
  this->hub.SendToRandom(kReportLoadsTopic, json::array(), this->hub.Peers());
}

void AllocationDatagrams::SendHeartbeats() {
  this->hub.SendToRandom(kHeartbeatTopic, json::array(), this->hub.Peers());
}

}  // namespace meadowthread
