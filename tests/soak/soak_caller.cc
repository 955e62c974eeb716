#include "soak/soak_caller.h"

#include <utility>

namespace meadowthread::soak {
namespace {

constexpr std::size_t kHeadLimit = 65'536;
// So much of an answer a caller that leaves has read.
constexpr std::size_t kLeavesAfterBytes = 1'500;
// Refusals come faster than a host ends.
constexpr std::size_t kMostExchanges = 20;

}  // namespace

SoakCaller::SoakCaller(const CallerBehaviour& behaviour, Next next,
                       RequestOf request_of)
    : behaviour(behaviour),
      next(std::move(next)),
      request_of(std::move(request_of)),
      exchanges({{this->next(), {}}}),
      slow(this->request_of(this->exchanges.front().sent),
           tests::SlowClient::FirstSent::kRequest, behaviour.receive_bytes),
      reader(MessageKind::kResponse, kHeadLimit) {
  if (this->behaviour.pipelines) {
    this->Send();
  }
  this->slow.Read(this->behaviour.bytes_per_10_ms);
}

void SoakCaller::Send() {
  SentRequest sent = this->next();
  sent.on_used_connection = true;
  this->slow.Send(tests::BytesOf(this->request_of(sent)));
  this->exchanges.push_back({sent, {}});
}

void SoakCaller::Step(bool goes_on) {
  if (this->over) {
    return;
  }
  const std::string_view got = this->slow.Got();
  if (got.size() > this->taken) {
    const std::size_t from = std::exchange(this->taken, got.size());
    this->Take(this->reader.Feed(got.substr(from)));
  }
  if (this->over) {
    return;
  }
  if (this->behaviour.leaves && got.size() > kLeavesAfterBytes) {
    for (std::size_t i = this->answered; i < this->exchanges.size(); ++i) {
      this->exchanges[i].answer.left = true;
    }
    this->over = true;
  } else if (this->slow.Ended() != tests::SlowClient::End::kOpen) {
    this->EndConnection();
  } else if (this->answered == this->exchanges.size()) {
    const bool more = this->behaviour.follow_ups-- > 0 ||
                      (goes_on && this->exchanges.size() < kMostExchanges);
    this->over =
        !more || (this->behaviour.heeds_the_close && !this->keep_alive);
    if (!this->over) {
      this->Send();
    }
  }
}

void SoakCaller::Take(ReadState state) {
  for (;;) {
    if (this->answered == this->exchanges.size()) {
      this->too_much = true;
      this->over = true;
      return;
    }
    Answer& answer = this->exchanges[this->answered].answer;
    if (const MessageHead* const head = this->reader.Head()) {
      answer.status = head->http_status;
      answer.headers = head->headers;
      this->keep_alive = head->keep_alive;
    }
    answer.body += this->reader.TakeBody();
    answer.whole = state == ReadState::kWhole;
    answer.malformed =
        state == ReadState::kMalformed || state == ReadState::kHeadTooLarge;
    if (!answer.whole) {
      this->over = answer.malformed;
      return;
    }
    ++this->answered;
    const bool rest = this->reader.RestBytes() > 0;
    state = this->reader.Next();
    if (!rest) {
      return;
    }
  }
}

// Several may be left: those after the first got nothing.
void SoakCaller::EndConnection() {
  this->over = true;
  const bool in_order = this->slow.Ended() == tests::SlowClient::End::kFinished;
  if (in_order && this->answered < this->exchanges.size()) {
    Answer& answer = this->exchanges[this->answered].answer;
    answer.whole =
        answer.status != 0 && this->reader.FeedEnd() == ReadState::kWhole;
  }
}

}  // namespace meadowthread::soak
