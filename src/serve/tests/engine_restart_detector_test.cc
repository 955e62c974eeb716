// Detection of engine restarts from load reports.
#include "serve/engine_restart_detector.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

LoadReport ReportOf(const std::string& engine, const std::string& incarnation) {
  LoadReport report;
  report.engine = engine;
  report.incarnation = incarnation;
  return report;
}

Test(an_engine_restart, is_detected_by_a_new_incarnation_in_the_report) {
  EngineRestartDetector detector;
  cr_assert_not(detector.Observe(ReportOf("e-1", "a")).has_value(),
                "the first report");
  cr_assert_not(detector.Observe(ReportOf("e-1", "a")).has_value());
  cr_assert_not(detector.Observe(ReportOf("e-2", "b")).has_value(),
                "another engine");
  cr_assert(detector.Observe(ReportOf("e-1", "c")) == "a");
  cr_assert_not(detector.Observe(ReportOf("e-1", "c")).has_value(),
                "reported once");
}

}  // namespace
}  // namespace meadowthread
