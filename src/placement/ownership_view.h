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

/// @brief The deployment of this host, and the default owner.
struct OwnershipSettings {
  std::string deployment;     ///< the name of this deployment
  std::string default_owner;  ///< owner without an ownership object
  std::string default_address;
  /// Whether another deployment shares the object store. If not, a host may
  /// start work without having registered or read the ownership objects.
  bool has_other_deployment = true;
};

/// @brief Whether this host may start work of a workspace, or on an engine.
enum class OwnershipVerdict {
  kOurs,        ///< yes: this deployment owns it
  kDraining,    ///< no: it is being moved to another deployment
  kElsewhere,   ///< no: another deployment owns it
  kUnreadable,  ///< no: its object is invalid, so no deployment may start work
  kUnregistered,  ///< not yet: this host's status object is not written
  kUnread,        ///< not yet: objects not read since registration
};

/// @brief The name of a verdict in log lines.
std::string_view OwnershipVerdictName(OwnershipVerdict verdict);

/// @brief What is known about the ownership of one workspace or engine.
struct OwnershipLookup {
  OwnershipVerdict verdict = OwnershipVerdict::kUnread;
  std::string owner;
  std::string address;       ///< of the owner or next owner; empty: unknown
  std::int64_t epoch = 0;    ///< 0: no object
  std::int64_t version = 0;  ///< of the object; 0: none
};

/// @brief Something that this deployment owns and is draining.
struct DrainingObject {
  OwnedId id;
  std::int64_t version = 0;
};

/// @brief This host's replica of the ownership objects, which decides whether
/// work may start.
class OwnershipView {
 public:
  /// @param[in] clock outlives the view
  OwnershipView(const OwnershipSettings& settings, const Clock& clock)
      : settings(settings), clock(clock) {}

  /// @brief Applies an object from the object store or from a peer; older
  /// versions are ignored.
  void Apply(const StoredObject& object);

  /// @brief States that Apply has been called for all objects that the object
  /// store held at some time at or after `since_ms`.
  /// @param[in] since_ms monotonic time at which the read was *sent*; if a peer
  /// did the read: when the peer was asked, minus the age of its read according
  /// to its answer
  void ConfirmReadSince(std::int64_t since_ms);

  /// @brief Called when the write of this host's status object has succeeded:
  /// from then on movers wait for this host to drain.
  void SetRegistered();

  /// @brief Called when the status object was found to be removed or written by
  /// another incarnation: movers no longer wait for this host.
  void SetUnregistered() { this->registered_ms.reset(); }

  /// @brief The owner of a workspace or engine, and whether work may start.
  /// @complexity logarithmic in the objects
  OwnershipLookup Lookup(const OwnedId& id) const;

  /// @brief Whether new work may start.
  /// @return OK; kOwnedElsewhere with the address to use instead as `peer`; or
  /// kHostNotReady. Both errors state that nothing was run.
  absl::Status MayStart(const OwnedId& id) const;

  /// @brief Everything that this deployment is draining.
  std::vector<DrainingObject> Draining() const;

  const OwnershipSettings& Settings() const { return this->settings; }

 private:
  struct Entry {
    std::int64_t version = 0;
    bool readable = false;
    bool deleted = false;
    OwnershipDocument document;
  };

  /// @brief Whether the objects were read after this host registered, so that
  /// an object that was set to draining before the registration is known.
  bool HasReadSinceRegistered() const;
  OwnershipVerdict VerdictFor(const OwnershipDocument& document) const;

  OwnershipSettings settings;
  const Clock& clock;
  std::map<OwnedId, Entry> entries;
  std::optional<std::int64_t> confirmed_ms;
  std::optional<std::int64_t> registered_ms;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_OWNERSHIP_VIEW_H_
