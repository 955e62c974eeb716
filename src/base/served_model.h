#ifndef MEADOWTHREAD_BASE_SERVED_MODEL_H_
#define MEADOWTHREAD_BASE_SERVED_MODEL_H_

#include <compare>
#include <string>

namespace meadowthread {

/// @brief A model with its adapter and version, as engines have it loaded.
struct ServedModel {
  std::string model;
  std::string adapter;  ///< empty: the bare model
  std::string version;

  friend auto operator<=>(const ServedModel&, const ServedModel&) = default;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_SERVED_MODEL_H_
