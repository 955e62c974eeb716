#ifndef MEADOWTHREAD_EXCHANGE_LOAD_DATAGRAMS_H_
#define MEADOWTHREAD_EXCHANGE_LOAD_DATAGRAMS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "exchange/datagrams.h"
#include "exchange/load_note.h"

namespace meadowthread {

/// @brief Interval at which all load notes are sent again: twice within the
/// time after which peers ignore old notes.
inline constexpr std::int64_t kLoadResendMs = 3'000;

/// @brief JSON payload of load notes in a datagram.
nlohmann::json LoadsJson(const std::vector<EngineLoadNote>& notes);

/// @brief Decodes load notes; an error if the payload is malformed.
absl::StatusOr<std::vector<EngineLoadNote>> LoadsFrom(
    std::string_view host, const nlohmann::json& payload);

/// @brief Sends the load that this host puts on each engine to other hosts:
/// freed capacity at once, other changes gathered for some ms, and all of it
/// periodically, as datagrams may be lost.
class LoadDatagrams {
 public:
  /// @param[in] hub,source,sink,audience,clock,scheduler outlive this
  LoadDatagrams(DatagramHub& hub, LoadSource& source, LoadSink& sink,
                const LoadRecipients& audience, const Clock& clock,
                Scheduler& scheduler);
  LoadDatagrams(const LoadDatagrams&) = delete;
  LoadDatagrams& operator=(const LoadDatagrams&) = delete;

  /// @brief Starts the periodic sending.
  void Start();

  /// @brief Sends the load of an engine on which capacity became free. Beyond
  /// some notes per interval it goes with the interval's other changes.
  void SendFreed(const EngineLoadNote& note);

  /// @brief Sends all notes at the next interval, for a host that has none.
  void SendAllSoon() { this->all_sent_ms = 0; }

 private:
  void SendAndReschedule();
  bool Send(const std::vector<EngineLoadNote>& notes);
  void SendToRecipients(const std::vector<EngineLoadNote>& notes);
  /// @brief The notes that differ from those sent last.
  std::vector<EngineLoadNote> Changed(
      const std::vector<EngineLoadNote>& notes) const;

  DatagramHub& hub;
  LoadSource& source;
  LoadSink& sink;
  const LoadRecipients& audience;
  const Clock& clock;
  Scheduler& scheduler;
  std::vector<EngineLoadNote> sent_notes;
  int freed_in_interval = 0;  ///< notes of freed capacity sent at once
  std::int64_t all_sent_ms = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_LOAD_DATAGRAMS_H_
