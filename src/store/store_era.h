#ifndef MEADOWTHREAD_STORE_STORE_ERA_H_
#define MEADOWTHREAD_STORE_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief The era that the object store is in, as its answers tell.
///
/// All clients of one store share it.
class StoreEra {
 public:
  using Listener = std::function<void()>;

  StoreEra() = default;
  StoreEra(const StoreEra&) = delete;
  StoreEra& operator=(const StoreEra&) = delete;

  /// @brief Registers a function that is called when an answer is the first to
  /// name a later era than the ones before.
  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }

  /// @brief Reads the era that an answer names.
  /// @param[in] named the decimal number; empty: the answer names none
  /// @param[in] step,peer of the call, for errors
  /// @return the answer's era: the known one if it names none.
  /// kStoreMalformed if it is not a number within bounds; kStoreUnavailable if
  /// the answer comes from an era that is over
  absl::StatusOr<std::int64_t> Read(std::string_view named,
                                    std::string_view step,
                                    std::string_view peer);

  /// @brief The latest era that an answer has named; 0 if none has.
  std::int64_t Known() const { return this->known; }

 private:
  void Begin(std::int64_t era, std::string_view peer);

  std::int64_t known = 0;
  bool has_answer = false;
  std::vector<Listener> listeners;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_STORE_ERA_H_
