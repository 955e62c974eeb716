#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_ARGUMENTS_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_ARGUMENTS_H_

#include "command_line.h"
#include "engine/engine_service.h"

namespace meadowthread::standins {

/// @brief Command-line arguments of the engine role.
class EngineArguments {
 public:
  explicit EngineArguments(TCLAP::CmdLine* line);

  /// @brief Engine options from the parsed arguments.
  EngineOptions Options() const;

  int Count() const { return this->count.getValue(); }
  int FirstPort() const { return this->first_port.getValue(); }
  int TickMs() const { return this->tick_ms.getValue(); }

 private:
  TCLAP::ValueArg<int> count;
  TCLAP::ValueArg<int> first_port;
  TCLAP::ValueArg<int> tick_ms;
  TCLAP::ValueArg<double> token_ms;
  TCLAP::ValueArg<double> slowdown;
  TCLAP::ValueArg<std::int64_t> kv;
  TCLAP::ValueArg<std::int64_t> queue;
  TCLAP::ValueArg<std::int64_t> batch;
  TCLAP::ValueArg<std::string> models;
  TCLAP::ValueArg<std::string> role;
  TCLAP::ValueArg<std::string> weights;
  TCLAP::SwitchArg check_fence;
  TCLAP::ValueArg<std::int64_t> report_lag_ms;
  TCLAP::ValueArg<std::int64_t> cache_lag_ms;
  TCLAP::ValueArg<std::int64_t> cache_gap_every;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_ARGUMENTS_H_
