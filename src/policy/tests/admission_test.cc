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

class Switch final : public CapacityProbe {
 public:
  explicit Switch(bool open) : open(open) {}
  bool Fits(const WorkItem&) override { return this->open; }
  bool open;
};

WorkItem WorkOf(const std::string& request, const std::string& workspace,
                Urgency urgency = Urgency::kNormal) {
  WorkItem work = Work(request, urgency);
  work.workspace = workspace;
  work.expected_tokens = 100;
  return work;
}

Test(an_admission_queue, lets_work_through_while_there_is_room) {
  AdmissionQueue queue;
  Switch open(true);
  const AdmissionAnswer answer = queue.Offer(Work("a"), open, 0, 1);
  cr_assert(answer.verdict == AdmissionVerdict::kAdmitted);
}

Test(an_admission_queue, queues_and_takes_urgent_work_first) {
  AdmissionQueue queue;
  Switch shut(false);
  queue.Offer(Work("batch", Urgency::kBatch), shut, 0, 1);
  queue.Offer(Work("normal"), shut, 0, 1);
  queue.Offer(Work("urgent", Urgency::kUrgent), shut, 0, 1);
  Switch open(true);
  // Work that comes later does not overtake what waits.
  cr_assert(queue.Offer(Work("late"), open, 0, 1).verdict ==
            AdmissionVerdict::kQueued);
  cr_assert(queue.Next(open, 1)->request == "urgent");
  cr_assert(queue.Next(open, 1)->request == "normal");
  cr_assert(queue.Next(open, 1)->request == "late");
  cr_assert(queue.Next(open, 1)->request == "batch");
  cr_assert(!queue.Next(open, 1).has_value());
}

Test(an_admission_queue, shares_turns_between_workspaces) {
  AdmissionQueue queue;
  Switch shut(false);
  for (int i = 0; i < 50; ++i) {
    queue.Offer(WorkOf("big" + std::to_string(i), "big"), shut, 0, 1);
  }
  for (int i = 0; i < 5; ++i) {
    queue.Offer(WorkOf("small" + std::to_string(i), "small"), shut, 0, 1);
  }
  Switch open(true);
  int small = 0;
  for (int i = 0; i < 10; ++i) {
    small += queue.Next(open, 1)->workspace == "small" ? 1 : 0;
  }
  cr_assert(small == 5);
}

Test(an_admission_queue, is_bounded_and_refuses_with_a_spread_time) {
  AdmissionOptions options;
  options.max_queued = {2, 2, 2};
  options.workspace_share = 1.0;
  AdmissionQueue queue(options);
  Switch shut(false);
  queue.Offer(Work("a"), shut, 0, 1);
  queue.Offer(Work("b"), shut, 0, 1);
  std::set<std::int64_t> times;
  for (std::uint64_t i = 0; i < 16; ++i) {
    const AdmissionAnswer answer = queue.Offer(Work("c"), shut, 0, i << 60U);
    cr_assert(answer.verdict == AdmissionVerdict::kRefused);
    cr_assert(answer.reason == RefusalReason::kQueueFull);
    times.insert(answer.retry_after_ms);
  }
  cr_assert(times.size() == 16);
}

Test(an_admission_queue, keeps_places_for_other_workspaces) {
  AdmissionOptions options;
  options.max_queued = {8, 8, 8};
  AdmissionQueue queue(options);
  Switch shut(false);
  RefusalReason last = RefusalReason::kNone;
  for (int i = 0; i < 8; ++i) {
    last = queue.Offer(WorkOf(std::to_string(i), "big"), shut, 0, 1).reason;
  }
  cr_assert(last == RefusalReason::kWorkspaceShare);
  cr_assert(queue.QueuedOf(Urgency::kNormal, "big") == 4);
  cr_assert(queue.Offer(WorkOf("s", "small"), shut, 0, 1).verdict ==
            AdmissionVerdict::kQueued);
}

Test(an_admission_queue, gives_up_at_once_when_a_deadline_comes) {
  AdmissionQueue queue;
  Switch shut(false);
  WorkItem work = Work("a");
  work.deadline_ms = 100;
  queue.Offer(work, shut, 0, 1);
  cr_assert(queue.Expire(99, 1).empty());
  const std::vector<GivenUp> given_up = queue.Expire(100, 1);
  cr_assert(given_up.size() == 1);
  cr_assert(given_up[0].reason == RefusalReason::kDeadlinePassed);
  cr_assert(queue.Queued(Urgency::kNormal) == 0);
}

Test(an_admission_queue, refuses_what_it_would_not_reach_in_time) {
  AdmissionQueue queue;
  Switch shut(false);
  Switch open(true);
  // given a queue that is emptied at one a second
  for (int i = 0; i < 30; ++i) {
    queue.Offer(Work("q" + std::to_string(i)), shut, 0, 1);
  }
  for (int i = 1; i <= 10; ++i) {
    queue.Next(open, std::int64_t{1'000} * i);
  }
  // when work comes that must start within two seconds
  WorkItem work = Work("soon");
  work.deadline_ms = 12'000;
  cr_assert(queue.Offer(work, shut, 10'000, 1).reason ==
            RefusalReason::kDeadlineTooNear);
}

Test(a_dispatcher, queues_what_has_no_room_and_sends_it_later) {
  Fleet fleet(1);
  fleet.Teach(Work("r"), 4'000);
  MemoryAwareChooser chooser;
  Dispatcher dispatcher(fleet.state, chooser);
  std::string sent;
  for (int i = 0; i < 10; ++i) {
    const std::string request = "r" + std::to_string(i);
    const DispatchAnswer answer = dispatcher.Offer(Work(request), 0, 1);
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
