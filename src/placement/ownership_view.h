#ifndef MEADOWTHREAD_PLACEMENT_OWNERSHIP_VIEW_H_
#define MEADOWTHREAD_PLACEMENT_OWNERSHIP_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "base/clock.h"
#include "placement/ownership.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief Which half this is, and what a missing object means.
struct OwnershipSettings {
  std::string half;           ///< this half's name
  std::string default_owner;  ///< owns what has no object
  std::string default_address;
  /// Whether another half may act too. Without one a host needs neither to be
  /// registered nor to have read the platform before it starts work.
  bool has_other_half = true;
};

/// @brief Whether this half may act.
enum class OwnershipVerdict {
  kOurs,
  kDraining,      ///< ours, but nothing new may start
  kElsewhere,     ///< the other half's
  kUnreadable,    ///< its object makes no sense: neither half acts
  kUnregistered,  ///< this host's status object is not known to stand
  kUnread,        ///< the platform was not read since it was registered
};

/// @brief The verdict's name in log lines.
std::string_view OwnershipVerdictName(OwnershipVerdict verdict);

/// @brief What is known of one workspace or engine.
struct OwnershipAnswer {
  OwnershipVerdict verdict = OwnershipVerdict::kUnread;
  std::string owner;
  std::string address;       ///< where to go instead, empty if not known
  std::int64_t epoch = 0;    ///< 0: no object
  std::int64_t version = 0;  ///< of the object; 0: none
};

/// @brief An ownership object that names us as draining.
struct DrainingObject {
  OwnedId id;
  std::int64_t version = 0;
};

/// @brief This host's copy of the ownership objects, and how fresh it is.
class OwnershipView {
 public:
  /// @param[in] by outlives the view
  OwnershipView(const OwnershipSettings& with, const Clock& by)
      : settings(with), clock(by) {}

  /// @brief Takes an object, from the platform or a peer; versions only grow.
  void Apply(const StoredObject& object);

  /// @brief All that stood at the platform at some instant no earlier than
  /// `since_ms` has been applied.
  /// @param[in] since_ms monotonic time at which the read was *sent*; for a
  /// peer's confirmation: when the peer was asked, less the age it answered
  void Confirm(std::int64_t since_ms);

  /// @brief This host's status object stands at the platform, so that a mover
  /// waits for its word; told when the write's answer has come.
  void SetRegistered();

  /// @brief The status object was found removed or written by another
  /// incarnation: a mover no longer waits for this host.
  void SetUnregistered() { this->registered_ms.reset(); }

  /// @brief What is known now. @complexity logarithmic in the objects
  OwnershipAnswer Look(const OwnedId& id) const;

  /// @brief OK, or why no new work may start: kOwnedElsewhere with the address
  /// as peer, or kHostNotReady; both not run.
  absl::Status MayStart(const OwnedId& id) const;

  /// @brief What this half is draining.
  std::vector<DrainingObject> Draining() const;

  const OwnershipSettings& Settings() const { return this->settings; }

 private:
  struct Entry {
    std::int64_t version = 0;
    bool readable = false;
    bool deleted = false;
    OwnershipDocument document;
  };

  /// @brief Whether all that stood when the host was registered is known.
  bool HasReadSinceRegistered() const;
  OwnershipVerdict Judge(const OwnershipDocument& document) const;

  OwnershipSettings settings;
  const Clock& clock;
  std::map<OwnedId, Entry> entries;
  std::optional<std::int64_t> confirmed_ms;
  std::optional<std::int64_t> registered_ms;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_OWNERSHIP_VIEW_H_
