#ifndef MEADOWTHREAD_PLACEMENT_DOCUMENT_FIELDS_H_
#define MEADOWTHREAD_PLACEMENT_DOCUMENT_FIELDS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "nlohmann/json.hpp"

namespace meadowthread::detail {

/// @brief An error for a field whose value makes no sense.
absl::Status BadField(std::string_view step, std::string_view field,
                      std::string_view why);

/// @brief Reads fields one after the other; keeps the first error only.
class FieldReader {
 public:
  /// @param[in] from an object that outlives the reader
  FieldReader(const nlohmann::json& from, std::string_view at_step)
      : object(from), step(at_step) {}

  /// @brief A string field that must be there.
  std::string String(std::string_view field);

  /// @brief An integer field that must lie in [low, high].
  std::int64_t Int(std::string_view field, std::int64_t low, std::int64_t high);

  /// @brief Notes an error of the caller's own.
  void Fail(std::string_view field, std::string_view why);

  /// @brief OK, or the first error met.
  const absl::Status& Status() const { return this->status; }

 private:
  const nlohmann::json& object;
  std::string step;
  absl::Status status;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_PLACEMENT_DOCUMENT_FIELDS_H_
