#ifndef MEADOWTHREAD_SERVE_QUARANTINE_ENTRIES_H_
#define MEADOWTHREAD_SERVE_QUARANTINE_ENTRIES_H_

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

/// @brief Which records a host writes to the store.
enum class StoredRecords {
  kSuspects,    ///< all of them: nothing else tells other hosts
  kQuarantined  ///< those that were in quarantine: hosts tell the others
};

/// @brief Keeps records of the quarantine in the store, so that they outlast
/// every host, and takes those that lie there.
class QuarantineEntries {
 public:
  /// @param[in] kind of the records' objects, each named by its content
  /// @param[in] quarantine,store,view,clock,scheduler outlive this
  QuarantineEntries(std::string_view kind, StoredRecords which,
                    Quarantine& quarantine, ObjectStore& store,
                    ReplicatedView& view, const Clock& clock,
                    Scheduler& scheduler, std::uint64_t seed);
  QuarantineEntries(const QuarantineEntries&) = delete;
  QuarantineEntries& operator=(const QuarantineEntries&) = delete;

  /// @brief Begins to write and to remove.
  void Start();

 private:
  void TakeObject(const StoredObject& object);
  void TakeChange(const CrashRecord& record, bool is_own);
  bool IsToLie(const CrashRecord& record) const;
  bool HasNews(const CrashRecord& record) const;
  void Step();
  void Write(const CrashRecordId& id);
  void TakeWritten(const CrashRecordId& id,
                   const absl::StatusOr<std::int64_t>& written,
                   const StoredObject& object);
  void ReadBack(const CrashRecordId& id);
  void RemoveOld();

  std::string kind;
  StoredRecords which;
  Quarantine& quarantine;
  ObjectStore& store;
  ReplicatedView& view;
  const Clock& clock;
  Scheduler& scheduler;
  std::mt19937_64 random;
  std::map<CrashRecordId, std::int64_t> due;  ///< monotonic: to be written then
  bool taking = false;  ///< what changes now came from the store
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_QUARANTINE_ENTRIES_H_
