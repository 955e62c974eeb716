#ifndef MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_SERVICE_H_
#define MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_SERVICE_H_

#include <QObject>
#include <QTimer>
#include <vector>

#include "http/http_listener.h"
#include "http/rate_limit.h"
#include "http/standin_clock.h"
#include "objects/object_faults.h"
#include "objects/object_record.h"
#include "objects/object_table.h"

namespace meadowthread::standins {

/// @brief Configuration of the object API stand-in.
struct ObjectOptions {
  double writes_per_second = 0;  ///< 0: no limit
  double reads_per_second = 0;   ///< 0: no limit; a watch counts as one read
  std::int64_t history_revisions = 1'000'000;
};

/// @brief The platform's object API over HTTP.
class ObjectService final : public QObject, public HttpService {
 public:
  explicit ObjectService(const ObjectOptions& options);

  void Handle(const Request& request, const ExchangePtr& exchange) override;

 private:
  struct PendingWatch {
    ExchangePtr exchange;
    std::string kind;
    std::int64_t since = 0;
    std::int64_t until_ms = 0;
    std::int64_t seen_revision = -1;
  };

  // 1. routing
  void HandleControl(const Request& request, const ExchangePtr& exchange);
  void HandleCall(const Request& request, const ExchangePtr& exchange);
  bool RejectIfLimited(RateLimit* limit, const ExchangePtr& exchange);
  void Answer(const ExchangePtr& exchange, const Reply& reply);

  // 2. reads
  std::int64_t ReadTimeMs() const;
  void Get(const ObjectKey& key, const ExchangePtr& exchange);
  void List(const Request& request, const ExchangePtr& exchange);
  void StartWatch(const Request& request, const ExchangePtr& exchange);
  void ServeWatches();
  bool ServeWatch(PendingWatch* watch);

  // 3. writes
  void Write(const Request& request, const ExchangePtr& exchange);
  void Delay(const ObjectWrite& write);
  void ReleaseDelayed();
  std::optional<std::int64_t> Apply(const ObjectWrite& write);

  StandinClock clock;
  ObjectTable table;
  ObjectFaults faults;
  ObjectRecord record;
  RateLimit write_limit;
  RateLimit read_limit;
  std::vector<PendingWatch> watches;
  std::vector<ExchangePtr> hung;
  std::vector<ObjectWrite> held_writes;
  QTimer watch_timer;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_SERVICE_H_
