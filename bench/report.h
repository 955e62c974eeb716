#ifndef MEADOWTHREAD_BENCH_REPORT_H_
#define MEADOWTHREAD_BENCH_REPORT_H_

#include <iosfwd>
#include <span>
#include <string>

#include "driver.h"

namespace meadowthread::bench {

/// @brief Sums and means over the seeds of one cell of the table.
struct Row {
  std::string deployment;
  std::string policy;
  std::string variant;  ///< load or weights
  int seeds = 0;
  double stall_s_per_1000 = 0.0;      ///< for 1,000 outputs begun
  double preemptions_per_1000 = 0.0;  ///< for 1,000 outputs begun
  double gap_p95_ms = 0.0;            ///< mean over seeds
  double gap_p99_ms = 0.0;
  double tokens_per_s = 0.0;
  double urgent_wait_p95_ms = 0.0;
  double other_wait_p95_ms = 0.0;
  double refused_percent = 0.0;
  double urgent_refused_per_1000 = 0.0;  ///< of all offered
  double interrupted_per_1000 = 0.0;     ///< for 1,000 outputs begun
};

/// @brief One row from the runs of its seeds.
Row RowOf(std::span<const RunResult> results);

/// @brief A table for people.
void PrintTable(std::ostream& out, std::span<const Row> rows);

/// @brief The same as comma-separated values.
void PrintCsv(std::ostream& out, std::span<const Row> rows);

}  // namespace meadowthread::bench

#endif  // MEADOWTHREAD_BENCH_REPORT_H_
