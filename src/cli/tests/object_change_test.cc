#include "cli/object_change.h"

#include <criterion/criterion.h>

#include <functional>

#include "cli/tests/fake_platform.h"

namespace meadowthread {
namespace {

/// Values are lists of operations, newest first, as "b,a".
class ListChange final : public ObjectChange {
 public:
  /// @param[in] keeps_history whether the object tells every operation
  explicit ListChange(bool keeps_history) : keeps_history(keeps_history) {}

  std::string_view Kind() const override { return "k"; }
  std::string_view Name() const override { return "n"; }
  bool IsDoneBy(const StoredObject& /*standing*/) const override {
    return false;
  }
  std::string NextValue(const StoredObject& standing) const override {
    return "mine," + standing.value;
  }
  FoundOperation Find(const StoredObject& standing,
                      std::int64_t /*base_version*/) const override {
    if (Contains(standing.value, "mine")) {
      return {OperationTrace::kPresent, standing.version};
    }
    return {
        this->keeps_history ? OperationTrace::kAbsent : OperationTrace::kUntold,
        0};
  }

 private:
  bool keeps_history;
};

/// Does something to the world at the first pause, which is between the first
/// write and the second.
class MeddlingPlatform final : public Platform {
 public:
  MeddlingPlatform(FakeWorld& world, std::function<void()> meddle)
      : inner(world), meddle(std::move(meddle)) {}

  ObjectStore& Store() override { return this->inner.Store(); }
  bool Wait(const std::function<bool()>& is_done) override {
    return this->inner.Wait(is_done);
  }
  void Pause(std::int64_t pause_ms) override {
    std::exchange(this->meddle, [] {})();
    this->inner.Pause(pause_ms);
  }
  absl::StatusOr<HostList> ListHosts() override { return HostList{}; }
  std::vector<HostReply> AskStatuses(std::span<const HostEntry>) override {
    return {};
  }
  std::vector<HostReply> CallAll(std::span<const HostEntry>, std::string_view,
                                 std::string_view) override {
    return {};
  }

 private:
  FakePlatform inner;
  std::function<void()> meddle;
};

ChangeEnd ChangeMeanwhile(FakeWorld& world, bool keeps_history,
                          WriteFault fault, std::string_view other) {
  world.store.FailWrites({fault});
  MeddlingPlatform platform(world, [&world, other] {
    world.store.ReleaseDelayed();
    world.store.Put("k", "n", other, world.store.Revision(),
                    [](const auto&) {});
    world.store.Settle();
  });
  return MakeChange(platform, ListChange(keeps_history), std::nullopt);
}

Test(an_undecided_change, that_took_effect_late_is_accepted) {
  FakeWorld world;
  const ChangeEnd end =
      ChangeMeanwhile(world, true, WriteFault::kDelayed, "other,mine,");
  cr_assert(end.outcome == ChangeOutcome::kAccepted);
}

Test(an_undecided_change, that_another_came_before_is_a_conflict) {
  FakeWorld world;
  const ChangeEnd end =
      ChangeMeanwhile(world, true, WriteFault::kRequestLost, "other,");
  cr_assert(end.outcome == ChangeOutcome::kConflict);
  cr_assert(end.object.value == "other,");
}

Test(an_undecided_change, that_another_may_have_covered_is_unknown) {
  FakeWorld world;
  const ChangeEnd end =
      ChangeMeanwhile(world, false, WriteFault::kDelayed, "other,");
  cr_assert(end.outcome == ChangeOutcome::kUnknown);
}

Test(a_change, that_is_refused_at_once_is_a_conflict) {
  FakeWorld world;
  world.Put("k", "n", "a,");
  FakePlatform platform(world);
  const ChangeEnd end = MakeChange(platform, ListChange(false), 7);
  cr_assert(end.outcome == ChangeOutcome::kConflict);
  cr_assert(world.store.WriteCalls() == 1);
}

}  // namespace
}  // namespace meadowthread
