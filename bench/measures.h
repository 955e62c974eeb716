#ifndef MEADOWTHREAD_BENCH_MEASURES_H_
#define MEADOWTHREAD_BENCH_MEASURES_H_

#include <cstdint>
#include <vector>

#include "workload.h"

namespace meadowthread::bench {

/// @brief A gap between two tokens of one output is a stall beyond this.
inline constexpr std::int64_t kStallAfterUs = 250'000;

/// @brief What one run measured, after its warm-up.
struct RunResult {
  std::int64_t begun = 0;      ///< outputs whose first token came
  std::int64_t completed = 0;  ///< outputs that ended by themselves
  std::int64_t offered = 0;
  std::int64_t refused = 0;  ///< at once, given up in a queue, or rejected
  std::int64_t interrupted = 0;
  std::int64_t preemptions = 0;
  double stall_s = 0.0;  ///< beyond kStallAfterUs between two tokens, summed
  double gap_p95_ms = 0.0;
  double gap_p99_ms = 0.0;
  double tokens_per_s = 0.0;        ///< of completed outputs
  double urgent_wait_p95_ms = 0.0;  ///< arrival to first token
  double report_wait_p95_ms = 0.0;  ///< of work that is not urgent
  std::int64_t urgent_refused = 0;
};

/// @brief Gathers what a run measures; counts only while switched on.
class Measures {
 public:
  Measures();

  void SetOn(bool on) { this->on = on; }
  void Offered() { this->result.offered += this->on ? 1 : 0; }
  void Preempted() { this->result.preemptions += this->on ? 1 : 0; }
  void Interrupted() { this->result.interrupted += this->on ? 1 : 0; }
  void Refused(const WorkItem& work);
  void First(const Arrival& arrival, std::int64_t now_us);
  void Gap(std::int64_t gap_us);
  void Completed(std::int64_t tokens);

  /// @param[in] measured_us how long measuring was on
  RunResult Summary(std::int64_t measured_us);

 private:
  double GapQuantile(double part) const;

  bool on = false;
  RunResult result;
  std::vector<std::int64_t> gaps;  ///< by the millisecond
  std::int64_t gap_count = 0;
  std::int64_t completed_tokens = 0;
  std::vector<double> urgent_waits;
  std::vector<double> other_waits;
};

}  // namespace meadowthread::bench

#endif  // MEADOWTHREAD_BENCH_MEASURES_H_
