#ifndef MEADOWTHREAD_CONFIGURATION_MARKS_H_
#define MEADOWTHREAD_CONFIGURATION_MARKS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "configuration/replicated_view.h"

namespace meadowthread {

/// @brief What an operator wants of a host.
enum class HostMark {
  kLive,      ///< take work
  kLeaving,   ///< take no new work
  kStopping,  ///< take no new work, finish what runs, then end
};

/// @brief One host's mark, as stored under `marks/{host}`.
struct MarkDocument {
  std::string host;
  HostMark mark = HostMark::kLive;
  /// Streams may be handed to other hosts by the callers' resume tokens.
  bool handover = false;
  std::string operation;  ///< id of the operator's command
  std::string set_by;
  std::int64_t unix_ms = 0;

  friend bool operator==(const MarkDocument&, const MarkDocument&) = default;
};

/// @brief The mark's name on the wire: live, leaving or stopping.
std::string_view HostMarkName(HostMark mark);

/// @brief Reads a mark's name; kFieldInvalid for any other text.
absl::StatusOr<HostMark> ParseHostMark(std::string_view text);

/// @brief The object's value.
std::string MarkToJson(const MarkDocument& document);

/// @brief Reads an object's value; an error names the field at fault.
absl::StatusOr<MarkDocument> MarkFromJson(std::string_view text);

/// @brief Looks hosts' marks up in a view.
class Marks {
 public:
  /// @param[in] view outlives this
  /// @param[in] kind of the marks: of hosts, or of availability zones
  explicit Marks(const ReplicatedView& view, std::string_view kind = kMarksKind)
      : view(view), kind(kind) {}

  /// @brief The host's mark, live where nobody set one. A mark that cannot be
  /// read counts as leaving: no new work is the harmless side.
  MarkDocument MarkOf(std::string_view host) const;

  /// @brief All hosts that are marked leaving or stopping, by name.
  std::vector<MarkDocument> NotLive() const;

 private:
  const ReplicatedView& view;
  std::string_view kind;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_MARKS_H_
