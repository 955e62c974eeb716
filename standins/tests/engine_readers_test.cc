#include <criterion/criterion.h>

#include "tests/engine_fixture.h"

namespace meadowthread::standins {
namespace {

Test(a_generation, is_cancelled_once) {
  EngineModel model(LimitsOf(1000), "e", "1");
  const std::string id = model.Start(SpecOf(100), kStartMs)->id;
  const std::int64_t now_ms = AdvanceSteps(&model, kStartMs, 5);
  cr_assert(model.Cancel(id, now_ms));
  cr_assert(!model.Cancel(id, now_ms));
  cr_assert(model.Find(id, now_ms) == nullptr);
  cr_assert(model.Load().kv_used == 0 && model.Load().running == 0);
}

Test(a_generation, without_a_reader_ends_after_its_orphan_timeout) {
  EngineModel model(LimitsOf(1000), "e", "1");
  Generation* orphan = model.Start(SpecOf(500), kStartMs);
  Generation* read = model.Start(SpecOf(500), kStartMs);
  model.SetRead(orphan, false, kStartMs);
  std::int64_t now_ms = AdvanceSteps(&model, kStartMs, 49);
  cr_assert(orphan->state == GenerationState::kRunning);
  now_ms = AdvanceSteps(&model, now_ms, 2);
  cr_assert(orphan->state == GenerationState::kOrphaned);
  cr_assert(model.Find(orphan->id, now_ms) == nullptr);
  cr_assert(read->state == GenerationState::kRunning);
}

Test(a_generation, continues_if_a_reader_returns) {
  EngineModel model(LimitsOf(1000), "e", "1");
  Generation* generation = model.Start(SpecOf(500), kStartMs);
  model.SetRead(generation, false, kStartMs);
  std::int64_t now_ms = AdvanceSteps(&model, kStartMs, 40);
  model.SetRead(generation, true, now_ms);
  now_ms = AdvanceSteps(&model, now_ms, 100);
  cr_assert(generation->state == GenerationState::kRunning);
}

Test(a_finished_generation, can_be_read_until_its_orphan_timeout) {
  EngineModel model(LimitsOf(1000), "e", "1");
  Generation* generation = model.Start(SpecOf(3), kStartMs);
  const std::int64_t now_ms = AdvanceSteps(&model, kStartMs, 3);
  const std::int64_t ended_ms = generation->ended_ms;
  cr_assert(generation->state == GenerationState::kFinished);
  cr_assert(model.Find(generation->id, now_ms) == generation);
  cr_assert(model.Find(generation->id, ended_ms + 1000) == generation);
  cr_assert(model.Find(generation->id, ended_ms + 1001) == nullptr);
}

Test(a_restarted_engine, has_no_generations_and_reuses_no_id) {
  EngineModel model(LimitsOf(1000), "e", "1");
  Generation* before = model.Start(SpecOf(100), kStartMs);
  const std::string id = before->id;
  const std::int64_t now_ms = AdvanceSteps(&model, kStartMs, 5);
  model.Restart("2", now_ms);
  cr_assert(before->state == GenerationState::kLost);
  cr_assert(model.Find(id, now_ms) == nullptr);
  cr_assert(model.Load().kv_used == 0);
  cr_assert(model.Start(SpecOf(100), now_ms)->id != id);
}

Test(a_waiting_generation, is_lost_if_its_deadline_passes_before_it_runs) {
  EngineLimits limits = LimitsOf(1000);
  limits.largest_batch = 1;
  EngineModel model(limits, "e", "1");
  model.Start(SpecOf(100), kStartMs);
  GenerationSpec spec = SpecOf(5);
  spec.deadline_ms = kStartMs + 200;
  const Generation* late = model.Start(spec, kStartMs);
  AdvanceSteps(&model, kStartMs, 20);
  cr_assert(late->state == GenerationState::kLost);
  cr_assert(late->lost_reason == "deadline" && late->generated == 0);
}

Test(a_prefix_cache, reports_events_late_and_with_gaps) {
  PrefixCache cache(2);
  cr_assert(!cache.Use(1, 10));
  cr_assert(!cache.Use(2, 20));
  cr_assert(cache.Use(1, 30));
  cr_assert(!cache.Use(3, 40));
  const std::vector<CacheEvent> all = cache.EventsAfter(0, 40, 0);
  cr_assert(all.size() == 4);
  cr_assert(all[3].kind == CacheEventKind::kEvicted && all[3].prefix == 2);
  cr_assert(cache.EventsAfter(0, 20, 0).size() == 2);
  cr_assert(cache.EventsAfter(2, 40, 0).size() == 2);
  cr_assert(cache.EventsAfter(0, 40, 2).size() == 2);
}

}  // namespace
}  // namespace meadowthread::standins
