#ifndef MEADOWTHREAD_QUARANTINE_SUSPECT_PARTS_H_
#define MEADOWTHREAD_QUARANTINE_SUSPECT_PARTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "quarantine/crash_record.h"
#include "quarantine/known_good_parts.h"

namespace meadowthread {

/// @brief What is known of one part of prompts that crashes count against,
/// from the records of all workspaces.
struct SuspectPart {
  /// All their crashes that no good run has cleared.
  CrashRecord record;
  /// Workspaces whose runs the servers crashed under.
  std::set<std::string, std::less<>> workspaces;
};

/// @brief The shared parts of a request's prompt.
struct PromptParts {
  std::string_view workspace;
  std::span<const std::string> parts;
};

/// @brief Decides which requests are kept from servers because of the parts of
/// their prompts.
///
/// The part that crashes servers is in the prompt of a run at each crash, and
/// in that of no run that has gone well since. Parts that come with it are
/// suspected as well, until a run without it shows that they are sound.
class SuspectParts {
 public:
  /// @brief Replaces what is known.
  /// @param[in] records of parts; several workspaces may have one of the same
  /// part
  /// @param[in] known_good this host's own runs clear crashes as well
  /// @complexity O(n log n) in the records and their crashes
  void Set(std::span<const CrashRecord* const> records,
           const KnownGoodParts& known_good);

  bool IsEmpty() const { return this->suspects.empty(); }

  /// @brief Until when a request is kept from servers; nullopt if it may be
  /// sent.
  /// @return Unix ms
  /// @complexity O(parts of the request * suspects)
  std::optional<std::int64_t> QuarantinedUntilMs(
      const PromptParts& prompt, std::int64_t now_unix_ms) const;

  /// @return null if the part is no suspect
  const SuspectPart* Find(std::string_view part) const;

 private:
  bool IsExplainedByOthers(const SuspectPart& suspect,
                           std::span<const std::string> prompt,
                           std::int64_t now_unix_ms) const;

  std::map<std::string, SuspectPart, std::less<>> suspects;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_SUSPECT_PARTS_H_
