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
#include "placement/order_sender.h"
#include "placement/ownership_view.h"
#include "placement/placement_source.h"
#include "placement/planner.h"

namespace meadowthread {

/// @brief Time limits for engines and their orders, in milliseconds.
struct EngineTableSettings {
  /// Time without a newer report after which an engine is kSilent or kGone.
  std::int64_t silent_after_ms = 6'000;
  std::int64_t gone_after_ms = 20'000;
  /// A fixed part of this, by the hash of the engine's name, is added to
  /// gone_after_ms.
  std::int64_t gone_jitter_ms = 5'000;
  /// Least time between the end of an engine's last order and its next change.
  std::int64_t change_cooldown_ms = 30'000;
  /// Least time from the result of sending an order to its next sending, until
  /// the order completes.
  std::int64_t resend_interval_ms = 5'000;
  /// Interval between reads of an engine's load while it has a pending order.
  std::int64_t read_interval_ms = 1'000;
  std::int64_t load_timeout_ms = 120'000;  ///< age at which an order is dropped
  /// How long an engine that repeatedly refused orders as stale gets none.
  std::int64_t refusal_backoff_ms = 600'000;
};

/// @brief How many orders ended since the last call of FinishOrders.
struct OrderProgress {
  int completed = 0;  ///< the engine reports the desired state
  int timed_out = 0;  ///< accepted by the engine but not completed in time
};

/// @brief The engines of a group as the lease holder knows them, and the orders
/// pending on them.
class EngineTable {
 public:
  /// @param[in] clock outlives the table
  EngineTable(const EngineTableSettings& settings, const Clock& clock)
      : settings(settings), clock(clock) {}

  // 1. Engines.

  /// @brief Replaces the list of the group's engines. An engine that is no
  /// longer listed is kept until it is kGone.
  void Update(std::span<const ListedEngine> listed);
  /// @brief Applies a load report if it is newer than the last one, or the
  /// engine has restarted.
  void ApplyReport(std::string_view engine, const LoadReport& report);
  /// @brief The engines as input for the planner.
  std::vector<PlacedEngine> PlannerView(const OwnershipView& ownership) const;

  // 2. Orders.

  /// @brief Creates a pending order from a change; it is due at once.
  void Order(const EngineChange& change);
  /// @brief The orders to send now. OnResult must be called for each of them;
  /// until then it is not due again.
  std::vector<EngineOrder> TakeDueOrders();
  /// @brief The pending orders whose engine is due for reading its load, to see
  /// whether it has reached the desired state.
  std::vector<EngineOrder> TakeDueReads();
  /// @brief Applies the result of sending an order.
  void OnResult(const EngineOrder& order, const OrderResult& result);
  /// @brief Removes the orders that are completed or timed out, and those of
  /// gone engines.
  OrderProgress FinishOrders();
  /// @brief Drops all pending orders; called when the lease is lost.
  void DropOrders();

 private:
  struct PendingOrder {
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
    /// The engine's incarnation before its last restart.
    std::optional<std::string> previous_incarnation;
    /// When the last report that was newer than its predecessor arrived; before
    /// the first report, when the engine was first listed.
    std::int64_t last_report_ms = 0;
    std::optional<std::int64_t> last_change_ms;
    std::optional<PendingOrder> pending;
    int refusals = 0;  ///< consecutive stale-fence answers
    std::int64_t last_refusal_ms = 0;
  };

  EngineLiveness LivenessOf(const std::string& name,
                            const Record& record) const;
  bool IsRefusing(const Record& record) const;
  bool IsCompleted(const Record& record) const;

  EngineTableSettings settings;
  const Clock& clock;
  std::map<std::string, Record, std::less<>> records;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_ENGINE_TABLE_H_
