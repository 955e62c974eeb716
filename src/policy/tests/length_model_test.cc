#include "policy/length_model.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

namespace meadowthread {
namespace {

const LengthKey kReports{"lab", "report", "m"};
const LengthKey kTags{"lab", "tag", "m"};

void ObserveMany(LearnedLengthModel& model, const LengthKey& key, int count,
                 std::int64_t tokens) {
  for (int i = 0; i < count; ++i) {
    model.Observe(key, tokens);
  }
}

Test(a_length_model, starts_with_a_wide_prior) {
  LearnedLengthModel model;
  const auto curve = model.CurveOf(kReports);
  cr_assert(curve->SurvivalAfter(0, 1'000) > 0.1);
  cr_assert(curve->SurvivalAfter(0, 16) < 1.0);
}

Test(a_length_model, learns_each_template_separately) {
  LearnedLengthModel model;
  ObserveMany(model, kReports, 200, 3'000);
  ObserveMany(model, kTags, 200, 20);
  cr_assert(model.CurveOf(kReports)->SurvivalAfter(0, 1'000) > 0.9);
  cr_assert(model.CurveOf(kTags)->SurvivalAfter(0, 1'000) < 0.1);
}

Test(a_length_model, uses_the_model_as_prior_for_a_new_template) {
  LearnedLengthModel model;
  ObserveMany(model, kReports, 500, 3'000);
  const LengthKey unseen{"other", "unseen", "m"};
  cr_assert(model.CurveOf(unseen)->SurvivalAfter(0, 1'000) > 0.8);
}

Test(a_length_model, expects_more_tokens_from_long_outputs) {
  LearnedLengthModel model;
  ObserveMany(model, kReports, 100, 100);
  ObserveMany(model, kReports, 100, 4'000);
  const auto curve = model.CurveOf(kReports);
  cr_assert(curve->ExpectedRemaining(500, 0) > curve->ExpectedRemaining(0, 0));
  cr_assert(curve->TailQuantile(500, 0.5) > 2'000);
}

Test(a_length_model, follows_a_drift) {
  LearnedLengthModel model;
  ObserveMany(model, kReports, 1'000, 100);
  ObserveMany(model, kReports, 600, 4'000);
  cr_assert(model.CurveOf(kReports)->SurvivalAfter(0, 1'000) > 0.85);
}

Test(a_length_model, limits_the_number_of_keys) {
  LengthModelOptions options;
  options.max_keys = 100;
  LearnedLengthModel model(options);
  for (int i = 0; i < 1'000; ++i) {
    model.Observe({"w" + std::to_string(i), "t", "m"}, 50);
    ObserveMany(model, kReports, 1, 3'000);
  }
  cr_assert(model.KeyCount() == 100);
  // A key that is observed all the time is not evicted.
  cr_assert(model.CurveOf(kReports)->SurvivalAfter(0, 1'000) > 0.9);
}

Test(a_length_curve, agrees_with_its_sample) {
  LearnedLengthModel model({.max_keys = 8, .decay = 1.0, .prior_weight = 1.0});
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> lengths(6.0, 1.0);
  int longer = 0;
  double sum = 0.0;
  constexpr int kCount = 20'000;
  for (int i = 0; i < kCount; ++i) {
    const auto tokens = static_cast<std::int64_t>(lengths(random)) + 1;
    longer += tokens > 1'000 ? 1 : 0;
    sum += static_cast<double>(tokens);
    model.Observe(kReports, tokens);
  }
  const auto curve = model.CurveOf(kReports);
  const double share = static_cast<double>(longer) / kCount;
  cr_assert(std::abs(curve->Survival(1'000) - share) < 0.02);
  const double mean = sum / kCount;
  cr_assert(std::abs(curve->ExpectedRemaining(0, 0) - mean) < mean * 0.1);
}

}  // namespace
}  // namespace meadowthread
