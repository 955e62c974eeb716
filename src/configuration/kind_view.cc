#include "configuration/kind_view.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "configuration/template_object.h"
#include "store/store_revision.h"

namespace meadowthread {
namespace {

// Approximate encoded size of an object's other fields.
constexpr std::size_t kItemOverheadBytes = 80;

std::size_t WireBytes(const StoredObject& object) {
  return kItemOverheadBytes + object.kind.size() + object.name.size() +
         object.value.size();
}

}  // namespace

bool KindView::Apply(const StoredObject& object, bool is_from_store) {
  if (object.kind != this->kind) {
    return false;
  }
  const auto found = this->objects.find(object.name);
  if (found == this->objects.end()) {
    // The object was deleted, and its tombstone discarded. A host that was
    // suspended, or an operator with an old copy, offers it again.
    if (object.version <= this->floor && !is_from_store) {
      return false;
    }
  } else if (object.version <= found->second.version) {
    return false;
  }
  // Versions are store revisions, so two objects never have the same one. An
  // offer that violates this would corrupt the index.
  if (this->by_version.contains(object.version)) {
    return false;
  }
  if (found != this->objects.end()) {
    this->Erase(object.name);
  }
  // With the full history, hosts would exchange all of it on each change of a
  // template. One earlier version is enough as a fallback.
  const auto placed =
      this->kind == kTemplatesKind
          ? this->objects.emplace(object.name, WithoutOldHistory(object)).first
          : this->objects.emplace(object.name, object).first;
  this->by_version.emplace(object.version, &placed->second);
  this->tombstones += object.deleted ? 1 : 0;
  return true;
}

// The floor may come from a peer whose watch lost an event. An object that
// the store itself returns in a read at or above this watermark certainly
// exists.
void KindView::ApplyStoreRead(std::int64_t revision,
                              std::span<const StoredObject> items,
                              std::vector<StoredObject>* changed) {
  const bool is_stale = revision < this->watermark;
  for (const StoredObject& item : items) {
    if (!is_stale && !item.deleted && this->Apply(item, true)) {
      changed->push_back(item);
    }
  }
}

bool KindView::ApplyRange(std::int64_t since, std::int64_t revision, bool full,
                          std::span<const StoredObject> items,
                          std::vector<StoredObject>* changed) {
  for (const StoredObject& item : items) {
    if (this->Apply(item)) {
      changed->push_back(item);
    }
  }
  // A stale read, or a delta from a host that is behind, doesn't show which
  // objects are missing.
  const bool is_stale = revision < this->watermark;
  // Changes since a revision of an earlier era do not show what that era's end
  // has undone.
  const bool crosses_eras = since > 0 && EraOf(since) != EraOf(revision);
  const bool has_gap = !full && (since > this->watermark || crosses_eras);
  if (is_stale || has_gap) {
    return false;
  }
  if (this->watermark > 0 && EraOf(revision) > EraOf(this->watermark)) {
    this->awaits_rewriting = true;
  }
  this->RaiseLatestChange(revision);
  if (full) {
    this->RemoveAbsent(revision, items, changed);
    this->RaiseFloor(revision);
  }
  this->watermark = revision;
  this->LimitTombstones();
  return true;
}

void KindView::Confirm(std::int64_t revision,
                       const Confirmation& confirmation) {
  // A later read at a lower revision is stale and confirms nothing.
  if (revision == this->watermark &&
      confirmation.unix_ms > this->confirmed.unix_ms) {
    this->confirmed = confirmation;
  }
}

ViewDigest KindView::Digest() const {
  return ViewDigest{this->kind, this->watermark, this->confirmed};
}

ViewDelta KindView::DeltaSince(std::int64_t since,
                               std::size_t limit_bytes) const {
  ViewDelta delta;
  delta.kind = this->kind;
  delta.since = since;
  delta.revision = this->watermark;
  delta.confirmed = this->confirmed;
  // Tombstones below the floor are discarded, so only the complete state shows
  // what was deleted. It can't be truncated: the receiver deletes whatever is
  // missing from it.
  delta.full = since < this->floor;
  std::size_t bytes = 0;
  const std::int64_t after = delta.full ? 0 : since;
  auto next = this->by_version.upper_bound(after);
  for (; next != this->by_version.end(); ++next) {
    const StoredObject& object = *next->second;
    // It waits for being written again, and the state as such lacks it.
    if (EraOf(object.version) < EraOf(this->watermark)) {
      continue;
    }
    bytes += WireBytes(object);
    if (!delta.full && bytes > limit_bytes && !delta.items.empty()) {
      break;
    }
    delta.items.push_back(object);
  }
  delta.cut = next != this->by_version.end();
  if (delta.cut && next->first <= this->watermark) {
    // The delta holds every change up to the last item's version; the receiver
    // continues from there.
    delta.revision = delta.items.back().version;
    delta.confirmed = Confirmation{};
  }
  return delta;
}

const StoredObject* KindView::Find(std::string_view name) const {
  const auto found = this->objects.find(name);
  return found == this->objects.end() ? nullptr : &found->second;
}

std::vector<const StoredObject*> KindView::Live() const {
  std::vector<const StoredObject*> live;
  for (const auto& [name, object] : this->objects) {
    if (!object.deleted) {
      live.push_back(&object);
    }
  }
  return live;
}

void KindView::RemoveAbsent(std::int64_t revision,
                            std::span<const StoredObject> items,
                            std::vector<StoredObject>* changed) {
  std::set<std::string_view> present;
  for (const StoredObject& item : items) {
    present.insert(item.name);
  }
  std::vector<std::string> absent;
  for (const auto& [name, object] : this->objects) {
    // An object newer than the list was offered after the store had accepted
    // it, and stays.
    const bool may_be_rewritten =
        this->awaits_rewriting && EraOf(object.version) < EraOf(revision);
    const bool is_covered = object.version <= revision && !may_be_rewritten;
    if (is_covered && !object.deleted && !present.contains(name)) {
      absent.push_back(name);
    }
  }
  for (const std::string& name : absent) {
    // The version of the deletion is unknown. The list's revision is safe, as
    // the object certainly doesn't exist at that revision.
    changed->push_back(StoredObject{this->kind, name, revision, "", true});
    this->Erase(name);
    this->latest_change = revision;
  }
}

void KindView::EndRewriting(std::vector<StoredObject>* changed) {
  this->awaits_rewriting = false;
  std::vector<std::string> missing;
  for (const auto& [name, object] : this->objects) {
    if (!object.deleted && EraOf(object.version) < EraOf(this->watermark)) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    changed->push_back(
        StoredObject{this->kind, name, this->watermark, "", true});
    this->Erase(name);
    this->latest_change = this->watermark;
  }
}

// Called before tombstones are discarded, so that a deletion counts.
void KindView::RaiseLatestChange(std::int64_t revision) {
  const auto next = this->by_version.upper_bound(revision);
  if (next != this->by_version.begin()) {
    this->latest_change = std::max(this->latest_change, std::prev(next)->first);
  }
}

void KindView::RaiseFloor(std::int64_t revision) {
  auto next = this->by_version.begin();
  while (next != this->by_version.end() && next->first <= revision) {
    const StoredObject* object = next->second;
    ++next;
    if (object->deleted) {
      this->Erase(std::string(object->name));
    }
  }
  this->floor = std::max(this->floor, revision);
}

void KindView::LimitTombstones() {
  if (this->tombstones <= kMaxTombstones) {
    return;
  }
  // Drops down to half the limit, so that the cost of the scan is spread over
  // many deletions. A peer that is further behind gets the complete state.
  std::size_t to_drop = this->tombstones - kMaxTombstones / 2;
  std::int64_t last = 0;
  for (const auto& [version, object] : this->by_version) {
    if (to_drop == 0 || version > this->watermark) {
      break;
    }
    if (object->deleted) {
      last = version;
      --to_drop;
    }
  }
  this->RaiseFloor(last);
}

void KindView::Erase(const std::string& name) {
  const auto found = this->objects.find(name);
  this->by_version.erase(found->second.version);
  this->tombstones -= found->second.deleted ? 1 : 0;
  this->objects.erase(found);
}

}  // namespace meadowthread
