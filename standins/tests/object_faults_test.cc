#include "objects/object_faults.h"

#include <criterion/criterion.h>

#include "objects/object_wire.h"

namespace meadowthread::standins {
namespace {

Test(a_faulty_object_api, applies_each_fault_to_the_given_number_of_writes) {
  ObjectFaults faults;
  faults.Merge({{"lose_answers", 1}, {"lose_requests", 1}});
  faults.Merge({{"delay_writes", 1}, {"delay_writes_ms", 50}});
  cr_assert(faults.NextWrite() == WriteFate::kRequestLost);
  cr_assert(faults.NextWrite() == WriteFate::kAnswerLost);
  cr_assert(faults.NextWrite() == WriteFate::kDelayed);
  cr_assert(faults.NextWrite() == WriteFate::kNormal);
  cr_assert(faults.delay_writes_ms == 50);
}

std::optional<Condition> ConditionFrom(const std::string& name,
                                       const std::string& value) {
  Request request;
  request.headers.push_back({name, value});
  return ConditionOf(request);
}

Test(a_write, needs_a_well_formed_condition) {
  cr_assert(ConditionFrom("if-none-match", "*")->kind ==
            ConditionKind::kAbsent);
  cr_assert(ConditionFrom("If-Match", "\"17\"")->version == 17);
  cr_assert(!ConditionFrom("If-Match", "17").has_value());
  cr_assert(!ConditionFrom("If-Match", "\"\"").has_value());
  cr_assert(!ConditionFrom("If-Match", "\"1x\"").has_value());
  cr_assert(!ConditionFrom("If-None-Match", "\"17\"").has_value());
  cr_assert(!ConditionFrom("Accept", "*").has_value());
}

}  // namespace
}  // namespace meadowthread::standins
