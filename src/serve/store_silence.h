#ifndef MEADOWTHREAD_SERVE_STORE_SILENCE_H_
#define MEADOWTHREAD_SERVE_STORE_SILENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "exchange/datagrams.h"

namespace meadowthread {

/// @brief Knows whether the store can tell of the engines now, and which hosts
/// it fails.
///
/// Answers the load pattern "engines leave while the store is away": they stay
/// for two seconds, so the first host whose watch fails tells the others, whose
/// own watches run on for more than a second.
class StoreSilence {
 public:
  /// @param[in] hub,clock outlive this
  StoreSilence(DatagramHub& hub, const Clock& clock);
  StoreSilence(const StoreSilence&) = delete;
  StoreSilence& operator=(const StoreSilence&) = delete;

  /// @brief Takes how this host's own watch stands; to be called often.
  void NoteOwn(bool is_stalled);

  /// @brief Takes another host's word of its own watch, told at each change and
  /// again while it fails.
  void NotePeer(std::string_view host, bool is_stalled);

  /// @brief Whether the store fails another host, as far as that told.
  bool Fails(std::string_view host) const;

  /// @param[in] confirmed_unix_ms up to when the view of the engines is known
  /// to be whole, whoever read it
  bool IsSilent(std::int64_t confirmed_unix_ms) const;

 private:
  DatagramHub& hub;
  const Clock& clock;
  bool is_stalled = false;
  std::int64_t told_ms = 0;  ///< when this host last told, monotonic
  std::int64_t peer_told_unix_ms = 0;
  /// When hosts last told that the store fails them, monotonic.
  std::map<std::string, std::int64_t, std::less<>> failed;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_STORE_SILENCE_H_
