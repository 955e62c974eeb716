#ifndef MEADOWTHREAD_BASE_SERVED_MODEL_H_
#define MEADOWTHREAD_BASE_SERVED_MODEL_H_

#include <compare>
#include <string>

namespace meadowthread {

/// @brief A model with its adapter and version, as loaded by an engine.
struct ServedModel {
  std::string model;
  std::string adapter;  ///< empty: the model without an adapter
  std::string version;

  // clang-tidy 14 mistakes the literal 0 in the defaulted comparison for a null
  // pointer.
  friend auto operator<=>(  // NOLINTNEXTLINE(modernize-use-nullptr)
      const ServedModel&, const ServedModel&) = default;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_SERVED_MODEL_H_
