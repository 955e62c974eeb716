#include "report.h"

#include <iomanip>
#include <ostream>

namespace meadowthread::bench {
namespace {

constexpr double kPerThousand = 1'000.0;
constexpr double kPerCent = 100.0;

double Part(double value, double whole, double scale) {
  return whole > 0.0 ? value * scale / whole : 0.0;
}

}  // namespace

Row RowOf(std::span<const RunResult> results) {
  Row row;
  row.seeds = static_cast<int>(results.size());
  const double count = row.seeds;
  double begun = 0.0;
  double offered = 0.0;
  double refused = 0.0;
  double urgent_refused = 0.0;
  double interrupted = 0.0;
  for (const RunResult& one : results) {
    begun += static_cast<double>(one.begun);
    offered += static_cast<double>(one.offered);
    refused += static_cast<double>(one.refused);
    urgent_refused += static_cast<double>(one.urgent_refused);
    interrupted += static_cast<double>(one.interrupted);
    row.stall_s_per_1000 += one.stall_s;
    row.preemptions_per_1000 += static_cast<double>(one.preemptions);
    row.gap_p95_ms += one.gap_p95_ms / count;
    row.gap_p99_ms += one.gap_p99_ms / count;
    row.tokens_per_s += one.tokens_per_s / count;
    row.urgent_wait_p95_ms += one.urgent_wait_p95_ms / count;
    row.other_wait_p95_ms += one.report_wait_p95_ms / count;
  }
  row.stall_s_per_1000 = Part(row.stall_s_per_1000, begun, kPerThousand);
  row.preemptions_per_1000 =
      Part(row.preemptions_per_1000, begun, kPerThousand);
  row.refused_percent = Part(refused, offered, kPerCent);
  row.urgent_refused_per_1000 = Part(urgent_refused, offered, kPerThousand);
  row.interrupted_per_1000 = Part(interrupted, begun, kPerThousand);
  return row;
}

void PrintTable(std::ostream& out, std::span<const Row> rows) {
  out << "| deployment | variant | policy | stall s/1000 | preempt./1000 | "
         "gap p95 ms | gap p99 ms | tokens/s | urgent wait p95 ms | other "
         "wait p95 ms | refused % | urgent refused/1000 | interrupted/1000 |\n"
         "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
         "| --- | --- |\n"
      << std::fixed;
  for (const Row& row : rows) {
    out << "| " << row.deployment << " | " << row.variant << " | " << row.policy
        << " | " << std::setprecision(2) << row.stall_s_per_1000 << " | "
        << row.preemptions_per_1000 << " | " << std::setprecision(1)
        << row.gap_p95_ms << " | " << row.gap_p99_ms << " | "
        << std::setprecision(0) << row.tokens_per_s << " | "
        << row.urgent_wait_p95_ms << " | " << row.other_wait_p95_ms << " | "
        << std::setprecision(2) << row.refused_percent << " | "
        << row.urgent_refused_per_1000 << " | " << row.interrupted_per_1000
        << " |\n";
  }
}

void PrintCsv(std::ostream& out, std::span<const Row> rows) {
  out << "deployment,variant,policy,seeds,stall_s_per_1000,"
         "preemptions_per_1000,gap_p95_ms,gap_p99_ms,tokens_per_s,"
         "urgent_wait_p95_ms,other_wait_p95_ms,refused_percent,"
         "urgent_refused_per_1000,interrupted_per_1000\n"
      << std::fixed << std::setprecision(3);
  for (const Row& row : rows) {
    out << row.deployment << ',' << row.variant << ',' << row.policy << ','
        << row.seeds << ',' << row.stall_s_per_1000 << ','
        << row.preemptions_per_1000 << ',' << row.gap_p95_ms << ','
        << row.gap_p99_ms << ',' << row.tokens_per_s << ','
        << row.urgent_wait_p95_ms << ',' << row.other_wait_p95_ms << ','
        << row.refused_percent << ',' << row.urgent_refused_per_1000 << ','
        << row.interrupted_per_1000 << '\n';
  }
}

}  // namespace meadowthread::bench
