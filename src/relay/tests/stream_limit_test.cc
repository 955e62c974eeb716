// What an engine may send for one attempt of a stream.
#include "relay/stream_limit.h"

#include <criterion/criterion.h>

#include <limits>

namespace meadowthread {
namespace {

RawSseEvent Event(std::size_t bytes) {
  RawSseEvent event;
  event.bytes = std::string(bytes, 'x');
  event.id = 0;
  return event;
}

RawSseEvent Comment(std::size_t bytes) {
  RawSseEvent event = Event(bytes);
  event.id = -1;
  return event;
}

bool AddAll(StreamLimit& limit, const RawSseEvent& event, int count) {
  bool is_within = true;
  for (int n = 0; n < count; ++n) {
    is_within = limit.Add(event);
  }
  return is_within;
}

Test(a_stream_within_its_limit, has_one_event_for_each_token_and_a_few_more) {
  StreamLimit limit(40);
  cr_assert(AddAll(limit, Event(2'000), 40 + 16));
  cr_assert(!limit.Add(Event(10)));
}

Test(a_stream_within_its_limit, may_have_large_events_but_not_many) {
  constexpr std::size_t kMebibyte = std::size_t{1} << 20;
  StreamLimit limit(4);
  cr_assert(!AddAll(limit, Event(kMebibyte), 4));
  StreamLimit longer(4'000);
  cr_assert(AddAll(longer, Event(kMebibyte), 4));
}

Test(a_stream_within_its_limit, may_have_comments_between_events) {
  StreamLimit limit(1'000);
  for (int n = 0; n < 100; ++n) {
    cr_assert(AddAll(limit, Comment(1'000), 60));
    cr_assert(limit.Add(Event(100)));
  }
}

Test(a_stream_of_comments, ends_at_its_limit) {
  StreamLimit limit(1'000);
  cr_assert(!AddAll(limit, Comment(1'000), 70));
}

Test(a_stream_of_unknown_length, is_limited_all_the_same) {
  StreamLimit unknown(0);
  cr_assert(AddAll(unknown, Event(10), 100'000));
  cr_assert(!AddAll(unknown, Event(10), 50'000));
  StreamLimit absurd(std::numeric_limits<std::int64_t>::max());
  cr_assert(!AddAll(absurd, Event(10), 150'000));
}

}  // namespace
}  // namespace meadowthread
