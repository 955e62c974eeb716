#ifndef MEADOWTHREAD_STANDINS_ENGINE_MODEL_LOADER_H_
#define MEADOWTHREAD_STANDINS_ENGINE_MODEL_LOADER_H_

#include <QNetworkAccessManager>
#include <QObject>
#include <functional>
#include <string>

#include "engine/generation.h"

namespace meadowthread::standins {

/// @brief Fetches models from the weight store, coming back when it is busy.
class ModelLoader final : public QObject {
 public:
  using Ready = std::function<void(const ModelRef&)>;
  using StillWanted = std::function<bool(const ModelRef&)>;

  /// @param[in] weights_url the weight store; empty: everything is there
  ModelLoader(std::string weights_url, std::string engine, StillWanted wanted,
              Ready ready);

  /// @brief Loads a model; `ready` is told, never from within the call unless
  /// there is no weight store.
  void Load(const ModelRef& model);

 private:
  void Ask(const ModelRef& model);
  void Answered(const ModelRef& model, QNetworkReply* reply);

  std::string weights_url;
  std::string engine;
  StillWanted wanted;
  Ready ready;
  QNetworkAccessManager network;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_MODEL_LOADER_H_
