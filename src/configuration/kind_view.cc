#include "configuration/kind_view.h"

#include <algorithm>
#include <set>
#include <utility>

#include "configuration/template_object.h"

namespace meadowthread {
namespace {

// Roughly what the other fields of an object take on the wire.
constexpr std::size_t kItemOverheadBytes = 80;

std::size_t WireBytes(const StoredObject& object) {
  return kItemOverheadBytes + object.kind.size() + object.name.size() +
         object.value.size();
}

}  // namespace

bool KindView::Take(const StoredObject& object, bool is_shown_live) {
  if (object.kind != this->kind) {
    return false;
  }
  const auto found = this->objects.find(object.name);
  if (found == this->objects.end()) {
    // An object that was deleted long ago, brought back by a host that slept
    // or by an operator's old copy.
    if (object.version <= this->floor && !is_shown_live) {
      return false;
    }
  } else if (object.version <= found->second.version) {
    return false;
  }
  // Versions are the store's revisions, so that two objects never share one;
  // an offer that says otherwise would corrupt the index.
  if (this->by_version.contains(object.version)) {
    return false;
  }
  if (found != this->objects.end()) {
    this->Forget(object.name);
  }
  // Each change of a template would cost its whole history in every exchange;
  // one earlier version is enough to fall back on.
  const auto placed =
      this->kind == kTemplatesKind
          ? this->objects.emplace(object.name, WithoutOldHistory(object)).first
          : this->objects.emplace(object.name, object).first;
  this->by_version.emplace(object.version, &placed->second);
  this->tombstones += object.deleted ? 1 : 0;
  return true;
}

// The floor may come from a peer whose watch had lost an event; what the
// platform itself shows at or beyond our watermark certainly was not deleted.
void KindView::TakeShown(std::int64_t revision,
                         std::span<const StoredObject> items,
                         std::vector<StoredObject>* changed) {
  const bool is_stale = revision < this->watermark;
  for (const StoredObject& item : items) {
    if (!is_stale && !item.deleted && this->Take(item, true)) {
      changed->push_back(item);
    }
  }
}

bool KindView::TakeWhole(std::int64_t since, std::int64_t revision, bool full,
                         std::span<const StoredObject> items,
                         std::vector<StoredObject>* changed) {
  for (const StoredObject& item : items) {
    if (this->Take(item)) {
      changed->push_back(item);
    }
  }
  // A stale read or an older host's delta says nothing about what is absent.
  const bool is_stale = revision < this->watermark;
  const bool has_gap = !full && since > this->watermark;
  if (is_stale || has_gap) {
    return false;
  }
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
  // A later read that shows less is a stale one and confirms nothing.
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
  // Under the floor tombstones are missing, so that only the whole state shows
  // what was deleted; it can't be cut, as absence must mean something.
  delta.full = since < this->floor;
  std::size_t bytes = 0;
  const std::int64_t after = delta.full ? 0 : since;
  auto next = this->by_version.upper_bound(after);
  for (; next != this->by_version.end(); ++next) {
    const StoredObject& object = *next->second;
    bytes += WireBytes(object);
    if (!delta.full && bytes > limit_bytes && !delta.items.empty()) {
      break;
    }
    delta.items.push_back(object);
  }
  delta.cut = next != this->by_version.end();
  if (delta.cut && next->first <= this->watermark) {
    // Whatever stands at or under the last item's version is in the delta:
    // the receiver goes on from there.
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
    // Newer than the list: it was offered by somebody who saw it accepted.
    const bool is_covered = object.version <= revision;
    if (is_covered && !object.deleted && !present.contains(name)) {
      absent.push_back(name);
    }
  }
  for (const std::string& name : absent) {
    // The deletion's own version is unknown; the list's revision is safe, as
    // the object certainly does not exist at it.
    changed->push_back(StoredObject{this->kind, name, revision, "", true});
    this->Forget(name);
  }
}

void KindView::RaiseFloor(std::int64_t revision) {
  auto next = this->by_version.begin();
  while (next != this->by_version.end() && next->first <= revision) {
    const StoredObject* object = next->second;
    ++next;
    if (object->deleted) {
      this->Forget(std::string(object->name));
    }
  }
  this->floor = std::max(this->floor, revision);
}

void KindView::LimitTombstones() {
  if (this->tombstones <= kMaxTombstones) {
    return;
  }
  // Half at once, so that the scan is paid for by many deletions. A peer that
  // is further behind gets the whole state instead.
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

void KindView::Forget(const std::string& name) {
  const auto found = this->objects.find(name);
  this->by_version.erase(found->second.version);
  this->tombstones -= found->second.deleted ? 1 : 0;
  this->objects.erase(found);
}

}  // namespace meadowthread
