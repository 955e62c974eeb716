#include "exchange/view_synchronizer.h"

#include <xxhash.h>

#include <algorithm>

namespace meadowthread {
namespace {

constexpr std::size_t kItemOverheadBytes = 48;
constexpr std::size_t kSmallStateBytes = std::size_t{8} << 10;
constexpr std::size_t kBeyondLimitBytes = std::size_t{64} << 10;

// Where gossip was faster, the peer has the objects, and only does not know yet
// that there are no others up to the delta's revision.
void RemoveKnown(const KindDigest& theirs, KindDelta* delta) {
  if (delta->full) {
    return;
  }
  const std::vector<std::int64_t>& known = theirs.beyond_versions;
  std::erase_if(delta->items, [&known](const StoredObject& item) {
    return std::binary_search(known.begin(), known.end(), item.version);
  });
}

}  // namespace

std::vector<KindUpdate> ViewSynchronizer::Digests() {
  std::vector<KindUpdate> parts;
  for (KindDigest& digest : this->source.Digests()) {
    const ObjectsBeyond& beyond = this->BeyondOf(digest);
    digest.beyond = beyond.fingerprint;
    digest.beyond_versions = beyond.versions;
    parts.push_back(KindUpdate{std::move(digest), std::nullopt, false});
  }
  return parts;
}

std::vector<KindUpdate> ViewSynchronizer::UpdatesFor(
    std::span<const KindUpdate> peer, ItemLimits limits) {
  std::vector<KindUpdate> parts = this->Digests();
  for (KindUpdate& part : parts) {
    const KindUpdate* const theirs = detail::FindKind(peer, part.digest.kind);
    if (theirs == nullptr || limits.items == 0) {
      continue;
    }
    this->AddDelta(theirs->digest, limits, &part);
    if (part.delta.has_value()) {
      limits.items -= std::min(limits.items, detail::SizeOf(part.delta->items));
    }
  }
  return parts;
}

void ViewSynchronizer::AddDelta(const KindDigest& theirs,
                                const ItemLimits& limits,
                                KindUpdate* part) const {
  const KindDigest& own = part->digest;
  if (theirs.revision == own.revision && theirs.beyond == own.beyond) {
    return;
  }
  KindDelta delta =
      this->source.DeltaSince(own.kind, theirs.revision, limits.items);
  RemoveKnown(theirs, &delta);
  if (delta.items.empty() && delta.revision <= theirs.revision) {
    return;
  }
  // A host that has just read the full state can't build a small delta, even
  // for a peer that is only slightly behind. Such a peer gets its few items
  // from other hosts.
  const bool is_new = theirs.revision == 0;
  const std::size_t limit =
      is_new ? limits.whole_state : std::min(limits.items, kSmallStateBytes);
  if (delta.full && detail::SizeOf(delta.items) > limit) {
    part->full_state_required = !is_new;
    return;
  }
  part->delta = std::move(delta);
}

ApplyResult ViewSynchronizer::Apply(std::string_view from,
                                    std::span<const KindUpdate> views) {
  ApplyResult result;
  for (const KindUpdate& view : views) {
    KindDelta nothing;
    nothing.kind = view.digest.kind;
    const KindDelta& delta = view.delta.has_value() ? *view.delta : nothing;
    const int taken = this->source.Apply(from, view.digest, delta);
    result.cut = result.cut || delta.cut;
    result.taken += taken;
    if (taken > 0) {
      result.changed_kinds.push_back(view.digest.kind);
    }
  }
  for (const KindDigest& digest : this->source.Digests()) {
    const KindUpdate* const theirs = detail::FindKind(views, digest.kind);
    const std::int64_t known = theirs == nullptr ? 0 : theirs->digest.revision;
    result.caught_up = result.caught_up && digest.revision >= known;
  }
  if (result.taken > 0) {
    this->NoteChange();
  }
  return result;
}

// Objects above the digest's revision were pushed by peers. Without their
// fingerprint, two hosts at the same revision could not tell that both have
// them, and would send them to each other in each round.
const ViewSynchronizer::ObjectsBeyond& ViewSynchronizer::BeyondOf(
    const KindDigest& digest) {
  ObjectsBeyond& known = this->beyond[digest.kind];
  if (known.revision == digest.revision && known.changes == this->changes) {
    return known;
  }
  known = ObjectsBeyond{digest.revision, this->changes, 0, {}};
  const KindDelta delta =
      this->source.DeltaSince(digest.kind, digest.revision, kBeyondLimitBytes);
  for (const StoredObject& item : delta.items) {
    known.fingerprint ^= XXH64(item.name.data(), item.name.size(),
                               static_cast<XXH64_hash_t>(item.version));
    if (known.versions.size() < kMaxBeyondVersions) {
      known.versions.push_back(item.version);
    }
  }
  return known;
}

namespace detail {

std::size_t SizeOf(std::span<const StoredObject> items) {
  std::size_t bytes = 0;
  for (const StoredObject& item : items) {
    bytes += item.name.size() + item.value.size() + kItemOverheadBytes;
  }
  return bytes;
}

const KindUpdate* FindKind(std::span<const KindUpdate> views,
                           std::string_view kind) {
  const auto found = std::find_if(
      views.begin(), views.end(),
      [kind](const KindUpdate& view) { return view.digest.kind == kind; });
  return found == views.end() ? nullptr : &*found;
}

}  // namespace detail
}  // namespace meadowthread
