#ifndef MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_TABLE_H_
#define MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace meadowthread::standins {

/// @brief Kind and name that identify an object.
struct ObjectKey {
  std::string kind;
  std::string name;

  friend bool operator<(const ObjectKey& a, const ObjectKey& b) {
    return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
  }
};

/// @brief One version of an object.
struct ObjectVersion {
  std::int64_t version = 0;  ///< revision of the store after the write
  std::int64_t written_ms = 0;
  std::string value;
  bool deleted = false;  ///< a tombstone
};

/// @brief An object in a listing.
struct ListedObject {
  ObjectKey key;
  ObjectVersion version;
};

/// @brief The objects of a kind that changed after a revision.
struct ObjectListing {
  std::int64_t revision = 0;  ///< revision of the listed state
  std::vector<ListedObject> items;
};

/// @brief Precondition of a write: the object is absent or has a given version.
enum class ConditionKind { kAbsent, kVersion };
struct Condition {
  ConditionKind kind = ConditionKind::kAbsent;
  std::int64_t version = 0;  ///< for kVersion
};

/// @brief A conditional write.
struct ObjectWrite {
  ObjectKey key;
  std::string value;
  Condition condition;
  bool removes = false;
};

/// @brief Versioned objects with their history; does no I/O, time is an
/// argument.
class ObjectTable {
 public:
  /// @param[in] history_revisions number of revisions back from which changes
  /// can be listed
  explicit ObjectTable(std::int64_t history_revisions)
      : history_revisions(history_revisions) {}

  /// @brief Applies a write if its condition holds.
  /// @return the new version; none if the condition fails
  std::optional<std::int64_t> Apply(const ObjectWrite& write,
                                    std::int64_t now_ms);

  /// @brief An object's version at a time; none if absent or deleted.
  std::optional<ObjectVersion> Get(const ObjectKey& key,
                                   std::int64_t as_of_ms) const;

  /// @brief Objects changed after revision `since`, as of a time; includes
  /// tombstones unless `since` is 0.
  /// @complexity the objects changed since; all of the kind if `since` is 0 or
  /// the time is before the last write
  ObjectListing List(std::string_view kind, std::int64_t since,
                     std::int64_t as_of_ms) const;

  /// @brief Whether the history since `since` is no longer available.
  bool IsTooOld(std::int64_t since) const;

  /// @brief Compacts the history: every earlier revision becomes too old.
  void Compact() { this->compacted_revision = this->revision; }

  std::int64_t Revision() const { return this->revision; }

 private:
  using History = std::vector<ObjectVersion>;

  /// @brief Object names of a kind, by the revision of their newest version.
  using NamesByRevision = std::map<std::int64_t, std::string>;

  void ListByScan(std::string_view kind, std::int64_t since,
                  std::int64_t as_of_ms, ObjectListing* listing) const;
  void ListByRevision(std::string_view kind, std::int64_t since,
                      ObjectListing* listing) const;
  static const ObjectVersion* VersionAt(const History& history,
                                        std::int64_t as_of_ms);
  std::int64_t RevisionAt(std::int64_t as_of_ms) const;
  static void Prune(History* history, std::int64_t now_ms);

  std::map<ObjectKey, History> objects;
  std::map<std::string, NamesByRevision, std::less<>> newest;  ///< by kind
  std::vector<std::int64_t> write_times_ms;  ///< [i]: time of revision i + 1
  std::int64_t history_revisions;
  std::int64_t compacted_revision = 0;
  std::int64_t revision = 0;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_TABLE_H_
