#ifndef MEADOWTHREAD_SERVE_STORE_CONTACT_H_
#define MEADOWTHREAD_SERVE_STORE_CONTACT_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "exchange/datagrams.h"
#include "relay/store_absence.h"

namespace meadowthread {

/// @brief Keeps a host's StoreAbsence by its own calls and by other hosts'
/// words.
///
/// A host that finds the store back after an absence asks those that watch it
/// for how long they have been answered: the way to the store may have been bad
/// from here alone. A lost word leaves it with what it saw itself.
class StoreContact {
 public:
  /// @param[in] hub,clock,absence outlive this
  /// @param[in] watchers names the hosts that watch the store
  StoreContact(DatagramHub& hub, const Clock& clock, StoreAbsence& absence,
               std::function<std::vector<std::string>()> watchers);
  StoreContact(const StoreContact&) = delete;
  StoreContact& operator=(const StoreContact&) = delete;

  /// @brief A call of this host was answered by the store.
  void NoteAnswer();

  /// @brief News of another host's answer has come.
  void NoteSign();

  /// @brief Calls `told` when the end of an absence turns out to be another.
  void OnCorrected(const std::function<void()>& told) {
    this->corrected = told;
  }

 private:
  void Ask();
  void TellTo(std::string_view host);
  void Take(std::string_view host, const nlohmann::json& payload);

  DatagramHub& hub;
  const Clock& clock;
  StoreAbsence& absence;
  std::function<std::vector<std::string>()> watchers;
  std::function<void()> corrected;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_STORE_CONTACT_H_
