// When an engine's report tells that its start before has ended.
#include "serve/engine_starts.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

LoadReport ReportOf(const std::string& engine, const std::string& incarnation) {
  LoadReport report;
  report.engine = engine;
  report.incarnation = incarnation;
  return report;
}

Test(an_engines_start, has_ended_when_its_report_names_another) {
  EngineStarts starts;
  cr_assert_not(starts.Note(ReportOf("e-1", "a")).has_value(), "the first");
  cr_assert_not(starts.Note(ReportOf("e-1", "a")).has_value());
  cr_assert_not(starts.Note(ReportOf("e-2", "b")).has_value(), "another one");
  cr_assert(starts.Note(ReportOf("e-1", "c")) == "a");
  cr_assert_not(starts.Note(ReportOf("e-1", "c")).has_value(), "told once");
}

}  // namespace
}  // namespace meadowthread
