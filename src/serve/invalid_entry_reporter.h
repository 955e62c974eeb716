#ifndef MEADOWTHREAD_SERVE_INVALID_ENTRY_REPORTER_H_
#define MEADOWTHREAD_SERVE_INVALID_ENTRY_REPORTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "absl/status/status.h"
#include "base/clock.h"

namespace meadowthread {

/// @brief Reports invalid documents in the store: writes a log line whenever
/// the reason changes, and counts every read.
///
/// Handles the load pattern "another writer rewrites its invalid entries at
/// each heartbeat" by limiting the log lines per minute and the number of
/// remembered documents.
class InvalidEntryReporter {
 public:
  /// Maximum log lines per minute; further reads are only counted.
  static constexpr int kLinesPerMinute = 30;
  /// Maximum number of invalid documents remembered. Each read of an invalid
  /// document beyond these is logged again, within the limit of lines per
  /// minute.
  static constexpr std::size_t kMaxRemembered = 512;

  /// @brief Called for each read of an invalid document with its kind and the
  /// invalid field; the field is empty if the document cannot be parsed.
  using InvalidReadListener =
      std::function<void(std::string_view kind, std::string_view field)>;

  /// @param[in] clock outlives this
  InvalidEntryReporter(const Clock& clock, InvalidReadListener on_invalid_read);

  /// @brief Reports that a document was read and is invalid.
  void Report(std::string_view kind, std::string_view name,
              std::int64_t revision, const absl::Status& why);

  /// @brief Records that a document is valid or was removed.
  void Clear(std::string_view kind, std::string_view name);

  /// @brief Number of remembered documents that are invalid now.
  std::size_t InvalidCount() const { return this->invalid.size(); }

 private:
  using Key = std::pair<std::string, std::string>;

  bool MayLog();

  const Clock& clock;
  InvalidReadListener on_invalid_read;
  std::map<Key, std::string> invalid;  ///< reason, by kind and name
  std::int64_t minute_start_ms = -1;
  int lines = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_INVALID_ENTRY_REPORTER_H_
