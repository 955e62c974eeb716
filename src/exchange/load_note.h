#ifndef MEADOWTHREAD_EXCHANGE_LOAD_NOTE_H_
#define MEADOWTHREAD_EXCHANGE_LOAD_NOTE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief What one host has running at one engine: a correction to the
/// engine's own report, which lags.
struct EngineLoadNote {
  std::string engine;
  std::string host;
  std::int64_t in_flight = 0;        ///< sequences
  std::int64_t reserved_tokens = 0;  ///< estimated, of the engine's memory
  std::int64_t as_of_unix_ms = 0;
  std::int64_t held_tokens = 0;     ///< of the engine's memory, now
  std::int64_t reading_tokens = 0;  ///< of prompts that are not read yet
  int copies = 0;  ///< of runs, that the host has on the engine's link now
  /// What the policy expects, in its own order and units; empty: not told.
  std::vector<std::int64_t> outlook = {};

  friend bool operator==(const EngineLoadNote&,
                         const EngineLoadNote&) = default;
};

/// @brief Gives this host's own notes.
class LoadSource {
 public:
  virtual ~LoadSource() = default;

  /// @brief Notes about engines that `peer` uses too, heaviest first; none
  /// where no engine is shared.
  /// @param[in] limit most notes wanted
  virtual std::vector<EngineLoadNote> NotesFor(std::string_view peer,
                                               std::size_t limit) = 0;
};

/// @brief Says who is told of the work at which engine.
class LoadAudience {
 public:
  virtual ~LoadAudience() = default;

  /// @brief Whether every host is told of everything.
  virtual bool IsEverybody() const = 0;

  /// @brief The hosts that are told of an engine, where not everybody is.
  virtual std::vector<std::string> HostsFor(std::string_view engine) const = 0;
};

/// @brief Told other hosts' notes.
class LoadSink {
 public:
  virtual ~LoadSink() = default;

  /// @brief Notes of one host, about itself, as sent; they may be old or
  /// doubled.
  virtual void OnNotes(std::string_view host,
                       std::span<const EngineLoadNote> notes) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_LOAD_NOTE_H_
