#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_SERVICE_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine/engine_faults.h"
#include "engine/engine_model.h"
#include "engine/engine_record.h"
#include "engine/load_reports.h"
#include "engine/loaded_models.h"
#include "engine/model_loader.h"
#include "engine/order_log.h"
#include "engine/token_stream.h"
#include "http/http_listener.h"
#include "http/standin_clock.h"

namespace meadowthread::standins {

/// @brief Configuration of an engine stand-in.
struct EngineOptions {
  EngineLimits limits;
  std::string role = "general";
  std::vector<ModelRef> models;
  std::string weights_url;
  bool checks_fence = false;
  std::int64_t report_lag_ms = 0;
  std::int64_t cache_lag_ms = 500;
  std::int64_t cache_gap_every = 7;
};

/// @brief HTTP interface of one simulated model engine.
class EngineService final : public HttpService {
 public:
  EngineService(const EngineOptions& options, const std::string& name);

  void Handle(const Request& request, const ExchangePtr& exchange) override;

  /// @brief Executes the steps that are due and sends the new tokens.
  void Tick();

  /// @brief Sets the callback for a generation whose prompt crashes the engine;
  /// called when such a generation has started.
  void OnEngineCrash(const std::function<void()>& callback) {
    this->on_engine_crash = callback;
  }

  /// @brief Closes all streams and loses all generations, as a crash does.
  void LoseAll();

 private:
  // 1. generations
  void Start(const Request& request, const ExchangePtr& exchange);
  std::string RejectionOf(const GenerationSpec& spec) const;
  void RecordRefusal(const GenerationSpec& spec, std::string_view reason);
  void Reject(const GenerationSpec& spec, std::string_view reason,
              const ExchangePtr& exchange);
  void Resume(const Request& request, const ExchangePtr& exchange);
  void Cancel(const std::string& id, const ExchangePtr& exchange);
  void Attach(Generation* generation, std::int64_t from,
              const ExchangePtr& exchange);
  void Detach(Generation* generation);
  void PumpStreams(std::int64_t now_ms);

  // 2. load, cache events and orders
  void SendLoad(const ExchangePtr& exchange);
  void SendCacheEvents(const Request& request, const ExchangePtr& exchange);
  void TakeOrder(const Request& request, const ExchangePtr& exchange);

  // 3. control calls of tests
  void HandleControl(const Request& request, const ExchangePtr& exchange);
  void ApplyFaults(const nlohmann::json& change);
  void CloseStreams();
  void Cork(const ExchangePtr& exchange);
  void Uncork();

  EngineOptions options;
  std::string name;
  std::string state = "live";
  StandinClock clock;
  EngineModel model;
  LoadReports reports;
  OrderLog orders;
  LoadedModels models;
  ModelLoader loader;
  EngineRecord record;
  EngineFaults faults;
  std::function<void()> on_engine_crash;
  std::unordered_map<Generation*, std::unique_ptr<TokenStream>> streams;
  std::vector<ExchangePtr> corked;
  std::string buffer;
  std::int64_t token_events = 0;
  bool streams_behind = false;  ///< streams need pumping before the next step
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_SERVICE_H_
