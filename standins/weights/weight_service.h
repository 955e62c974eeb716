#ifndef MEADOWTHREAD_STANDINS_WEIGHTS_WEIGHT_SERVICE_H_
#define MEADOWTHREAD_STANDINS_WEIGHTS_WEIGHT_SERVICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "http/http_listener.h"
#include "http/rate_limit.h"
#include "http/standin_clock.h"

namespace meadowthread::standins {

/// @brief Configuration of the weight store stand-in.
struct WeightOptions {
  double loads_per_second = 0;  ///< 0: no limit
  std::int64_t load_ms = 200;   ///< duration of a load
};

/// @brief A requested load of a model into an engine.
struct WeightLoad {
  std::string engine;
  std::string model;
  std::string adapter;
  std::string version;
  bool granted = false;
  std::int64_t at_ms = 0;
};

/// @brief The rate-limited weight store over HTTP.
class WeightService final : public HttpService {
 public:
  explicit WeightService(const WeightOptions& options)
      : options(options), limit(options.loads_per_second) {}

  void Handle(const Request& request, const ExchangePtr& exchange) override;

 private:
  void Load(const Request& request, const ExchangePtr& exchange);
  nlohmann::json RecordJson() const;

  WeightOptions options;
  RateLimit limit;
  StandinClock clock;
  std::vector<WeightLoad> loads;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_WEIGHTS_WEIGHT_SERVICE_H_
