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
  view.TakeHead(Segment(0, -1, {claim}), 5);
  cr_assert(view.TakeHead(Segment(0, -1, {}), 4) == ShardView::Taken::kStale);
  cr_assert(view.Version() == 5);
  cr_assert(view.Head().entries.size() == 1);
}

Test(a_shard_view, reads_what_others_filled_before_it_judges) {
  ShardView view;
  const ClaimEntry first = Entry(EntryKind::kClaim, 1, 10);
  view.TakeHead(Segment(0, -1, {}), 5);
  view.TakeHead(Segment(1, 10, {}), 9);
  cr_assert(view.MissingFor({1'000, false}) == 0);
  view.TakeArchive(Segment(0, -1, {first}));
  cr_assert(!view.MissingFor({1'000, false}).has_value());
  cr_assert(view.Index().Find({}).standing == KeyStanding::kHeld);
}

Test(a_shard_view, reads_back_to_the_first_stamp_a_key_can_have) {
  ShardView view;
  view.TakeHead(Segment(7, 500, {}), 5);
  cr_assert(!view.MissingFor({501, false}).has_value());
  cr_assert(view.MissingFor({500, false}) == 6);
  cr_assert(view.MissingFor({501, true}) == 6);
}

Test(a_shard_view, folds_segments_read_newest_first) {
  ShardView view;
  view.TakeHead(Segment(2, 30, {Entry(EntryKind::kClaim, 2, 40)}), 5);
  view.TakeArchive(Segment(1, 20, {Entry(EntryKind::kRelease, 1, 30)}));
  view.TakeArchive(Segment(0, -1, {Entry(EntryKind::kClaim, 1, 20)}));
  cr_assert(view.Index().Find({}).nonce[0] == 2);
  {  // and: of two claims the older segment's holds
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
  cr_assert(index.Find({}).standing == KeyStanding::kFree);
}

Test(a_claim_after_another, does_not_hold_the_key) {
  ClaimIndex index;
  index.Add(
      Segment(0, -1,
              {Entry(EntryKind::kClaim, 1, 1), Entry(EntryKind::kClaim, 2, 2),
               Entry(EntryKind::kRelease, 2, 3)}),
      0);
  const KeyState state = index.Find({});
  cr_assert(state.standing == KeyStanding::kHeld && state.nonce[0] == 1);
}

}  // namespace
}  // namespace meadowthread
