#include "engine/engine_arguments.h"

#include "engine/engine_wire.h"

namespace meadowthread::standins {
namespace {

constexpr int kDefaultTickMs = 5;

}  // namespace

EngineArguments::EngineArguments(TCLAP::CmdLine* line)
    : count("", "count", "Engines in this process", false, 1, "n", *line),
      first_port("", "first-port", "Port of the first of several engines",
                 false, 0, "port", *line),
      tick_ms("", "tick-ms", "How often tokens are sent", false, kDefaultTickMs,
              "ms", *line),
      token_ms("", "token-ms", "Time of a step with an empty batch", false,
               EngineLimits().token_ms, "ms", *line),
      slowdown("", "slowdown",
               "Share by which each running generation slows a step", false,
               EngineLimits().slowdown, "share", *line),
      kv("", "kv", "Memory", false, EngineLimits().kv_capacity, "tokens",
         *line),
      queue("", "queue", "Longest queue", false, EngineLimits().longest_queue,
            "n", *line),
      batch("", "batch", "Largest batch", false, EngineLimits().largest_batch,
            "n", *line),
      models("", "models",
             "Models loaded at the start: model[/adapter[/version]],...", false,
             "", "list", *line),
      role("", "role", "Role at the start", false, EngineOptions().role, "role",
           *line),
      weights("", "weights",
              "URL of the weight store; empty: models load at once", false, "",
              "url", *line),
      check_fence("", "check-fence", "Refuse orders with an old fencing token",
                  *line),
      report_lag_ms("", "report-lag-ms", "Age of the load reports", false, 0,
                    "ms", *line),
      cache_lag_ms("", "cache-lag-ms", "Delay of the cache events", false,
                   EngineOptions().cache_lag_ms, "ms", *line),
      cache_gap_every("", "cache-gap-every",
                      "Omit each n-th cache event; 0: none", false,
                      EngineOptions().cache_gap_every, "n", *line) {}

EngineOptions EngineArguments::Options() const {
  EngineOptions options;
  options.limits.token_ms = this->token_ms.getValue();
  options.limits.slowdown = this->slowdown.getValue();
  options.limits.kv_capacity = this->kv.getValue();
  options.limits.longest_queue = this->queue.getValue();
  options.limits.largest_batch = this->batch.getValue();
  options.models = ParseModels(this->models.getValue());
  options.role = this->role.getValue();
  options.weights_url = this->weights.getValue();
  options.checks_fence = this->check_fence.getValue();
  options.report_lag_ms = this->report_lag_ms.getValue();
  options.cache_lag_ms = this->cache_lag_ms.getValue();
  options.cache_gap_every = this->cache_gap_every.getValue();
  return options;
}

}  // namespace meadowthread::standins
