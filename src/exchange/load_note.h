#ifndef MEADOWTHREAD_EXCHANGE_LOAD_NOTE_H_
#define MEADOWTHREAD_EXCHANGE_LOAD_NOTE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief The load that one host puts on one engine; corrects the engine's own
/// load report, which lags.
struct EngineLoadNote {
  std::string engine;
  std::string host;
  std::int64_t in_flight = 0;        ///< sequences
  std::int64_t reserved_tokens = 0;  ///< estimated use of the engine's memory
  std::int64_t as_of_unix_ms = 0;
  std::int64_t held_tokens = 0;      ///< current use of the engine's memory
  std::int64_t prefill_backlog = 0;  ///< of prompts, prefill still pending
  int copies = 0;  ///< of runs, in transfer on the engine's link for the host
  /// What the policy expects, in its own order and units; empty: not sent.
  std::vector<std::int64_t> outlook = {};

  friend bool operator==(const EngineLoadNote&,
                         const EngineLoadNote&) = default;
};

/// @brief Provides the load notes of this host.
class LoadSource {
 public:
  virtual ~LoadSource() = default;

  /// @brief Notes about engines that `peer` uses too, highest load first; empty
  /// if no engine is shared.
  /// @param[in] limit maximum number of notes
  virtual std::vector<EngineLoadNote> NotesFor(std::string_view peer,
                                               std::size_t limit) = 0;
};

/// @brief Selects which hosts are sent the load of an engine.
class LoadRecipients {
 public:
  virtual ~LoadRecipients() = default;

  /// @brief Whether every host is sent the load of every engine.
  virtual bool IsEverybody() const = 0;

  /// @brief The hosts that are sent the load of an engine, unless IsEverybody.
  virtual std::vector<std::string> HostsFor(std::string_view engine) const = 0;
};

/// @brief Receives the load notes of other hosts.
class LoadSink {
 public:
  virtual ~LoadSink() = default;

  /// @brief Receives the notes that a host sent about itself; they may be old
  /// or duplicated.
  virtual void OnNotes(std::string_view host,
                       std::span<const EngineLoadNote> notes) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_LOAD_NOTE_H_
