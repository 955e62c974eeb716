#ifndef MEADOWTHREAD_SERVE_ENTRY_HOST_REGISTRY_H_
#define MEADOWTHREAD_SERVE_ENTRY_HOST_REGISTRY_H_

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

/// @brief An entry host's entry in the store: how others reach it.
struct EntryHost {
  std::string name;
  std::string address;  ///< an IP address
  int control_port = 0;
  int loads_port = 0;  ///< UDP
  std::string zone;
  std::string region;
  int forward_port = 0;          ///< TCP: takes orders of other hosts; 0: none
  std::string forward_key = {};  ///< secret that such orders carry

  friend bool operator==(const EntryHost&, const EntryHost&) = default;
};

/// @brief Encodes an entry as the JSON that is stored.
std::string EncodeEntryHost(const EntryHost& host);

/// @brief Decodes an entry; an error names the invalid field.
absl::StatusOr<EntryHost> DecodeEntryHost(std::string_view name,
                                          std::string_view text);

/// @brief Registers this host in the store and tracks the entries of the other
/// entry hosts.
///
/// Entries only improve performance: if they are wrong or missing, hosts know
/// less of each other, and nothing else breaks.
class EntryHostRegistry {
 public:
  using Listener = std::function<void(const std::vector<EntryHost>&)>;
  /// Called for each entry that changed, with the result of decoding it.
  using EntryReadListener =
      std::function<void(const StoredObject&, const absl::Status&)>;

  /// @param[in] kind object kind of the entries
  /// @param[in] self this host's entry
  /// @param[in] store,view,scheduler outlive this
  EntryHostRegistry(std::string_view kind, EntryHost self, ObjectStore& store,
                    ReplicatedView& view, Scheduler& scheduler);
  EntryHostRegistry(const EntryHostRegistry&) = delete;
  EntryHostRegistry& operator=(const EntryHostRegistry&) = delete;

  /// @brief Sets the listener that gets all valid entries at each change.
  void SetListener(const Listener& callback) { this->listener = callback; }
  void OnRead(const EntryReadListener& callback) {
    this->read_listener = callback;
  }

  /// @brief Sets the function that is called when this host takes over the key
  /// of its previous process.
  void OnKeyTaken(const std::function<void(const std::string& key)>& callback) {
    this->key_listener = callback;
  }

  /// @brief Writes this host's entry, with retries until it is stored.
  void Announce();

  /// @brief Checks this host's entry in the store after a delay, and writes it
  /// again if it is not there: the store has come back from an older copy.
  /// @param[in] delay_ms differs between hosts, so that they do not write all
  /// at once
  void CheckAfter(std::int64_t delay_ms);

  /// @brief Removes the entry of a dead host. If that host is live after all,
  /// it writes its entry again.
  void Remove(std::string_view host);

 private:
  void Write(std::int64_t expected_version);
  void ReadBack();
  bool TakeKeyOf(const EntryHost& stands);
  void AnnounceLater();
  void NotifyListener() const;
  void OnChange(const StoredObject& object);
  void RestoreOwnEntry(const StoredObject& object, bool is_readable);

  std::string kind;
  EntryHost self;
  ObjectStore& store;
  ReplicatedView& view;
  Scheduler& scheduler;
  Listener listener;
  EntryReadListener read_listener;
  std::function<void(const std::string& key)> key_listener;
  std::int64_t version = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_ENTRY_HOST_REGISTRY_H_
