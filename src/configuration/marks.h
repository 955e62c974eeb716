#ifndef MEADOWTHREAD_CONFIGURATION_MARKS_H_
#define MEADOWTHREAD_CONFIGURATION_MARKS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "configuration/replicated_view.h"

namespace meadowthread {

/// @brief The state that an operator has set for a host or availability zone.
enum class HostMark {
  kLive,      ///< accepts new work
  kLeaving,   ///< accepts no new work
  kStopping,  ///< accepts no new work, finishes running work, then exits
};

/// @brief The mark of a host, stored under `marks/{host}`, or of an
/// availability zone, stored under `emptied-zones/{zone}`.
struct MarkDocument {
  std::string host;
  HostMark mark = HostMark::kLive;
  /// Callers may continue their streams on other hosts with resume tokens.
  bool handover = false;
  std::string operation;  ///< unique id of the operator's command
  std::string set_by;
  std::int64_t unix_ms = 0;

  friend bool operator==(const MarkDocument&, const MarkDocument&) = default;
};

/// @brief The mark's name on the wire: live, leaving or stopping.
std::string_view HostMarkName(HostMark mark);

/// @brief Parses a mark's name; kFieldInvalid for any other text.
absl::StatusOr<HostMark> ParseHostMark(std::string_view text);

/// @brief Encodes the stored object's value.
std::string MarkToJson(const MarkDocument& document);

/// @brief Decodes a stored object's value; an error names the invalid field.
absl::StatusOr<MarkDocument> MarkFromJson(std::string_view text);

/// @brief Looks up the marks of hosts or availability zones in a view.
class Marks {
 public:
  /// @param[in] view must outlive this object
  /// @param[in] kind of the marks: of hosts, or of availability zones
  explicit Marks(const ReplicatedView& view, std::string_view kind = kMarksKind)
      : view(view), kind(kind) {}

  /// @brief The host's mark; live if none is set. A mark that cannot be read
  /// counts as leaving, as giving a host no new work is the safe choice.
  MarkDocument MarkOf(std::string_view host) const;

  /// @brief The marks other than live, ordered by host name.
  std::vector<MarkDocument> NotLive() const;

 private:
  const ReplicatedView& view;
  std::string_view kind;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_MARKS_H_
