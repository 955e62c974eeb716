#ifndef MEADOWTHREAD_PLACEMENT_ENGINE_TABLE_H_
#define MEADOWTHREAD_PLACEMENT_ENGINE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "placement/order_messages.h"
#include "placement/orderer.h"
#include "placement/ownership_view.h"
#include "placement/placement_source.h"
#include "placement/planner.h"

namespace meadowthread {

/// @brief Times by which an engine and its orders are judged, milliseconds.
struct EngineTableSettings {
  std::int64_t silent_after_ms = 6'000;  ///< no newer report: not relied on
  std::int64_t gone_after_ms = 20'000;   ///< no newer report: replaced
  std::int64_t gone_spread_ms = 5'000;   ///< differs from engine to engine
  std::int64_t settle_ms = 30'000;       ///< between two changes of an engine
  std::int64_t resend_ms = 5'000;     ///< of an order not yet seen carried out
  std::int64_t read_back_ms = 1'000;  ///< between reads while it is under way
  std::int64_t load_timeout_ms = 120'000;  ///< an order is given up after
  std::int64_t refusing_ms = 600'000;  ///< an engine that keeps refusing rests
};

/// @brief What became of orders since the last look.
struct OrderProgress {
  int carried_out = 0;
  int given_up = 0;  ///< applied, and yet not seen carried out in time
};

/// @brief What a holder knows of its group's engines, and its orders' fates.
class EngineTable {
 public:
  /// @param[in] by outlives the table
  EngineTable(const EngineTableSettings& with, const Clock& by)
      : settings(with), clock(by) {}

  // 1. What is heard of engines.

  /// @brief Takes the engines of the group as listed now.
  void Update(std::span<const ListedEngine> listed);
  /// @brief Takes a load report, unless a newer one was taken.
  void TakeReport(std::string_view engine, const LoadReport& report);
  /// @brief The engines as the planner wants them.
  std::vector<PlacedEngine> View(const OwnershipView& ownership) const;

  // 2. Orders.

  /// @brief Notes a change; its order is due at once.
  void Order(const EngineChange& change);
  /// @brief Orders to be sent now; each must be answered by OnResult.
  std::vector<EngineOrder> TakeDue();
  /// @brief Engines with orders under way to be read now.
  std::vector<EngineOrder> TakeReadsDue();
  /// @brief An order's answer.
  void OnResult(const EngineOrder& order, const OrderResult& result);
  /// @brief Ends orders that are carried out, or given up.
  OrderProgress Settle();
  /// @brief Forgets all orders: the lease was lost.
  void ForgetOrders();

 private:
  struct Pending {
    EngineOrder order;
    std::int64_t ordered_ms = 0;
    std::int64_t next_send_ms = 0;
    std::int64_t next_read_ms = 0;
    bool in_flight = false;
    bool applied = false;
  };
  struct Record {
    ListedEngine listed;
    bool is_listed = false;
    std::optional<LoadReport> report;
    std::optional<std::string> incarnation_before;  ///< of the start before
    std::int64_t heard_ms = 0;  ///< when the report last moved on
    std::optional<std::int64_t> changed_ms;
    std::optional<Pending> pending;
    int refusals = 0;  ///< stale fences in a row
    std::int64_t refused_ms = 0;
  };

  EngineState StateOf(const std::string& name, const Record& record) const;
  bool IsRefusing(const Record& record) const;
  bool IsCarriedOut(const Record& record) const;

  EngineTableSettings settings;
  const Clock& clock;
  std::map<std::string, Record, std::less<>> records;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_ENGINE_TABLE_H_
