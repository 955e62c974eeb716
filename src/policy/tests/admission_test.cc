#include "policy/admission.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

#include "policy/dispatcher.h"
#include "policy/memory_aware_chooser.h"
#include "policy/tests/fleet_fixture.h"

namespace meadowthread {
namespace {

using testing::Fleet;
using testing::Work;

class FixedCapacity final : public CapacityProbe {
 public:
  explicit FixedCapacity(bool has_room) : has_room(has_room) {}
  bool Fits(const WorkItem&) override { return this->has_room; }
  bool has_room;
};

WorkItem WorkOf(const std::string& request, const std::string& workspace,
                Urgency urgency = Urgency::kNormal) {
  WorkItem work = Work(request, urgency);
  work.workspace = workspace;
  work.expected_tokens = 100;
  return work;
}

Test(an_admission_queue, admits_work_while_there_is_room) {
  AdmissionQueue queue;
  FixedCapacity has_room(true);
  const AdmissionResult answer = queue.Offer(Work("a"), has_room, 0, 1);
  cr_assert(answer.verdict == AdmissionVerdict::kAdmitted);
}

Test(an_admission_queue, serves_urgent_work_first) {
  AdmissionQueue queue;
  FixedCapacity no_room(false);
  queue.Offer(Work("batch", Urgency::kBatch), no_room, 0, 1);
  queue.Offer(Work("normal"), no_room, 0, 1);
  queue.Offer(Work("urgent", Urgency::kUrgent), no_room, 0, 1);
  FixedCapacity has_room(true);
  // New work does not overtake queued work.
  cr_assert(queue.Offer(Work("late"), has_room, 0, 1).verdict ==
            AdmissionVerdict::kQueued);
  cr_assert(queue.Next(has_room, 1)->request == "urgent");
  cr_assert(queue.Next(has_room, 1)->request == "normal");
  cr_assert(queue.Next(has_room, 1)->request == "late");
  cr_assert(queue.Next(has_room, 1)->request == "batch");
  cr_assert(!queue.Next(has_room, 1).has_value());
}

Test(an_admission_queue, shares_capacity_between_workspaces) {
  AdmissionQueue queue;
  FixedCapacity no_room(false);
  for (int i = 0; i < 50; ++i) {
    queue.Offer(WorkOf("big" + std::to_string(i), "big"), no_room, 0, 1);
  }
  for (int i = 0; i < 5; ++i) {
    queue.Offer(WorkOf("small" + std::to_string(i), "small"), no_room, 0, 1);
  }
  FixedCapacity has_room(true);
  int small = 0;
  for (int i = 0; i < 10; ++i) {
    small += queue.Next(has_room, 1)->workspace == "small" ? 1 : 0;
  }
  cr_assert(small == 5);
}

Test(an_admission_queue, is_bounded_and_refuses_with_a_jittered_retry_time) {
  AdmissionOptions options;
  options.max_queued = {2, 2, 2};
  options.workspace_share = 1.0;
  AdmissionQueue queue(options);
  FixedCapacity no_room(false);
  queue.Offer(Work("a"), no_room, 0, 1);
  queue.Offer(Work("b"), no_room, 0, 1);
  std::set<std::int64_t> times;
  for (std::uint64_t i = 0; i < 16; ++i) {
    const AdmissionResult answer = queue.Offer(Work("c"), no_room, 0, i << 60U);
    cr_assert(answer.verdict == AdmissionVerdict::kRefused);
    cr_assert(answer.reason == RefusalReason::kQueueFull);
    times.insert(answer.retry_after_ms);
  }
  cr_assert(times.size() == 16);
}

Test(an_admission_queue, limits_the_share_of_one_workspace) {
  AdmissionOptions options;
  options.max_queued = {8, 8, 8};
  AdmissionQueue queue(options);
  FixedCapacity no_room(false);
  RefusalReason last = RefusalReason::kNone;
  for (int i = 0; i < 8; ++i) {
    last = queue.Offer(WorkOf(std::to_string(i), "big"), no_room, 0, 1).reason;
  }
  cr_assert(last == RefusalReason::kWorkspaceShare);
  cr_assert(queue.QueuedOf(Urgency::kNormal, "big") == 4);
  cr_assert(queue.Offer(WorkOf("s", "small"), no_room, 0, 1).verdict ==
            AdmissionVerdict::kQueued);
}

Test(an_admission_queue, expires_work_at_its_deadline) {
  AdmissionQueue queue;
  FixedCapacity no_room(false);
  WorkItem work = Work("a");
  work.deadline_ms = 100;
  queue.Offer(work, no_room, 0, 1);
  cr_assert(queue.Expire(99, 1).empty());
  const std::vector<ExpiredWork> expired = queue.Expire(100, 1);
  cr_assert(expired.size() == 1);
  cr_assert(expired[0].reason == RefusalReason::kDeadlinePassed);
  cr_assert(queue.Queued(Urgency::kNormal) == 0);
}

Test(an_admission_queue, refuses_work_whose_deadline_is_too_near) {
  AdmissionQueue queue;
  FixedCapacity no_room(false);
  FixedCapacity has_room(true);
  // The queue is served once per second.
  for (int i = 0; i < 30; ++i) {
    queue.Offer(Work("q" + std::to_string(i)), no_room, 0, 1);
  }
  for (int i = 1; i <= 10; ++i) {
    queue.Next(has_room, std::int64_t{1'000} * i);
  }
  // The new work must start within two seconds.
  WorkItem work = Work("soon");
  work.deadline_ms = 12'000;
  cr_assert(queue.Offer(work, no_room, 10'000, 1).reason ==
            RefusalReason::kDeadlineTooNear);
}

Test(a_dispatcher, queues_work_without_room_and_sends_it_later) {
  Fleet fleet(1);
  fleet.Teach(Work("r"), 4'000);
  MemoryAwareChooser chooser;
  Dispatcher dispatcher(fleet.state, chooser);
  std::string sent;
  for (int i = 0; i < 10; ++i) {
    const std::string request = "r" + std::to_string(i);
    const DispatchResult answer = dispatcher.Offer(Work(request), 0, 1);
    if (answer.verdict == AdmissionVerdict::kAdmitted) {
      sent = request;
    }
  }
  cr_assert(!sent.empty());
  cr_assert(dispatcher.Queue().Queued(Urgency::kNormal) > 0);
  cr_assert(dispatcher.Drain(10, 1).empty());
  fleet.state.NoteEnded(sent, StreamEnd::kCut, 20);
  cr_assert(dispatcher.Drain(20, 1).size() == 1);
}

}  // namespace
}  // namespace meadowthread
