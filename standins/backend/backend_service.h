#ifndef MEADOWTHREAD_STANDINS_BACKEND_BACKEND_SERVICE_H_
#define MEADOWTHREAD_STANDINS_BACKEND_BACKEND_SERVICE_H_

#include <QObject>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "http/http_listener.h"

namespace meadowthread::standins {

/// @brief Faults that tests inject into a plain backend server.
struct BackendFaults {
  std::int64_t refuse_after_read = 0;  ///< next calls to close without answer
  bool run = false;                    ///< whether those calls run nevertheless
  int status = 0;                      ///< status sent instead of 200; 0: none
  std::int64_t delay_ms = 0;           ///< delay of each answer

  /// @brief Sets the fields that `change` contains; others are unchanged.
  void Merge(const nlohmann::json& change);
};

/// @brief A call that was executed.
struct BackendCall {
  std::string method;
  std::string path;
  std::string idempotency_key;
  std::string body;
};

/// @brief A backend server that echoes each call in its answer and counts the
/// executions per idempotency key.
class BackendService final : public QObject, public HttpService {
 public:
  explicit BackendService(std::string name) : name(std::move(name)) {}

  void Handle(const Request& request, const ExchangePtr& exchange) override;

 private:
  void HandleControl(const Request& request, const ExchangePtr& exchange);
  void Serve(const Request& request, const ExchangePtr& exchange);
  Reply Run(const Request& request);
  nlohmann::json RecordJson() const;

  std::string name;
  BackendFaults faults;
  std::vector<BackendCall> calls;
  std::map<std::string, std::int64_t> runs_by_key;
  std::int64_t arrived = 0;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_BACKEND_BACKEND_SERVICE_H_
