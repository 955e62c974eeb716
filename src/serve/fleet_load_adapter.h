#ifndef MEADOWTHREAD_SERVE_FLEET_LOAD_ADAPTER_H_
#define MEADOWTHREAD_SERVE_FLEET_LOAD_ADAPTER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "exchange/load_note.h"
#include "policy/fleet_state.h"

namespace meadowthread {

/// @brief Connects the policy's fleet state with the exchange of load notes:
/// publishes this host's loads to peers and applies theirs to the fleet state.
class FleetLoadAdapter final : public LoadSource, public LoadSink {
 public:
  /// @param[in] clock,fleet outlive this
  FleetLoadAdapter(std::string_view host, const Clock& clock, FleetState& fleet)
      : host(host), clock(clock), fleet(fleet) {}

  std::vector<EngineLoadNote> NotesFor(std::string_view peer,
                                       std::size_t limit) override;
  /// @brief This host's load on one engine as it is now.
  /// @param[in] engine must be known to the fleet state
  EngineLoadNote NoteAt(std::string_view engine);
  void OnNotes(std::string_view from,
               std::span<const EngineLoadNote> notes) override;

 private:
  void Refresh();
  EngineLoadNote NoteOf(const PeerLoad& load) const;

  std::string host;
  const Clock& clock;
  FleetState& fleet;
  std::vector<EngineLoadNote> notes;  ///< heaviest first
  std::int64_t refreshed_ms = 0;
};

namespace detail {

/// @brief Encodes a forecast as integers: the means, then the standard
/// deviations.
std::vector<std::int64_t> EncodeForecast(const MemoryForecast& forecast);

/// @brief Decodes a forecast.
/// @return false if the outlook does not have the expected length
bool DecodeForecast(std::span<const std::int64_t> outlook,
                    MemoryForecast* forecast);

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_FLEET_LOAD_ADAPTER_H_
