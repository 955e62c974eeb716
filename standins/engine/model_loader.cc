#include "engine/model_loader.h"

#include <QNetworkReply>
#include <QTimer>
#include <algorithm>
#include <chrono>
#include <utility>

#include "nlohmann/json.hpp"

namespace meadowthread::standins {
namespace {

constexpr std::chrono::seconds kMinRetryDelay{1};

}  // namespace

ModelLoader::ModelLoader(std::string weights_url, std::string engine,
                         IsDesired is_desired, OnReady on_ready)
    : weights_url(std::move(weights_url)),
      engine(std::move(engine)),
      is_desired(std::move(is_desired)),
      on_ready(std::move(on_ready)) {}

void ModelLoader::Load(const ModelRef& model) {
  if (this->weights_url.empty()) {
    this->on_ready(model);
  } else {
    this->RequestLoad(model);
  }
}

// Qt may send the request twice; a duplicate only uses up some of the weight
// store's rate limit.
void ModelLoader::RequestLoad(const ModelRef& model) {
  if (!this->is_desired(model)) {
    return;
  }
  const nlohmann::json body = {{"engine", this->engine},
                               {"model", model.model},
                               {"adapter", model.adapter},
                               {"version", model.version}};
  QNetworkRequest request(
      QUrl(QString::fromStdString(this->weights_url + "/loads")));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  QNetworkReply* reply =
      this->network.post(request, QByteArray::fromStdString(body.dump()));
  QObject::connect(reply, &QNetworkReply::finished, this,
                   [this, model, reply] { this->OnResponse(model, reply); });
}

void ModelLoader::OnResponse(const ModelRef& model, QNetworkReply* reply) {
  reply->deleteLater();
  const int status =
      reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (status == 200) {
    const nlohmann::json body =
        nlohmann::json::parse(reply->readAll().toStdString(), nullptr, false);
    const std::int64_t wait_ms =
        body.is_object() ? body.value("ready_after_ms", std::int64_t{0}) : 0;
    QTimer::singleShot(std::chrono::milliseconds(wait_ms), this,
                       [this, model] { this->on_ready(model); });
    return;
  }
  const std::chrono::seconds asked(reply->rawHeader("Retry-After").toInt());
  // A coarse timer may fire early, while the store still refuses the load.
  QTimer::singleShot(std::max(asked, kMinRetryDelay), Qt::PreciseTimer, this,
                     [this, model] { this->RequestLoad(model); });
}

}  // namespace meadowthread::standins
