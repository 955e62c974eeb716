#ifndef MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_RECORD_H_
#define MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"
#include "objects/object_table.h"

namespace meadowthread::standins {

/// @brief Number of calls received, by kind and by error.
struct CallCounts {
  std::int64_t get = 0;
  std::int64_t put = 0;
  std::int64_t remove = 0;
  std::int64_t list = 0;
  std::int64_t watch = 0;
  std::int64_t limited = 0;      ///< answered 429
  std::int64_t unavailable = 0;  ///< answered 503
  std::int64_t conflicts = 0;    ///< answered 412
};

/// @brief A write that was applied.
struct AppliedWrite {
  ObjectKey key;
  std::int64_t version = 0;
  std::int64_t unix_ms = 0;
  bool deleted = false;
  std::string value;
};

/// @brief Calls and applied writes of the object API, for tests to check.
class ObjectRecord {
 public:
  CallCounts calls;

  /// @brief Records a write that was applied.
  void Add(const ObjectWrite& write, std::int64_t version, std::int64_t now_ms);

  /// @brief The record as JSON.
  /// @param[in] kind if not empty, only writes of this kind, with their values
  nlohmann::json ToJson(std::string_view kind) const;

 private:
  std::vector<AppliedWrite> writes;
  std::size_t value_bytes = 0;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_RECORD_H_
