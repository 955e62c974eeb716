#ifndef MEADOWTHREAD_SERVE_REFUSED_ENTRIES_H_
#define MEADOWTHREAD_SERVE_REFUSED_ENTRIES_H_

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

/// @brief Tells of documents in the store that name nothing this host can use:
/// a line each time that why changes, and a count of every reading.
///
/// Answers the load pattern "another writer rewrites its entries each
/// heartbeat": lines are bounded by a budget, and what is remembered too.
class RefusedEntries {
 public:
  /// Lines of one minute; readings beyond them are only counted.
  static constexpr int kLinesPerMinute = 30;
  /// Documents remembered; what else is refused is told within the budget.
  static constexpr std::size_t kMostRemembered = 512;

  /// @brief Called for each reading with the kind and the field at fault, empty
  /// where the document's bytes are.
  using Counted =
      std::function<void(std::string_view kind, std::string_view field)>;

  /// @param[in] clock outlives this
  RefusedEntries(const Clock& clock, Counted counted);

  /// @brief A document was read and can't be used.
  void Refuse(std::string_view kind, std::string_view name,
              std::int64_t revision, const absl::Status& why);

  /// @brief A document can be used, or is gone.
  void Forget(std::string_view kind, std::string_view name);

  /// @brief Documents that are refused now, as far as they are remembered.
  std::size_t Standing() const { return this->standing.size(); }

 private:
  using Key = std::pair<std::string, std::string>;

  bool MayTell();

  const Clock& clock;
  Counted counted;
  std::map<Key, std::string> standing;  ///< why, by kind and name
  std::int64_t minute_begun_ms = -1;
  int lines = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_REFUSED_ENTRIES_H_
