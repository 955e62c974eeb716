#ifndef MEADOWTHREAD_STANDINS_ENGINE_MODEL_LOADER_H_
#define MEADOWTHREAD_STANDINS_ENGINE_MODEL_LOADER_H_

#include <QNetworkAccessManager>
#include <QObject>
#include <functional>
#include <string>

#include "engine/generation.h"

namespace meadowthread::standins {

/// @brief Loads models from the weight store; retries after a refusal.
class ModelLoader final : public QObject {
 public:
  using OnReady = std::function<void(const ModelRef&)>;
  using IsDesired = std::function<bool(const ModelRef&)>;

  /// @param[in] weights_url the weight store; empty: models load at once
  ModelLoader(std::string weights_url, std::string engine, IsDesired is_desired,
              OnReady on_ready);

  /// @brief Loads a model and then calls `on_ready`; from within this call only
  /// if there is no weight store.
  void Load(const ModelRef& model);

 private:
  void RequestLoad(const ModelRef& model);
  void OnResponse(const ModelRef& model, QNetworkReply* reply);

  std::string weights_url;
  std::string engine;
  IsDesired is_desired;
  OnReady on_ready;
  QNetworkAccessManager network;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_MODEL_LOADER_H_
