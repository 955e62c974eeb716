#include "claims/shard_view.h"

#include <criterion/criterion.h>

#include "claims/claim_key.h"

namespace meadowthread {
namespace {

ClaimEntry Entry(EntryKind kind, std::uint8_t nonce, std::int64_t unix_ms) {
  ClaimEntry entry;
  entry.kind = kind;
  entry.nonce[0] = nonce;
  entry.unix_ms = unix_ms;
  return entry;
}

ClaimSegment Segment(std::int64_t number, std::int64_t prior_ms,
                     const std::vector<ClaimEntry>& entries) {
  ClaimSegment segment;
  segment.number = number;
  segment.prior_ms = prior_ms;
  segment.entries = entries;
  return segment;
}

Test(a_shard_view, never_goes_back_to_an_older_version) {
  ShardView view;
  const ClaimEntry claim = Entry(EntryKind::kClaim, 1, 10);
  view.ApplyHead(Segment(0, -1, {claim}), 5);
  cr_assert(view.ApplyHead(Segment(0, -1, {}), 4) ==
            ShardView::HeadUpdate::kStale);
  cr_assert(view.Version() == 5);
  cr_assert(view.Head().entries.size() == 1);
}

Test(a_shard_view, needs_the_segments_that_other_hosts_filled) {
  ShardView view;
  const ClaimEntry first = Entry(EntryKind::kClaim, 1, 10);
  view.ApplyHead(Segment(0, -1, {}), 5);
  view.ApplyHead(Segment(1, 10, {}), 9);
  cr_assert(view.NextSegmentToRead({1'000, false}) == 0);
  view.AddArchivedSegment(Segment(0, -1, {first}));
  cr_assert(!view.NextSegmentToRead({1'000, false}).has_value());
  cr_assert(view.Index().Find({}).status == KeyStatus::kHeld);
}

Test(a_shard_view, needs_segments_back_to_the_start_of_a_keys_range) {
  ShardView view;
  view.ApplyHead(Segment(7, 500, {}), 5);
  cr_assert(!view.NextSegmentToRead({501, false}).has_value());
  cr_assert(view.NextSegmentToRead({500, false}) == 6);
  cr_assert(view.NextSegmentToRead({501, true}) == 6);
}

Test(a_shard_view, accepts_archived_segments_newest_first) {
  ShardView view;
  view.ApplyHead(Segment(2, 30, {Entry(EntryKind::kClaim, 2, 40)}), 5);
  view.AddArchivedSegment(Segment(1, 20, {Entry(EntryKind::kRelease, 1, 30)}));
  view.AddArchivedSegment(Segment(0, -1, {Entry(EntryKind::kClaim, 1, 20)}));
  cr_assert(view.Index().Find({}).nonce[0] == 2);
  {  // and: of two claims, the one in the older segment holds the key
    ClaimIndex index;
    index.Add(Segment(1, 20, {Entry(EntryKind::kClaim, 2, 30)}), 0);
    index.Add(Segment(0, -1, {Entry(EntryKind::kClaim, 1, 20)}), 0);
    cr_assert(index.Find({}).nonce[0] == 1);
  }
}

Test(a_released_nonce, does_not_hold_the_key_again) {
  ClaimIndex index;
  index.Add(
      Segment(0, -1,
              {Entry(EntryKind::kClaim, 1, 1), Entry(EntryKind::kRelease, 1, 2),
               Entry(EntryKind::kClaim, 1, 3)}),
      0);
  cr_assert(index.Find({}).status == KeyStatus::kFree);
}

Test(a_second_claim, does_not_hold_the_key) {
  ClaimIndex index;
  index.Add(
      Segment(0, -1,
              {Entry(EntryKind::kClaim, 1, 1), Entry(EntryKind::kClaim, 2, 2),
               Entry(EntryKind::kRelease, 2, 3)}),
      0);
  const KeyState state = index.Find({});
  cr_assert(state.status == KeyStatus::kHeld && state.nonce[0] == 1);
}

}  // namespace
}  // namespace meadowthread
