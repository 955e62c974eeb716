#include "objects/object_table.h"

#include <algorithm>

namespace meadowthread::standins {
namespace {

// Stale reads never go back further than this.
constexpr std::int64_t kMaxHistoryAgeMs = 600'000;

}  // namespace

std::optional<std::int64_t> ObjectTable::Apply(const ObjectWrite& write,
                                               std::int64_t now_ms) {
  const auto found = this->objects.find(write.key);
  const bool exists =
      found != this->objects.end() && !found->second.back().deleted;
  const std::int64_t current_version =
      exists ? found->second.back().version : 0;
  const bool holds = write.condition.kind == ConditionKind::kAbsent
                         ? !exists
                         : exists && current_version == write.condition.version;
  if (!holds) {
    return std::nullopt;
  }
  History& history = this->objects[write.key];
  Prune(&history, now_ms);
  NamesByRevision& names = this->newest[write.key.kind];
  if (!history.empty()) {
    names.erase(history.back().version);
  }
  ++this->revision;
  names[this->revision] = write.key.name;
  this->write_times_ms.push_back(now_ms);
  history.push_back({this->revision, now_ms, write.value, write.removes});
  return this->revision;
}

std::optional<ObjectVersion> ObjectTable::Get(const ObjectKey& key,
                                              std::int64_t as_of_ms) const {
  const auto found = this->objects.find(key);
  if (found == this->objects.end()) {
    return std::nullopt;
  }
  const ObjectVersion* version = VersionAt(found->second, as_of_ms);
  if (version == nullptr || version->deleted) {
    return std::nullopt;
  }
  return *version;
}

ObjectListing ObjectTable::List(std::string_view kind, std::int64_t since,
                                std::int64_t as_of_ms) const {
  ObjectListing listing;
  listing.revision = this->RevisionAt(as_of_ms);
  // Every watch lists after each write, so avoid a full scan where possible.
  if (since > 0 && listing.revision == this->revision) {
    this->ListByRevision(kind, since, &listing);
  } else {
    this->ListByScan(kind, since, as_of_ms, &listing);
  }
  return listing;
}

void ObjectTable::ListByScan(std::string_view kind, std::int64_t since,
                             std::int64_t as_of_ms,
                             ObjectListing* listing) const {
  const ObjectKey first{std::string(kind), ""};
  for (auto entry = this->objects.lower_bound(first);
       entry != this->objects.end() && entry->first.kind == kind; ++entry) {
    const ObjectVersion* version = VersionAt(entry->second, as_of_ms);
    const bool changed = version != nullptr && version->version > since;
    if (changed && (since > 0 || !version->deleted)) {
      listing->items.push_back({entry->first, *version});
    }
  }
}

void ObjectTable::ListByRevision(std::string_view kind, std::int64_t since,
                                 ObjectListing* listing) const {
  const auto names = this->newest.find(kind);
  if (names == this->newest.end()) {
    return;
  }
  for (auto entry = names->second.upper_bound(since);
       entry != names->second.end(); ++entry) {
    const ObjectKey key{std::string(kind), entry->second};
    listing->items.push_back({key, this->objects.at(key).back()});
  }
  // Sorted by name, as ListByScan returns them.
  std::sort(listing->items.begin(), listing->items.end(),
            [](const ListedObject& a, const ListedObject& b) {
              return a.key < b.key;
            });
}

bool ObjectTable::IsTooOld(std::int64_t since) const {
  const std::int64_t oldest = std::max(
      this->compacted_revision, this->revision - this->history_revisions);
  return since > 0 && since < oldest;
}

const ObjectVersion* ObjectTable::VersionAt(const History& history,
                                            std::int64_t as_of_ms) {
  for (auto version = history.rbegin(); version != history.rend(); ++version) {
    if (version->written_ms <= as_of_ms) {
      return &*version;
    }
  }
  return nullptr;
}

std::int64_t ObjectTable::RevisionAt(std::int64_t as_of_ms) const {
  const auto after = std::upper_bound(this->write_times_ms.begin(),
                                      this->write_times_ms.end(), as_of_ms);
  return after - this->write_times_ms.begin();
}

void ObjectTable::Prune(History* history, std::int64_t now_ms) {
  const auto fresh = std::find_if(
      history->begin(), history->end(), [now_ms](const ObjectVersion& version) {
        return version.written_ms > now_ms - kMaxHistoryAgeMs;
      });
  // Keep the newest of the old versions: the oldest allowed read still sees it.
  if (fresh - history->begin() > 1) {
    history->erase(history->begin(), fresh - 1);
  }
}

}  // namespace meadowthread::standins
