#include "exchange/replicated_source.h"

#include <algorithm>
#include <array>

namespace meadowthread {
namespace {

// Sent first when bytes are scarce, most important first.
constexpr std::array<std::string_view, 2> kUrgentKinds = {kMarksKind,
                                                          "ownership"};

std::ptrdiff_t RankOf(std::string_view kind) {
  return std::find(kUrgentKinds.begin(), kUrgentKinds.end(), kind) -
         kUrgentKinds.begin();
}

}  // namespace

ReplicatedSource::ReplicatedSource(ReplicatedView& replicated_view)
    : view(replicated_view) {
  this->view.AddListener([this](const ViewChange& change) {
    this->changed_objects += static_cast<int>(change.items.size());
  });
}

std::vector<KindDigest> ReplicatedSource::Digests() const {
  std::vector<KindDigest> digests;
  for (const ViewDigest& digest : this->view.Digests()) {
    digests.push_back(KindDigest{digest.kind, digest.revision,
                                 digest.confirmed.unix_ms, digest.confirmed.by,
                                 0});
  }
  std::stable_sort(digests.begin(), digests.end(),
                   [](const KindDigest& left, const KindDigest& right) {
                     return RankOf(left.kind) < RankOf(right.kind);
                   });
  return digests;
}

KindDelta ReplicatedSource::DeltaSince(std::string_view kind,
                                       std::int64_t revision,
                                       std::size_t limit_bytes) const {
  ViewDelta known = this->view.DeltaSince(kind, revision, limit_bytes);
  KindDelta delta;
  delta.kind = std::move(known.kind);
  delta.since = known.since;
  delta.revision = known.revision;
  delta.full = known.full;
  delta.cut = known.revision < this->view.Digest(kind).revision;
  delta.confirmed_unix_ms = known.confirmed.unix_ms;
  delta.confirmed_by = std::move(known.confirmed.by);
  delta.items = std::move(known.items);
  return delta;
}

int ReplicatedSource::Apply(std::string_view /*from*/, const KindDigest& digest,
                            const KindDelta& delta) {
  const int before = this->changed_objects;
  if (delta.since > 0 || delta.revision > 0 || !delta.items.empty()) {
    ViewDelta known;
    known.kind = delta.kind;
    known.since = delta.since;
    known.revision = delta.revision;
    known.full = delta.full;
    known.cut = delta.cut;
    known.confirmed = {delta.confirmed_unix_ms, delta.confirmed_by};
    known.items = delta.items;
    this->view.ApplyDelta(known);
  }
  this->view.ApplyDigest(
      ViewDigest{digest.kind,
                 digest.revision,
                 {digest.confirmed_unix_ms, digest.confirmed_by}});
  return this->changed_objects - before;
}

int ReplicatedSource::Offer(std::span<const StoredObject> items) {
  return this->view.ApplyItems(items);
}

}  // namespace meadowthread
