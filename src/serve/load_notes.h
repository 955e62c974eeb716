#ifndef MEADOWTHREAD_SERVE_LOAD_NOTES_H_
#define MEADOWTHREAD_SERVE_LOAD_NOTES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "exchange/load_note.h"
#include "policy/fleet_state.h"

namespace meadowthread {

/// @brief Carries the policy's own loads to peers and theirs into the policy.
class LoadNotes final : public LoadSource, public LoadSink {
 public:
  /// @param[in] clock,fleet outlive this
  LoadNotes(std::string_view host, const Clock& clock, FleetState& fleet)
      : host(host), clock(clock), fleet(fleet) {}

  std::vector<EngineLoadNote> NotesFor(std::string_view peer,
                                       std::size_t limit) override;
  void OnNotes(std::string_view from,
               std::span<const EngineLoadNote> notes) override;

 private:
  void Refresh();

  std::string host;
  const Clock& clock;
  FleetState& fleet;
  std::vector<EngineLoadNote> notes;  ///< heaviest first
  std::int64_t refreshed_ms = 0;
};

namespace detail {

/// @brief A forecast as whole numbers: means, then standard deviations.
std::vector<std::int64_t> OutlookOf(const MemoryForecast& forecast);

/// @brief Reads it back; an outlook of another length is no forecast.
/// @return whether it was read
bool ReadOutlook(std::span<const std::int64_t> outlook,
                 MemoryForecast* forecast);

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_LOAD_NOTES_H_
