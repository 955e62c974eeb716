#ifndef MEADOWTHREAD_RELAY_BACKEND_LIST_H_
#define MEADOWTHREAD_RELAY_BACKEND_LIST_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "policy/allowed_regions.h"
#include "relay/entry_grace_period.h"

namespace meadowthread {

/// @brief A backend server's entry as listed by the platform.
struct BackendEntry {
  std::string id;  ///< stays the same when the server restarts
  std::string service;
  std::string address;  ///< IP:PORT
  std::string zone;
  std::string version;  ///< of its software
  bool leaving = false;
  /// Time from reading the entry during which the server is still cold, i.e.
  /// slow because it was started recently.
  std::int64_t slow_for_ms = 0;
  std::vector<std::string> models;
  /// Start time by the server's own clock as Unix ms, if stated. Only compared
  /// with other starts of the same id.
  std::optional<std::int64_t> started_ms = std::nullopt;
  /// Counts what the server has written or done; rises within one start.
  std::optional<std::int64_t> sequence = std::nullopt;
  /// Era of the store in which the entry was read.
  std::int64_t era = 0;
};

/// @brief A backend server as this host sees it.
struct Backend {
  /// Identifies one start of a server, from its launch to its end: the id, and
  /// the start time if known. All state about a server is stored under this
  /// key.
  std::string key;
  BackendEntry entry;
  std::string region;           ///< of its availability zone; empty: unknown
  std::int64_t warm_at_ms = 0;  ///< the server is cold until then; monotonic
  bool listed = true;
  bool leaving = false;           ///< gets no new requests
  bool reported_leaving = false;  ///< the server itself reported that it leaves
  bool started_again = false;     ///< removed because its id has a later start
  /// Its entry was removed and is back from an older copy of the store. It
  /// counts as leaving until the server shows that it lives.
  bool is_from_copy = false;
  /// Start time of the last entry that was ignored because it described an
  /// earlier start. Used to log each such start only once.
  std::optional<std::int64_t> ignored_start_ms;
  /// Monotonic time at which its entry was removed. Set only during the grace
  /// period that follows.
  std::optional<std::int64_t> vanished_ms;
  /// Whether its entry names a usable server. After the entry has been
  /// overwritten by an invalid one, the server gets no new requests and its
  /// runs go on.
  bool entry_valid = true;
  /// Monotonic time at which this host learned that an operator has emptied the
  /// server's availability zone. The server gets no new requests, and its runs
  /// go on.
  std::optional<std::int64_t> emptied_ms;
  /// A rollout has excluded its version. The server gets no requests at all.
  bool version_excluded = false;

  /// @brief Whether the server may get new requests.
  bool AcceptsNewRequests() const {
    return !this->leaving && this->entry_valid &&
           !this->emptied_ms.has_value() && !this->version_excluded;
  }

  /// @brief Whether a run whose KV cache the server holds may be continued
  /// there.
  bool MayContinueRuns(std::int64_t now_ms) const {
    return !this->version_excluded &&
           (!this->emptied_ms.has_value() ||
            now_ms - *this->emptied_ms < kEmptiedZoneGraceMs);
  }

  /// If a move into an availability zone was already in progress when this host
  /// learned that the zone is emptied, the move may still complete within this
  /// time.
  static constexpr std::int64_t kEmptiedZoneGraceMs = 1'000;
};

/// @brief Whether two start times belong to different starts of a server; false
/// if either of them is unknown.
bool AreDifferentStarts(std::optional<std::int64_t> one,
                        std::optional<std::int64_t> other);

/// @brief Kind of a change to a backend server.
enum class BackendChange { kAdded, kChanged, kLeaving, kGone };

/// @brief The backend servers that this host may send requests to.
///
/// A server whose entry was removed gets no new requests, but stays known until
/// its runs have ended. Entries that disappear shortly after a store outage may
/// have expired although their servers are live. Such servers count as live
/// until the end of the grace period set by EntryGracePeriod.
///
/// A server that starts again under its id counts as another server, since it
/// has lost all state. Its new entry removes the previous start together with
/// all state kept under that key, and only then adds the new one. An entry with
/// an earlier start is ignored while one with a later start is listed.
///
/// A server that has said that it leaves does so, whatever the entries of a
/// later era of the store say of the same start: they may come from an older
/// copy. A removed entry that comes back from such a copy counts as that of a
/// server that leaves until the server writes it, or until dead servers'
/// entries have expired.
class BackendList {
 public:
  using Listener = std::function<void(BackendChange, const Backend&)>;

  /// @param[in] clock,scheduler,grace outlive the list
  BackendList(const Clock& clock, Scheduler& scheduler,
              const EntryGracePeriod& grace)
      : clock(clock), scheduler(scheduler), grace(grace) {}
  BackendList(const BackendList&) = delete;
  BackendList& operator=(const BackendList&) = delete;

  /// @brief Registers a function that is called after each change of a server.
  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }

  /// @brief Sets the region of each availability zone; to be called before any
  /// entry is set.
  void SetRegions(const std::map<std::string, std::string>& by_zone);

  /// @brief Adds or updates a listed entry.
  void Set(const BackendEntry& entry);

  /// @brief Handles the removal of an entry.
  /// @return whether the server still counts as live, because its entry may
  /// merely have expired during a store outage
  bool Remove(std::string_view id);

  /// @brief Marks that the entry under this id no longer describes a usable
  /// server, until it is set or removed again.
  void MarkEntryInvalid(std::string_view id);

  /// @brief Handles a server's own word that it leaves, which precedes the
  /// change of its entry. It holds until that start of the server is gone, also
  /// if its entry is removed and listed again.
  /// @param[in] how it is known, for the log
  void NoteLeaving(std::string_view key,
                   std::string_view how = "its_own_report");

  /// @brief Called when an operator has emptied an availability zone or put it
  /// back into use.
  void SetZoneEmptied(std::string_view zone, bool is_emptied);

  /// @brief Sets the versions of a service whose servers get no requests, in
  /// place of those before.
  void SetExcludedVersions(std::string_view service,
                           std::span<const std::string> versions);

  /// @brief Number of availability zones that are emptied.
  std::size_t EmptiedZones() const { return this->emptied.size(); }

  /// @brief Whether the service has servers, but none can get new requests
  /// because their availability zones are all emptied.
  bool IsEmptied(std::string_view service) const;

  /// @brief Whether the service has a known server, usable now or not, in one
  /// of the given regions.
  bool HasServerInHomeRegions(std::string_view service,
                              const AllowedRegions& allowed_regions) const;

  /// @brief Whether any removed entry is still in its grace period.
  bool HasEntryInGrace() const;

  /// @brief Ends the grace periods that are over by now. To be called when new
  /// information about a store outage has arrived, as it may change their ends.
  void ReviewGracePeriods();

  /// @brief The server, null if it is unknown or has started again.
  const Backend* Find(std::string_view key) const;

  /// @brief Whether the server may get new requests.
  bool AcceptsNewRequests(std::string_view key) const;

  /// @brief The known server with an id, null if there is none. Only one start
  /// of each id is known at a time.
  const Backend* FindById(std::string_view id) const;

  /// @brief The server last known at an address, null if there is none.
  const Backend* FindByAddress(std::string_view address) const;

  /// @brief Servers of a service that may get new requests, in the order of
  /// their keys.
  std::vector<const Backend*> Usable(std::string_view service) const;

  /// @brief All known servers, in the order of their keys.
  std::vector<const Backend*> All() const;

  /// @brief Number of known servers.
  std::size_t Count() const { return this->backends.size(); }

 private:
  Backend* FindMutable(std::string_view id);
  bool IgnoresOlderStart(Backend* known, const BackendEntry& entry) const;
  void UpdateEntry(const std::string& key, const BackendEntry& entry,
                   Backend* backend);
  void ReplaceStart(const std::string& key, const BackendEntry& next);
  void ScheduleReview(std::int64_t delay_ms);
  void MarkLeaving(Backend* backend, std::string_view why);
  void RememberLeaving(std::string_view key);
  void ReviewCopyLater(const std::string& key);
  void ScheduleRemoval(const std::string& key);
  void NotifyListeners(BackendChange change, const Backend& backend);
  std::optional<std::int64_t> EmptiedSince(std::string_view zone) const;
  bool IsExcluded(const BackendEntry& entry) const;
  bool HasSaidLeaving(std::string_view key) const;

  const Clock& clock;
  Scheduler& scheduler;
  const EntryGracePeriod& grace;
  std::map<std::string, Backend, std::less<>> backends;  ///< by Backend::key
  /// Backend::key of the known start of each id, by id.
  std::map<std::string, std::string, std::less<>> keys;
  /// Region of each availability zone, by zone.
  std::map<std::string, std::string, std::less<>> regions;
  /// When this host learned that a zone is emptied; monotonic, by zone.
  std::map<std::string, std::int64_t, std::less<>> emptied;
  /// Versions whose servers get no requests, by service.
  std::map<std::string, std::vector<std::string>, std::less<>> excluded;
  /// Keys of servers that have said that they leave, latest last; bounded.
  std::deque<std::string> said_leaving;
  std::vector<Listener> listeners;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_BACKEND_LIST_H_
