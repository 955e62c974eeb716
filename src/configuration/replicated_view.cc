#include "configuration/replicated_view.h"

#include "base/log_line.h"
#include "store/store_revision.h"

namespace meadowthread {

ReplicatedView::ReplicatedView(const Clock& clock,
                               std::span<const std::string_view> kinds)
    : clock(clock) {
  for (const std::string_view kind : kinds) {
    this->kinds.emplace(std::string(kind), KindView(kind));
  }
}

void ReplicatedView::AddListener(const Listener& listener) {
  this->listeners.push_back(listener);
}

bool ReplicatedView::ApplyList(std::string_view kind, std::int64_t since,
                               const ObjectList& list,
                               const Confirmation& confirmation) {
  ViewDelta delta;
  delta.kind = std::string(kind);
  delta.since = since;
  delta.revision = list.revision;
  delta.full = since == 0;
  delta.confirmed = confirmation;
  delta.items = list.items;
  if (KindView* view = this->KindOf(kind); view != nullptr) {
    std::vector<StoredObject> changed;
    view->ApplyStoreRead(list.revision, list.items, &changed);
    this->NotifyListeners(kind, changed);
  }
  return this->ApplyDelta(delta);
}

bool ReplicatedView::ApplyDelta(const ViewDelta& delta) {
  KindView* view = this->KindOf(delta.kind);
  if (view == nullptr) {
    return false;
  }
  std::vector<StoredObject> changed;
  const std::int64_t before = view->Digest().revision;
  const bool reached_revision = view->ApplyRange(
      delta.since, delta.revision, delta.full, delta.items, &changed);
  if (reached_revision) {
    this->Confirm(view, delta.revision, delta.confirmed);
    if (before > 0 && EraOf(delta.revision) > EraOf(before)) {
      this->BeginRewriting(delta, before);
    }
  }
  this->NotifyListeners(delta.kind, changed);
  return reached_revision;
}

void ReplicatedView::BeginRewriting(const ViewDelta& delta,
                                    std::int64_t before) {
  LogLine("view-enters-era")
      .Add("kind", delta.kind)
      .Add("before", RevisionText(before))
      .Add("revision", RevisionText(delta.revision))
      .Add("read_by", delta.confirmed.by)
      .Add("items", delta.items.size())
      .WriteImportant();
  this->rewriting_ends_ms[delta.kind] =
      this->clock.MonotonicMs() + kRewritingMs;
  for (const auto& listener : this->era_listeners) {
    listener(delta.kind);
  }
}

void ReplicatedView::EndRewriting() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<std::string> over;
  for (const auto& [kind, ends_ms] : this->rewriting_ends_ms) {
    if (ends_ms <= now_ms) {
      over.push_back(kind);
    }
  }
  for (const std::string& kind : over) {
    this->rewriting_ends_ms.erase(kind);
    std::vector<StoredObject> removed;
    this->KindOf(kind)->EndRewriting(&removed);
    LogLine("view-rewriting-ends")
        .Add("kind", kind)
        .Add("removed", removed.size())
        .WriteImportant();
    this->NotifyListeners(kind, removed);
  }
}

int ReplicatedView::ApplyItems(std::span<const StoredObject> items) {
  std::map<std::string_view, std::vector<StoredObject>> changed;
  int stored = 0;
  for (const StoredObject& item : items) {
    KindView* view = this->KindOf(item.kind);
    if (view != nullptr && view->Apply(item)) {
      changed[item.kind].push_back(item);
      ++stored;
    }
  }
  for (const auto& [kind, objects] : changed) {
    this->NotifyListeners(kind, objects);
  }
  return stored;
}

void ReplicatedView::ApplyDigest(const ViewDigest& digest) {
  KindView* view = this->KindOf(digest.kind);
  if (view != nullptr) {
    this->Confirm(view, digest.revision, digest.confirmed);
  }
}

const StoredObject* ReplicatedView::Find(std::string_view kind,
                                         std::string_view name) const {
  const KindView* view = this->KindOf(kind);
  const StoredObject* object = view == nullptr ? nullptr : view->Find(name);
  return object != nullptr && object->deleted ? nullptr : object;
}

std::vector<const StoredObject*> ReplicatedView::Live(
    std::string_view kind) const {
  const KindView* view = this->KindOf(kind);
  return view == nullptr ? std::vector<const StoredObject*>() : view->Live();
}

ViewDigest ReplicatedView::Digest(std::string_view kind) const {
  const KindView* view = this->KindOf(kind);
  return view == nullptr ? ViewDigest{std::string(kind), 0, {}}
                         : view->Digest();
}

std::int64_t ReplicatedView::LatestChange(std::string_view kind) const {
  const KindView* view = this->KindOf(kind);
  return view == nullptr ? 0 : view->LatestChange();
}

std::vector<ViewDigest> ReplicatedView::Digests() const {
  std::vector<ViewDigest> digests;
  for (const auto& [kind, view] : this->kinds) {
    digests.push_back(view.Digest());
  }
  return digests;
}

ViewDelta ReplicatedView::DeltaSince(std::string_view kind,
                                     std::int64_t revision,
                                     std::size_t limit_bytes) const {
  const KindView* view = this->KindOf(kind);
  if (view != nullptr) {
    return view->DeltaSince(revision, limit_bytes);
  }
  ViewDelta nothing;
  nothing.kind = std::string(kind);
  nothing.since = revision;
  return nothing;
}

KindView* ReplicatedView::KindOf(std::string_view kind) {
  const auto found = this->kinds.find(kind);
  return found == this->kinds.end() ? nullptr : &found->second;
}

const KindView* ReplicatedView::KindOf(std::string_view kind) const {
  const auto found = this->kinds.find(kind);
  return found == this->kinds.end() ? nullptr : &found->second;
}

void ReplicatedView::Confirm(KindView* view, std::int64_t revision,
                             const Confirmation& confirmation) {
  // Otherwise a peer whose clock is ahead would make every view look fresh
  // indefinitely.
  if (confirmation.unix_ms <= this->clock.WallMs() + kMaxClockSkewMs) {
    view->Confirm(revision, confirmation);
  }
}

void ReplicatedView::NotifyListeners(std::string_view kind,
                                     std::span<const StoredObject> changed) {
  if (changed.empty()) {
    return;
  }
  for (const Listener& listener : this->listeners) {
    listener(ViewChange{kind, changed});
  }
}

}  // namespace meadowthread
