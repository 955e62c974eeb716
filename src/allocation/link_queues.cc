#include "allocation/link_queues.h"

#include <algorithm>
#include <iterator>

#include "policy/shared_work.h"

namespace meadowthread {
namespace {

// Hosts ask again each quarter of a second; one of two askings may be lost.
constexpr std::int64_t kWaitsMs = 600;

}  // namespace

bool LinkTurns::IsFree(const Link& link, std::int64_t now_ms) {
  return !link.holder.has_value() ||
         now_ms - link.held_since_ms > kLongestCopyMs;
}

void LinkTurns::DropSilent(Link& link, std::int64_t now_ms) {
  std::erase_if(link.waiting, [now_ms](const Waiting& one) {
    return now_ms - one.asked_ms > kWaitsMs;
  });
}

bool LinkTurns::Ask(std::string_view engine, const LinkTurn& turn,
                    std::int64_t now_ms) {
  Link& link = this->links[std::string(engine)];
  if (link.holder == turn) {
    return true;  // the word of it was lost
  }
  const auto known =
      std::find_if(link.waiting.begin(), link.waiting.end(),
                   [&turn](const Waiting& one) { return one.turn == turn; });
  if (known == link.waiting.end()) {
    link.waiting.push_back({turn, now_ms});
  } else {
    known->asked_ms = now_ms;
  }
  return this->Next(engine, now_ms) == turn;
}

void LinkTurns::Over(std::string_view engine, const LinkTurn& turn) {
  const auto found = this->links.find(engine);
  if (found == this->links.end()) {
    return;
  }
  Link& link = found->second;
  if (link.holder == turn) {
    link.holder.reset();
  }
  std::erase_if(link.waiting,
                [&turn](const Waiting& one) { return one.turn == turn; });
}

std::optional<LinkTurn> LinkTurns::Next(std::string_view engine,
                                        std::int64_t now_ms) {
  const auto found = this->links.find(engine);
  if (found == this->links.end()) {
    return std::nullopt;
  }
  Link& link = found->second;
  DropSilent(link, now_ms);
  if (link.waiting.empty() || !IsFree(link, now_ms)) {
    return std::nullopt;
  }
  link.holder = link.waiting.front().turn;
  link.held_since_ms = now_ms;
  link.waiting.pop_front();
  return link.holder;
}

void LinkTurns::DropOld(std::int64_t now_ms) {
  for (auto at = this->links.begin(); at != this->links.end();) {
    DropSilent(at->second, now_ms);
    const bool is_idle =
        at->second.waiting.empty() && IsFree(at->second, now_ms);
    at = is_idle ? this->links.erase(at) : std::next(at);
  }
}

}  // namespace meadowthread
