#ifndef MEADOWTHREAD_STORE_MEMORY_STORE_H_
#define MEADOWTHREAD_STORE_MEMORY_STORE_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/object_store.h"

namespace meadowthread {

/// @brief What the next write meets.
enum class WriteFault {
  kNone,
  kAnswerLost,   ///< takes effect; the answer is kStoreUnknown
  kRequestLost,  ///< never takes effect; the answer is kStoreUnknown
  kDelayed,      ///< answered kStoreUnknown; takes effect on ReleaseDelayed
};

/// @brief A small in-memory object store for tests, with faults on request.
///
/// Answers are queued and given by Settle, so that a test decides when.
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
  /// @brief As List: a test calls again instead of waiting.
  void Watch(std::string_view kind, std::int64_t since, std::int64_t wait_ms,
             const ListDone& done) override;

  /// @brief Gives queued answers, and those they lead to, until none is left.
  void Settle();

  /// @brief Gives the oldest queued answer only.
  /// @return whether there was one
  bool Step();

  /// @brief The faults that the coming writes meet, one each, in order.
  void FailWrites(const std::vector<WriteFault>& faults);

  /// @brief Applies the delayed writes whose condition still holds.
  void ReleaseDelayed();

  /// @brief While down, every call is answered kStoreUnavailable.
  void SetDown(bool is_down) { this->down = is_down; }

  std::int64_t Revision() const { return this->revision; }
  int WriteCalls() const { return this->write_calls; }
  int ReadCalls() const { return this->read_calls; }

 private:
  struct Key {
    std::string kind;
    std::string name;
    // The linter takes the defaulted comparison for a null pointer's.
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
  std::deque<std::function<void()>> answers;
  std::deque<WriteFault> faults;
  std::vector<Write> delayed;
  std::int64_t revision = 0;
  int write_calls = 0;
  int read_calls = 0;
  bool down = false;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_MEMORY_STORE_H_
