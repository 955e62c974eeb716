#ifndef MEADOWTHREAD_STORE_MEMORY_STORE_H_
#define MEADOWTHREAD_STORE_MEMORY_STORE_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/object_store.h"

namespace meadowthread {

/// @brief Fault injected into a write.
enum class WriteFault {
  kNone,
  kAnswerLost,   ///< takes effect, but returns kStoreUnknown
  kRequestLost,  ///< does not take effect and returns kStoreUnknown
  kDelayed,      ///< returns kStoreUnknown; applied by ReleaseDelayed
};

/// @brief An in-memory object store for tests, with fault injection.
///
/// Results are queued until Settle or Step delivers them, so that a test
/// controls when callbacks run.
class MemoryStore final : public ObjectStore {
 public:
  void Get(std::string_view kind, std::string_view name,
           const GetDone& done) override;
  void Put(std::string_view kind, std::string_view name, std::string_view value,
           std::int64_t expected_version, const PutDone& done) override;
  void Delete(std::string_view kind, std::string_view name,
              std::int64_t expected_version, const PutDone& done) override;
  void List(std::string_view kind, std::int64_t since,
            const ListDone& done) override;
  /// @brief Same as List: it does not wait for a change.
  void Watch(std::string_view kind, std::int64_t since, std::int64_t wait_ms,
             const ListDone& done) override;

  /// @brief Delivers queued results, and those that their callbacks add, until
  /// none is left.
  void Settle();

  /// @brief Delivers only the oldest queued result.
  /// @return whether there was one
  bool Step();

  /// @brief Injects one fault into each of the next writes, in order.
  void FailWrites(const std::vector<WriteFault>& faults);

  /// @brief Applies the delayed writes whose expected version still matches.
  void ReleaseDelayed();

  /// @brief While down, every call returns kStoreUnavailable.
  void SetDown(bool is_down) { this->down = is_down; }

  std::int64_t Revision() const { return this->revision; }
  int WriteCalls() const { return this->write_calls; }
  int ReadCalls() const { return this->read_calls; }

 private:
  struct Key {
    std::string kind;
    std::string name;
    // False positive of clang-tidy on the defaulted comparison.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Key&) const = default;
  };
  struct Write {
    Key key;
    std::string value;
    std::int64_t expected_version = 0;
    bool removes = false;
  };

  void Submit(const Write& write, const PutDone& done);
  absl::StatusOr<std::int64_t> Apply(const Write& write);
  WriteFault NextFault();

  std::map<Key, StoredObject> objects;
  std::deque<std::function<void()>> pending_results;
  std::deque<WriteFault> faults;
  std::vector<Write> delayed;
  std::int64_t revision = 0;
  int write_calls = 0;
  int read_calls = 0;
  bool down = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_MEMORY_STORE_H_
