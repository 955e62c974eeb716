#ifndef MEADOWTHREAD_STANDINS_ENGINE_LOADED_MODELS_H_
#define MEADOWTHREAD_STANDINS_ENGINE_LOADED_MODELS_H_

#include <vector>

#include "engine/generation.h"

namespace meadowthread::standins {

/// @brief Which models an engine has and which are on their way; pure.
class LoadedModels {
 public:
  /// @brief Loads at once.
  void Add(const ModelRef& model) { this->loaded.push_back(model); }

  /// @brief Sets what is wanted; what isn't any more is unloaded at once.
  /// @return the models whose loading begins now
  std::vector<ModelRef> SetDesired(const std::vector<ModelRef>& desired);

  /// @brief A model has come; ignored where it is no longer wanted.
  void MarkReady(const ModelRef& model);

  /// @brief Whether a model is on its way and still wanted.
  bool IsLoading(const ModelRef& model) const;

  /// @brief Whether a model is there; an empty version stands for any.
  bool Has(const ModelRef& model) const;

  const std::vector<ModelRef>& Loaded() const { return this->loaded; }

 private:
  std::vector<ModelRef> loaded;
  std::vector<ModelRef> loading;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_LOADED_MODELS_H_
