// The memory of the answers that a host holds until they are complete.
#include "relay/answer_memory.h"

#include <criterion/criterion.h>

#include <string>

namespace meadowthread {
namespace {

constexpr std::size_t kNoLimit = 1'000'000;

struct HeldAnswersFixture {
  HeldAnswersFixture() { this->memory.SetLimit(1'000); }

  static std::string Bytes(std::size_t count) {
    return std::string(count, 'x');
  }

  AnswerMemory memory;
  int first_dropped = 0;
  int second_dropped = 0;
  HeldAnswer first{this->memory, [this] { ++this->first_dropped; }};
  HeldAnswer second{this->memory, [this] { ++this->second_dropped; }};
};

Test(a_held_answer, counts_until_it_is_taken_or_gone) {
  HeldAnswersFixture fixture;
  fixture.first.Append("abc", kNoLimit);
  {
    HeldAnswer gone(fixture.memory, [] {});
    gone.Append("de", kNoLimit);
    cr_assert(fixture.memory.HeldBytes() == 5);
  }
  cr_assert(fixture.memory.HeldBytes() == 3);
  cr_assert(fixture.first.Take() == "abc");
  cr_assert(fixture.memory.HeldBytes() == 0);
}

Test(a_held_answer, ends_beyond_its_own_limit) {
  HeldAnswersFixture fixture;
  cr_assert(fixture.first.Append("abc", 3) == AppendResult::kAppended);
  cr_assert(fixture.first.Append("d", 3) == AppendResult::kTooLong);
}

Test(held_answers_beyond_the_memory, drop_the_longest_for_a_shorter_one) {
  HeldAnswersFixture fixture;
  fixture.first.Append(HeldAnswersFixture::Bytes(900), kNoLimit);
  cr_assert(fixture.second.Append(HeldAnswersFixture::Bytes(200), kNoLimit) ==
            AppendResult::kAppended);
  cr_assert(fixture.first_dropped == 1 && fixture.first.Size() == 0);
  cr_assert(fixture.memory.HeldBytes() == 200);
}

Test(held_answers_beyond_the_memory, end_the_one_that_is_the_longest_itself) {
  HeldAnswersFixture fixture;
  fixture.first.Append(HeldAnswersFixture::Bytes(300), kNoLimit);
  cr_assert(fixture.second.Append(HeldAnswersFixture::Bytes(800), kNoLimit) ==
            AppendResult::kNoMemory);
  cr_assert(fixture.first_dropped == 0 && fixture.second_dropped == 0);
  cr_assert(fixture.memory.HeldBytes() == 300);
}

}  // namespace
}  // namespace meadowthread
