#ifndef MEADOWTHREAD_RELAY_BACKEND_LIST_H_
#define MEADOWTHREAD_RELAY_BACKEND_LIST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"

namespace meadowthread {

/// @brief What the platform says of one backend server.
struct BackendEntry {
  std::string id;  ///< of this life of it: a new one with each start
  std::string service;
  std::string address;  ///< IP:PORT
  std::string zone;
  bool leaving = false;
  std::int64_t slow_for_ms = 0;  ///< after this entry was read
  std::vector<std::string> models;
};

/// @brief A backend server as this host sees it.
struct Backend {
  BackendEntry entry;
  std::int64_t warm_at_ms = 0;  ///< monotonic
  bool listed = true;
  bool leaving = false;  ///< gets nothing new
  bool said_so = false;  ///< told of leaving by itself, not by its entry
  /// Its entry names it; where another writer's stands in its place, it gets
  /// nothing new, and what runs there goes on.
  bool named = true;

  /// @brief Whether it may get something new.
  bool TakesNew() const { return !this->leaving && this->named; }
};

/// @brief What a change was about.
enum class BackendChange { kAdded, kChanged, kLeaving, kGone };

/// @brief The backend servers that this host may send to.
///
/// A server whose entry vanished gets nothing new, but is known until what
/// runs there has ended. Entries that vanish just after the store was away may
/// have lapsed: they count for a short while, in which a living server comes
/// back.
class BackendList {
 public:
  using Listener = std::function<void(BackendChange, const Backend&)>;

  /// @param[in] clock,scheduler outlive the list
  BackendList(const Clock& clock, Scheduler& scheduler)
      : clock(clock), scheduler(scheduler) {}
  BackendList(const BackendList&) = delete;
  BackendList& operator=(const BackendList&) = delete;

  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }

  /// @brief Takes an entry that is listed.
  void Set(const BackendEntry& entry);

  /// @brief Takes that an entry is listed no more.
  void Remove(std::string_view id);

  /// @brief Takes that what stands under this name names no server to use,
  /// until it is set or removed again.
  void SetAside(std::string_view id);

  /// @brief The server itself says that it leaves, and its entry does not yet.
  void NoteLeaving(std::string_view id);

  /// @brief The store answers again after it had been away.
  void NoteStoreBack();

  /// @brief The server, null where it is not known.
  const Backend* Find(std::string_view id) const;

  /// @brief The server last known at an address, null where there is none.
  const Backend* FindAddress(std::string_view address) const;

  /// @brief Servers of a service that may get something new, by id.
  std::vector<const Backend*> Usable(std::string_view service) const;

  /// @brief Every server that is known, by id.
  std::vector<const Backend*> All() const;

  /// @brief Servers that are known.
  std::size_t Count() const { return this->backends.size(); }

 private:
  void Leave(Backend* backend, std::string_view why);
  void ForgetLater(const std::string& id);
  void Tell(BackendChange change, const Backend& backend);

  const Clock& clock;
  Scheduler& scheduler;
  std::map<std::string, Backend, std::less<>> backends;
  std::vector<Listener> listeners;
  std::int64_t store_back_ms = -1;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_BACKEND_LIST_H_
