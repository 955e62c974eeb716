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

/// @brief Notes as they travel.
nlohmann::json LoadsJson(const std::vector<EngineLoadNote>& notes);

/// @brief Reads notes; an error where they are none.
absl::StatusOr<std::vector<EngineLoadNote>> LoadsFrom(
    std::string_view host, const nlohmann::json& payload);

/// @brief Tells other hosts what this one has at each engine: what changed at
/// once, and all of it from time to time, as datagrams may be lost.
class LoadDatagrams {
 public:
  /// @param[in] hub,source,sink,audience,clock,scheduler outlive this
  LoadDatagrams(DatagramHub& hub, LoadSource& source, LoadSink& sink,
                const LoadAudience& audience, const Clock& clock,
                Scheduler& scheduler);
  LoadDatagrams(const LoadDatagrams&) = delete;
  LoadDatagrams& operator=(const LoadDatagrams&) = delete;

  void Start();

  /// @brief Tells all of it with the next step: somebody knows nothing.
  void TellAllSoon() { this->all_told_ms = 0; }

 private:
  void Step();
  bool Tell(const std::vector<EngineLoadNote>& notes);
  void TellAudience(const std::vector<EngineLoadNote>& notes);
  /// @brief The notes that differ from what was told.
  std::vector<EngineLoadNote> Changed(
      const std::vector<EngineLoadNote>& notes) const;

  DatagramHub& hub;
  LoadSource& source;
  LoadSink& sink;
  const LoadAudience& audience;
  const Clock& clock;
  Scheduler& scheduler;
  std::vector<EngineLoadNote> told;
  std::int64_t all_told_ms = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_LOAD_DATAGRAMS_H_
