#ifndef MEADOWTHREAD_STANDINS_ENGINE_LOADED_MODELS_H_
#define MEADOWTHREAD_STANDINS_ENGINE_LOADED_MODELS_H_

#include <vector>

#include "engine/generation.h"

namespace meadowthread::standins {

/// @brief Models that an engine has loaded or is loading; does no I/O.
class LoadedModels {
 public:
  /// @brief Adds a model as loaded.
  void Add(const ModelRef& model) { this->loaded.push_back(model); }

  /// @brief Sets the desired models; all others are unloaded at once.
  /// @return the models to start loading
  std::vector<ModelRef> SetDesired(const std::vector<ModelRef>& desired);

  /// @brief Marks a model as loaded; ignored if it is no longer desired.
  void MarkReady(const ModelRef& model);

  /// @brief Whether a model is being loaded and still desired.
  bool IsLoading(const ModelRef& model) const;

  /// @brief Whether a model is loaded; an empty version matches any.
  bool Has(const ModelRef& model) const;

  const std::vector<ModelRef>& Loaded() const { return this->loaded; }

 private:
  std::vector<ModelRef> loaded;
  std::vector<ModelRef> loading;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_LOADED_MODELS_H_
