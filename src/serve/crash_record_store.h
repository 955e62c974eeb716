#ifndef MEADOWTHREAD_SERVE_CRASH_RECORD_STORE_H_
#define MEADOWTHREAD_SERVE_CRASH_RECORD_STORE_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "configuration/replicated_view.h"
#include "quarantine/quarantine.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief Which crash records a host writes to the store.
enum class StoredRecords {
  /// All records with crashes, as other hosts get them only from the store.
  kSuspects,
  /// Only records that were quarantined at least once; gossip sends the others.
  kQuarantined
};

/// @brief Writes the quarantine's crash records to the store, so that they
/// survive the restart of all hosts, and applies the records found there.
class CrashRecordStore {
 public:
  /// @param[in] kind object kind of the records; each object is named after its
  /// record's content key
  /// @param[in] which the records that are written
  /// @param[in] quarantine,store,view,clock,scheduler outlive this
  CrashRecordStore(std::string_view kind, StoredRecords which,
                   Quarantine& quarantine, ObjectStore& store,
                   ReplicatedView& view, const Clock& clock,
                   Scheduler& scheduler, std::uint64_t seed);
  CrashRecordStore(const CrashRecordStore&) = delete;
  CrashRecordStore& operator=(const CrashRecordStore&) = delete;

  /// @brief Starts to write records and to remove expired ones.
  void Start();

  /// @brief Writes the records that the store lacks, each after a random delay:
  /// the store has come back from an older copy.
  void WriteMissing();

 private:
  void ApplyObject(const StoredObject& object);
  void OnRecordChanged(const CrashRecord& record, bool is_own);
  bool ShouldBeStored(const CrashRecord& record) const;
  bool DiffersFromStored(const CrashRecord& record) const;
  void WriteNextDue();
  void Write(const CrashRecordId& id);
  void OnWritten(const CrashRecordId& id,
                 const absl::StatusOr<std::int64_t>& written,
                 const StoredObject& object);
  void ReadBack(const CrashRecordId& id);
  void RemoveExpired();

  std::string kind;
  StoredRecords which;
  Quarantine& quarantine;
  ObjectStore& store;
  ReplicatedView& view;
  const Clock& clock;
  Scheduler& scheduler;
  std::mt19937_64 random;
  std::map<CrashRecordId, std::int64_t> due;  ///< next write, monotonic
  bool applying_stored = false;  ///< the current change came from the store
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_CRASH_RECORD_STORE_H_
