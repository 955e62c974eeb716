#include "allocation/allocation_datagrams.h"

#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kAskTopic[] = "place";
constexpr char kAnswerTopic[] = "placed";
constexpr char kOverTopic[] = "turn-over";
constexpr char kPressureTopic[] = "pressure";
constexpr char kAttemptTopic[] = "attempt";
constexpr char kReadingTopic[] = "reading";
constexpr char kTellTopic[] = "tell-loads";
constexpr char kHearTopic[] = "hear";

}  // namespace

AllocationDatagrams::AllocationDatagrams(std::string_view self,
                                         DatagramHub& hub,
                                         AllocationReceiver& receiver)
    : self(self), hub(hub), receiver(receiver) {
  this->Register(kAskTopic, &PlaceAskFrom);
  this->Register(kAnswerTopic, &PlaceAnswerFrom);
  this->Register(kOverTopic, &TurnOverFrom);
  this->Register(kPressureTopic, &GroupPressureFrom);
  this->Register(kAttemptTopic, &EngineAttemptFrom);
  this->Register(kReadingTopic, &ReadingSeenFrom);
  hub.Register(kTellTopic, [this](std::string_view, const json&) {
    this->receiver.OnAskedToTell();
  });
  hub.Register(kHearTopic, [](std::string_view, const json&) {});
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
    this->receiver.On(host, *message);
  });
}

template <typename Message>
void AllocationDatagrams::SendOrTake(std::string_view host,
                                     std::string_view topic,
                                     const Message& message) {
  if (host == this->self) {
    this->receiver.On(host, message);
  } else {
    this->hub.SendToOne(topic, ToJson(message), host);
  }
}

void AllocationDatagrams::Send(std::string_view host, const PlaceAsk& ask) {
  this->SendOrTake(host, kAskTopic, ask);
}

void AllocationDatagrams::Send(std::string_view host,
                               const PlaceAnswer& answer) {
  this->SendOrTake(host, kAnswerTopic, answer);
}

void AllocationDatagrams::Send(std::string_view host, const TurnOver& over) {
  this->SendOrTake(host, kOverTopic, over);
}

void AllocationDatagrams::Send(std::string_view host,
                               const GroupPressure& pressure) {
  this->SendOrTake(host, kPressureTopic, pressure);
}

void AllocationDatagrams::Send(std::string_view host,
                               const EngineAttempt& attempt) {
  this->SendOrTake(host, kAttemptTopic, attempt);
}

void AllocationDatagrams::Send(std::string_view host, const ReadingSeen& seen) {
  this->SendOrTake(host, kReadingTopic, seen);
}

void AllocationDatagrams::AskAllToTell() {
  this->hub.SendToSome(kTellTopic, json::array(), this->hub.Peers());
}

void AllocationDatagrams::LetAllHear() {
  this->hub.SendToSome(kHearTopic, json::array(), this->hub.Peers());
}

}  // namespace meadowthread
