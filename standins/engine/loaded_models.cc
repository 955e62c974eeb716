#include "engine/loaded_models.h"

#include <algorithm>

namespace meadowthread::standins {
namespace {

bool Contains(const std::vector<ModelRef>& models, const ModelRef& model) {
  return std::find(models.begin(), models.end(), model) != models.end();
}

}  // namespace

std::vector<ModelRef> LoadedModels::SetDesired(
    const std::vector<ModelRef>& desired) {
  const auto unwanted = [&desired](const ModelRef& model) {
    return !Contains(desired, model);
  };
  std::erase_if(this->loaded, unwanted);
  std::erase_if(this->loading, unwanted);
  std::vector<ModelRef> begun;
  for (const ModelRef& model : desired) {
    if (!Contains(this->loaded, model) && !Contains(this->loading, model)) {
      this->loading.push_back(model);
      begun.push_back(model);
    }
  }
  return begun;
}

void LoadedModels::MarkReady(const ModelRef& model) {
  if (std::erase(this->loading, model) > 0) {
    this->loaded.push_back(model);
  }
}

bool LoadedModels::IsLoading(const ModelRef& model) const {
  return Contains(this->loading, model);
}

bool LoadedModels::Has(const ModelRef& model) const {
  return std::any_of(
      this->loaded.begin(), this->loaded.end(), [&model](const ModelRef& one) {
        return one.model == model.model && one.adapter == model.adapter &&
               (model.version.empty() || one.version == model.version);
      });
}

}  // namespace meadowthread::standins
