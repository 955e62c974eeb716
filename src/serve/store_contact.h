#ifndef MEADOWTHREAD_SERVE_STORE_CONTACT_H_
#define MEADOWTHREAD_SERVE_STORE_CONTACT_H_

#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "exchange/datagrams.h"
#include "relay/store_outage_tracker.h"

namespace meadowthread {

/// @brief Lets hosts ask each other for how long the store has answered them.
///
/// A host asks where an entry vanished and it can't tell itself whether it
/// lapsed. Words that are lost leave it with what it knows.
class StoreContact {
 public:
  /// @brief The hosts that watch the store, as far as this one knows.
  using Watchers = std::function<std::vector<std::string>()>;

  /// @param[in] hub,clock,scheduler,absence,random outlive this
  StoreContact(DatagramHub& hub, const Clock& clock, Scheduler& scheduler,
               StoreOutageTracker& absence, std::mt19937_64& random,
               Watchers watchers);
  StoreContact(const StoreContact&) = delete;
  StoreContact& operator=(const StoreContact&) = delete;

  /// @brief Whether it is still open what became of an entry.
  using IsOpen = std::function<bool()>;

  /// @brief Asks two hosts, and all that watch where it is still open then.
  void Ask(const IsOpen& is_open);

  /// @brief Calls `told` after each word that was asked for.
  void OnWord(const std::function<void()>& told) { this->word = told; }

 private:
  void AskSome(std::size_t count);
  void TellTo(std::string_view host);
  void Take(std::string_view host, const nlohmann::json& payload);

  DatagramHub& hub;
  const Clock& clock;
  Scheduler& scheduler;
  StoreOutageTracker& absence;
  std::mt19937_64& random;
  Watchers watchers;
  std::function<void()> word;
  bool is_asking = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_STORE_CONTACT_H_
