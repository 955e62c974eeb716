#ifndef MEADOWTHREAD_RELAY_BACKEND_LIST_H_
#define MEADOWTHREAD_RELAY_BACKEND_LIST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "policy/home_regions.h"
#include "relay/entry_lapse.h"

namespace meadowthread {

/// @brief What the platform says of one backend server.
struct BackendEntry {
  std::string id;  ///< the same after a new start
  std::string service;
  std::string address;  ///< IP:PORT
  std::string zone;
  bool leaving = false;
  std::int64_t slow_for_ms = 0;  ///< after this entry was read
  std::vector<std::string> models;
  /// Its start by its own clock, where it tells it; Unix ms. Only compared with
  /// other starts of the same id.
  std::optional<std::int64_t> started_ms = std::nullopt;
};

/// @brief A backend server as this host sees it.
struct Backend {
  /// Names one start of a server, and nothing else ever: its id, and its start
  /// where that is known. All that is kept by server is kept by it.
  std::string key;
  BackendEntry entry;
  std::string region;           ///< of its zone; empty: not known
  std::int64_t warm_at_ms = 0;  ///< monotonic
  bool listed = true;
  bool leaving = false;        ///< gets nothing new
  bool said_so = false;        ///< told of leaving by itself, not by its entry
  bool started_again = false;  ///< gone, as its id has a newer start now
  std::optional<std::int64_t> passed_over_ms;  ///< an older start, logged
  /// When its entry went, where it may be listed anew; monotonic.
  std::optional<std::int64_t> vanished_ms;
  /// Its entry names it; where another writer's stands in its place, it gets
  /// nothing new, and what runs there goes on.
  bool named = true;
  /// Since when this host knows that its availability zone is emptied; nothing
  /// new goes there, and what runs there goes on. Monotonic.
  std::optional<std::int64_t> emptied_ms;

  /// @brief Whether it may get something new.
  bool TakesNew() const {
    return !this->leaving && this->named && !this->emptied_ms.has_value();
  }

  /// @brief Whether a run whose memory it holds may still go on there.
  bool MayGoOn(std::int64_t now_ms) const {
    return !this->emptied_ms.has_value() ||
           now_ms - *this->emptied_ms < kGoesOnMs;
  }

  /// A move into a zone that was under way when the word of its emptying came
  /// may end there for so long.
  static constexpr std::int64_t kGoesOnMs = 1'000;
};

/// @brief Whether two starts that were told are two lives of an id; one that
/// nobody told is compared with nothing.
bool AreOtherStarts(std::optional<std::int64_t> one,
                    std::optional<std::int64_t> other);

/// @brief What a change was about.
enum class BackendChange { kAdded, kChanged, kLeaving, kGone };

/// @brief The backend servers that this host may send to.
///
/// A server whose entry vanished gets nothing new, but is known until what
/// runs there has ended. Entries that vanish just after the store was away may
/// have lapsed: they count until EntryLapse says that a living server would
/// have come back.
///
/// A server that starts again under its id is another one: it holds and knows
/// nothing of before. Its entry makes the start before gone, at once and with
/// all that is kept by it, and is added after that. An entry of an older start
/// is passed over while the newer one's is listed.
class BackendList {
 public:
  using Listener = std::function<void(BackendChange, const Backend&)>;

  /// @param[in] clock,scheduler,lapse outlive the list
  BackendList(const Clock& clock, Scheduler& scheduler, const EntryLapse& lapse)
      : clock(clock), scheduler(scheduler), lapse(lapse) {}
  BackendList(const BackendList&) = delete;
  BackendList& operator=(const BackendList&) = delete;

  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }

  /// @brief Takes which region each availability zone is in, before any entry.
  void SetRegions(const std::map<std::string, std::string>& by_zone);

  /// @brief Takes an entry that is listed.
  void Set(const BackendEntry& entry);

  /// @brief Takes that an entry is listed no more.
  /// @return whether it counts as lapsed for now: the server may live
  bool Remove(std::string_view id);

  /// @brief Takes that what stands under this name names no server to use,
  /// until it is set or removed again.
  void SetAside(std::string_view id);

  /// @brief The server itself says that it leaves, and its entry does not yet.
  void NoteLeaving(std::string_view key);

  /// @brief Takes that an availability zone is emptied, or taken back.
  void SetZoneEmptied(std::string_view zone, bool is_emptied);

  /// @brief Availability zones that are emptied.
  std::size_t EmptiedZones() const { return this->emptied.size(); }

  /// @brief Whether the service has servers, and only the emptying of their
  /// zones keeps all of them from getting something new.
  bool IsEmptied(std::string_view service) const;

  /// @brief Whether the service has a server that a request with these homes
  /// might run on at some time.
  bool HasHome(std::string_view service, const HomeRegions& homes) const;

  /// @brief Whether an entry that vanished may still have lapsed.
  bool HasLapsed() const;

  /// @brief Servers that would have been listed anew by now have left: to be
  /// called where more is known of the store's absence.
  void ReviewLapsed();

  /// @brief The server, null where it is not known or has started again.
  const Backend* Find(std::string_view key) const;

  /// @brief Whether the server may get something new.
  bool TakesNew(std::string_view key) const;

  /// @brief The one start of an id that is known, null where there is none.
  const Backend* FindById(std::string_view id) const;

  /// @brief The server last known at an address, null where there is none.
  const Backend* FindAddress(std::string_view address) const;

  /// @brief Servers of a service that may get something new, by key.
  std::vector<const Backend*> Usable(std::string_view service) const;

  /// @brief Every server that is known, by key.
  std::vector<const Backend*> All() const;

  /// @brief Servers that are known.
  std::size_t Count() const { return this->backends.size(); }

 private:
  Backend* FindToChange(std::string_view id);
  bool PassesOver(Backend* known, const BackendEntry& entry) const;
  void EndStart(const std::string& key, const BackendEntry& next);
  void ReviewLater(std::int64_t delay_ms);
  void Leave(Backend* backend, std::string_view why);
  void ForgetLater(const std::string& key);
  void Tell(BackendChange change, const Backend& backend);
  std::optional<std::int64_t> EmptiedSince(std::string_view zone) const;

  const Clock& clock;
  Scheduler& scheduler;
  const EntryLapse& lapse;
  std::map<std::string, Backend, std::less<>> backends;  ///< by key
  /// The key of each id's one start that is known.
  std::map<std::string, std::string, std::less<>> keys;
  std::map<std::string, std::string, std::less<>> regions;  ///< by zone
  /// Since when each is, as far as this host knows; monotonic, by zone.
  std::map<std::string, std::int64_t, std::less<>> emptied;
  std::vector<Listener> listeners;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_BACKEND_LIST_H_
