#ifndef MEADOWTHREAD_SERVE_HOST_ENTRIES_H_
#define MEADOWTHREAD_SERVE_HOST_ENTRIES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "configuration/replicated_view.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief How other entry hosts reach one.
struct EntryHost {
  std::string name;
  std::string address;  ///< an IP number
  int control_port = 0;
  int loads_port = 0;
  std::string zone;
  std::string region;

  friend bool operator==(const EntryHost&, const EntryHost&) = default;
};

/// @brief An entry as it lies in the store (JSON).
std::string EncodeEntryHost(const EntryHost& host);

/// @brief Reads an entry; an error names the field at fault.
absl::StatusOr<EntryHost> DecodeEntryHost(std::string_view name,
                                          std::string_view text);

/// @brief Keeps this host's entry in the store, and knows the others'.
///
/// Entries serve speed only: with them wrong or missing, hosts know less of
/// each other and nothing else.
class HostEntries {
 public:
  using Listener = std::function<void(const std::vector<EntryHost>&)>;
  /// Told of each entry that changed: whether it names a host, or why not.
  using ReadingListener =
      std::function<void(const StoredObject&, const absl::Status&)>;

  /// @param[in] kind of the entries
  /// @param[in] store,view,scheduler outlive this
  HostEntries(std::string_view kind, EntryHost self, ObjectStore& store,
              ReplicatedView& view, Scheduler& scheduler);
  HostEntries(const HostEntries&) = delete;
  HostEntries& operator=(const HostEntries&) = delete;

  void SetListener(const Listener& told) { this->listener = told; }
  void OnRead(const ReadingListener& told) { this->read_listener = told; }

  /// @brief Writes this host's entry, until it lies there.
  void Announce();

  /// @brief Removes the entry of a host that is gone. Should that host live
  /// after all, it writes its entry anew.
  void Remove(std::string_view host);

 private:
  void Write(std::int64_t expected_version);
  void ReadBack();
  void AnnounceLater();
  void TellAll() const;
  void TakeChange(const StoredObject& object);
  void StandAgain(const StoredObject& object, bool is_readable);

  std::string kind;
  EntryHost self;
  ObjectStore& store;
  ReplicatedView& view;
  Scheduler& scheduler;
  Listener listener;
  ReadingListener read_listener;
  std::int64_t version = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_HOST_ENTRIES_H_
