#include "engine/model_loader.h"

#include <QNetworkReply>
#include <QTimer>
#include <algorithm>
#include <chrono>
#include <utility>

#include "nlohmann/json.hpp"

namespace meadowthread::standins {
namespace {

constexpr std::chrono::seconds kShortestRetry{1};

}  // namespace

ModelLoader::ModelLoader(std::string weights_url, std::string engine,
                         StillWanted wanted, Ready ready)
    : weights_url(std::move(weights_url)),
      engine(std::move(engine)),
      wanted(std::move(wanted)),
      ready(std::move(ready)) {}

void ModelLoader::Load(const ModelRef& model) {
  if (this->weights_url.empty()) {
    this->ready(model);
  } else {
    this->Ask(model);
  }
}

// Qt may send this twice; a load twice only costs the store's budget.
void ModelLoader::Ask(const ModelRef& model) {
  if (!this->wanted(model)) {
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
                   [this, model, reply] { this->Answered(model, reply); });
}

void ModelLoader::Answered(const ModelRef& model, QNetworkReply* reply) {
  reply->deleteLater();
  const int status =
      reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (status == 200) {
    const nlohmann::json body =
        nlohmann::json::parse(reply->readAll().toStdString(), nullptr, false);
    const std::int64_t wait_ms =
        body.is_object() ? body.value("ready_after_ms", std::int64_t{0}) : 0;
    QTimer::singleShot(std::chrono::milliseconds(wait_ms), this,
                       [this, model] { this->ready(model); });
    return;
  }
  const std::chrono::seconds asked(reply->rawHeader("Retry-After").toInt());
  // A coarse timer may fire early, before the store has anything to give.
  QTimer::singleShot(std::max(asked, kShortestRetry), Qt::PreciseTimer, this,
                     [this, model] { this->Ask(model); });
}

}  // namespace meadowthread::standins
