#include "relay/backend_list.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// Servers that have said that they leave are remembered for longer than their
// entries may be missing: as many as leave in several minutes.
constexpr std::size_t kMaxSaidLeaving = 1'024;

// Removed servers stay known for longer than any generation that may still
// finish there.
constexpr std::int64_t kGoneRetentionMs = 60'000;
// An entry of a dead server that an older copy of the store has brought back
// expires within this time: three heartbeats of 1.2 s, and the time until the
// removal is known.
constexpr std::int64_t kCopyExpiryMs = 5'000;
// Logged as the start time of a server that does not report one.
constexpr std::int64_t kUnknownStart = -1;

std::string KeyOf(const BackendEntry& entry) {
  return entry.started_ms.has_value()
             ? absl::StrCat(entry.id, "/", *entry.started_ms)
             : entry.id;
}

// Whether the entry of a removed server is back although the server has not
// written it.
bool IsBackFromCopy(const Backend& known, const BackendEntry& entry) {
  const bool was_written = entry.sequence.has_value() &&
                           known.entry.sequence.has_value() &&
                           *entry.sequence > *known.entry.sequence;
  return !known.listed && entry.era > known.entry.era && !was_written;
}

}  // namespace

bool AreDifferentStarts(std::optional<std::int64_t> one,
                        std::optional<std::int64_t> other) {
  return one.has_value() && other.has_value() && *one != *other;
}

Backend* BackendList::FindMutable(std::string_view id) {
  return const_cast<Backend*>(std::as_const(*this).FindById(id));
}

// An entry with an earlier start than the listed one is either an update that
// arrived late or a sign that the server's clock was set back; the two can't be
// told apart here. Once the entry with the later start has been removed, the
// order of updates in the store alone decides.
bool BackendList::IgnoresOlderStart(Backend* known,
                                    const BackendEntry& entry) const {
  const bool is_older = known->listed && entry.started_ms.has_value() &&
                        known->entry.started_ms.has_value() &&
                        *entry.started_ms < *known->entry.started_ms;
  if (is_older && known->ignored_start_ms != entry.started_ms) {
    known->ignored_start_ms = entry.started_ms;
    LogLine("backend")
        .Add("id", entry.id)
        .Add("change", "older_start_passed_over")
        .Add("started_ms", *entry.started_ms)
        .Add("listed_ms", *known->entry.started_ms)
        .WriteImportant();
  }
  return is_older;
}

// Listeners drop what they keep under the old key before the next start is
// added. If the new entry has a later start, the previous one has ended. If it
// has an earlier start, accepted because the known entry had been removed, runs
// may still be in progress at the known start.
void BackendList::ReplaceStart(const std::string& key,
                               const BackendEntry& next) {
  const auto found = this->backends.find(key);
  Backend gone = found->second;
  gone.started_again = *next.started_ms > *gone.entry.started_ms;
  gone.listed = false;
  gone.leaving = true;
  this->keys.erase(gone.entry.id);
  this->backends.erase(found);
  LogLine("backend")
      .Add("id", gone.entry.id)
      .Add("change", gone.started_again ? "started_again" : "start_put_back")
      .Add("started_ms", *next.started_ms)
      .Add("before_ms", *gone.entry.started_ms)
      .WriteImportant();
  this->NotifyListeners(BackendChange::kGone, gone);
}

void BackendList::UpdateEntry(const std::string& key, const BackendEntry& entry,
                              Backend* backend) {
  const std::optional<std::int64_t> known_start_ms = backend->entry.started_ms;
  backend->key = key;
  backend->entry = entry;
  if (!entry.started_ms.has_value()) {
    backend->entry.started_ms = known_start_ms;
  }
  backend->listed = true;
  backend->vanished_ms.reset();
  backend->warm_at_ms = this->clock.MonotonicMs() + entry.slow_for_ms;
  backend->emptied_ms = this->EmptiedSince(entry.zone);
  backend->version_excluded = this->IsExcluded(entry);
  const auto region = this->regions.find(entry.zone);
  backend->region = region == this->regions.end() ? "" : region->second;
}

void BackendList::Set(const BackendEntry& entry) {
  Backend* known = this->FindMutable(entry.id);
  if (known != nullptr && this->IgnoresOlderStart(known, entry)) {
    return;
  }
  if (known != nullptr &&
      AreDifferentStarts(entry.started_ms, known->entry.started_ms)) {
    this->ReplaceStart(std::string(known->key), entry);
    known = nullptr;
  }
  const bool is_new = known == nullptr;
  const std::string key = is_new ? KeyOf(entry) : known->key;
  this->keys[entry.id] = key;
  Backend& backend = this->backends[key];
  const bool was_leaving = backend.leaving;
  backend.is_from_copy = !is_new && IsBackFromCopy(backend, entry);
  if (!is_new && backend.entry.leaving && entry.era > backend.entry.era) {
    this->RememberLeaving(key);
  }
  const bool was_named = std::exchange(backend.entry_valid, true);
  this->UpdateEntry(key, entry, &backend);
  if (is_new) {
    backend.reported_leaving = this->HasSaidLeaving(key);
    backend.leaving = backend.reported_leaving;
    LogLine("backend")
        .Add("id", entry.id)
        .Add("service", entry.service)
        .Add("address", entry.address)
        .Add("change", "added")
        .Add("started_ms", entry.started_ms.value_or(kUnknownStart))
        .WriteImportant();
    this->NotifyListeners(BackendChange::kAdded, backend);
  }
  if (!was_named) {
    LogLine("backend")
        .Add("id", entry.id)
        .Add("change", "named_again")
        .WriteImportant();
  }
  if (entry.leaving && !was_leaving) {
    this->MarkLeaving(&backend, "draining");
    return;
  }
  if (backend.is_from_copy) {
    this->ReviewCopyLater(key);
    return;
  }
  // An entry that is listed again shows that its server is live. What the
  // server has said before still holds.
  backend.leaving = entry.leaving || this->HasSaidLeaving(key);
  if (!is_new) {
    this->NotifyListeners(BackendChange::kChanged, backend);
  }
}

bool BackendList::Remove(std::string_view id) {
  Backend* const found = this->FindMutable(id);
  if (found == nullptr || !found->listed) {
    return false;
  }
  Backend& backend = *found;
  backend.listed = false;
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const std::int64_t until_ms = this->grace.GraceEndsMs(now_ms, now_ms);
  if (until_ms <= now_ms || backend.entry.leaving) {
    this->MarkLeaving(&backend, "removed");
    this->ScheduleRemoval(backend.key);
    return false;
  }
  backend.vanished_ms = now_ms;
  LogLine("backend")
      .Add("id", id)
      .Add("change", "lapsed")
      .Add("counts_ms", until_ms - now_ms)
      .WriteImportant();
  this->ScheduleReview(until_ms - now_ms);
  return true;
}

void BackendList::ScheduleReview(std::int64_t delay_ms) {
  this->scheduler.After(
      delay_ms, this->life.Guarded([this] { this->ReviewGracePeriods(); }));
}

bool BackendList::HasEntryInGrace() const {
  return std::any_of(
      this->backends.begin(), this->backends.end(),
      [](const auto& entry) { return entry.second.vanished_ms.has_value(); });
}

void BackendList::ReviewGracePeriods() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<std::string> gone;
  for (const auto& [key, backend] : this->backends) {
    if (!backend.vanished_ms.has_value()) {
      continue;
    }
    const std::int64_t until_ms =
        this->grace.GraceEndsMs(*backend.vanished_ms, now_ms);
    if (until_ms <= now_ms) {
      gone.push_back(key);
    } else {
      this->ScheduleReview(until_ms - now_ms);
    }
  }
  for (const std::string& key : gone) {
    Backend& backend = this->backends.at(key);
    backend.vanished_ms.reset();
    this->MarkLeaving(&backend, "not_listed_anew");
    this->ScheduleRemoval(key);
  }
}

// The server's runs are not moved away: an invalid entry does not show that the
// server leaves, unlike the removal of its entry or its own report. If the
// previous entry had expired, an invalid one does not count as listing the
// server again.
void BackendList::MarkEntryInvalid(std::string_view id) {
  Backend* const found = this->FindMutable(id);
  if (found == nullptr || !std::exchange(found->entry_valid, false)) {
    return;
  }
  LogLine("backend")
      .Add("id", found->entry.id)
      .Add("service", found->entry.service)
      .Add("change", "set_aside")
      .Add("why", "its_entry_names_no_server")
      .WriteImportant();
  this->NotifyListeners(BackendChange::kChanged, *found);
}

std::optional<std::int64_t> BackendList::EmptiedSince(
    std::string_view zone) const {
  const auto found = this->emptied.find(zone);
  return found == this->emptied.end() ? std::nullopt
                                      : std::optional(found->second);
}

// A zone without known servers is recorded as well: its name may be misspelt,
// but its servers may also be listed later.
void BackendList::SetZoneEmptied(std::string_view zone, bool is_emptied) {
  if (this->emptied.contains(zone) == is_emptied) {
    return;
  }
  if (is_emptied) {
    this->emptied.emplace(zone, this->clock.MonotonicMs());
  } else {
    this->emptied.erase(this->emptied.find(zone));
  }
  int servers = 0;
  for (auto& [key, backend] : this->backends) {
    if (backend.entry.zone == zone) {
      ++servers;
      backend.emptied_ms = this->EmptiedSince(zone);
      this->NotifyListeners(BackendChange::kChanged, backend);
    }
  }
  LogLine(is_emptied ? "zone-emptied" : "zone-taken-back")
      .Add("zone", zone)
      .Add("servers", servers)
      .WriteImportant();
}

bool BackendList::IsExcluded(const BackendEntry& entry) const {
  const auto found = this->excluded.find(entry.service);
  return found != this->excluded.end() &&
         std::find(found->second.begin(), found->second.end(), entry.version) !=
             found->second.end();
}

void BackendList::SetExcludedVersions(std::string_view service,
                                      std::span<const std::string> versions) {
  this->excluded[std::string(service)].assign(versions.begin(), versions.end());
  int servers = 0;
  for (auto& [key, backend] : this->backends) {
    const bool is_excluded = this->IsExcluded(backend.entry);
    if (backend.entry.service != service ||
        is_excluded == backend.version_excluded) {
      continue;
    }
    ++servers;
    backend.version_excluded = is_excluded;
    this->NotifyListeners(BackendChange::kChanged, backend);
  }
  LogLine("versions-excluded")
      .Add("service", service)
      .Add("versions", absl::StrJoin(versions, ","))
      .Add("servers", servers)
      .WriteImportant();
}

void BackendList::SetRegions(
    const std::map<std::string, std::string>& by_zone) {
  this->regions.insert(by_zone.begin(), by_zone.end());
}

bool BackendList::HasServerInHomeRegions(
    std::string_view service, const AllowedRegions& allowed_regions) const {
  return std::any_of(this->backends.begin(), this->backends.end(),
                     [service, &allowed_regions](const auto& one) {
                       const Backend& backend = one.second;
                       return backend.entry.service == service &&
                              MayRunIn(allowed_regions, backend.region);
                     });
}

bool BackendList::IsEmptied(std::string_view service) const {
  bool has_emptied = false;
  for (const auto& [key, backend] : this->backends) {
    const bool is_live = backend.entry.service == service && !backend.leaving &&
                         backend.entry_valid && !backend.version_excluded;
    if (is_live && !backend.emptied_ms.has_value()) {
      return false;
    }
    has_emptied = has_emptied || is_live;
  }
  return has_emptied;
}

void BackendList::RememberLeaving(std::string_view key) {
  if (this->HasSaidLeaving(key)) {
    return;
  }
  this->said_leaving.emplace_back(key);
  if (this->said_leaving.size() > kMaxSaidLeaving) {
    this->said_leaving.pop_front();
  }
}

void BackendList::ReviewCopyLater(const std::string& key) {
  LogLine("backend")
      .Add("id", this->backends.at(key).entry.id)
      .Add("change", "back_from_copy")
      .WriteImportant();
  this->scheduler.After(kCopyExpiryMs, this->life.Guarded([this, key] {
    const auto found = this->backends.find(key);
    if (found == this->backends.end() || !found->second.is_from_copy ||
        !found->second.listed) {
      return;
    }
    Backend& backend = found->second;
    backend.is_from_copy = false;
    backend.leaving = this->HasSaidLeaving(key);
    LogLine("backend")
        .Add("id", backend.entry.id)
        .Add("change", "still_listed")
        .WriteImportant();
    this->NotifyListeners(BackendChange::kChanged, backend);
  }));
}

void BackendList::NoteLeaving(std::string_view key, std::string_view how) {
  this->RememberLeaving(key);
  const auto found = this->backends.find(key);
  if (found != this->backends.end()) {
    found->second.reported_leaving = true;
    this->MarkLeaving(&found->second, how);
  }
}

bool BackendList::HasSaidLeaving(std::string_view key) const {
  return std::find(this->said_leaving.begin(), this->said_leaving.end(), key) !=
         this->said_leaving.end();
}

void BackendList::MarkLeaving(Backend* backend, std::string_view why) {
  if (backend->leaving) {
    return;
  }
  backend->leaving = true;
  LogLine("backend")
      .Add("id", backend->entry.id)
      .Add("service", backend->entry.service)
      .Add("change", "leaving")
      .Add("why", why)
      .WriteImportant();
  this->NotifyListeners(BackendChange::kLeaving, *backend);
}

void BackendList::ScheduleRemoval(const std::string& key) {
  this->scheduler.After(kGoneRetentionMs, this->life.Guarded([this, key] {
    const auto found = this->backends.find(key);
    if (found != this->backends.end() && !found->second.listed) {
      const Backend gone = found->second;
      this->keys.erase(gone.entry.id);
      this->backends.erase(found);
      this->NotifyListeners(BackendChange::kGone, gone);
    }
  }));
}

void BackendList::NotifyListeners(BackendChange change,
                                  const Backend& backend) {
  for (const Listener& listener : this->listeners) {
    listener(change, backend);
  }
}

const Backend* BackendList::Find(std::string_view key) const {
  const auto found = this->backends.find(key);
  return found == this->backends.end() ? nullptr : &found->second;
}

bool BackendList::AcceptsNewRequests(std::string_view key) const {
  const Backend* const backend = this->Find(key);
  return backend != nullptr && backend->AcceptsNewRequests();
}

const Backend* BackendList::FindById(std::string_view id) const {
  const auto key = this->keys.find(id);
  return key == this->keys.end() ? nullptr : this->Find(key->second);
}

const Backend* BackendList::FindByAddress(std::string_view address) const {
  const Backend* found = nullptr;
  for (const auto& [key, backend] : this->backends) {
    const bool better = found == nullptr || backend.listed;
    if (backend.entry.address == address && better) {
      found = &backend;
    }
  }
  return found;
}

std::vector<const Backend*> BackendList::Usable(
    std::string_view service) const {
  std::vector<const Backend*> usable;
  for (const auto& [key, backend] : this->backends) {
    if (backend.AcceptsNewRequests() && backend.entry.service == service) {
      usable.push_back(&backend);
    }
  }
  return usable;
}

std::vector<const Backend*> BackendList::All() const {
  std::vector<const Backend*> all;
  for (const auto& [key, backend] : this->backends) {
    all.push_back(&backend);
  }
  return all;
}

}  // namespace meadowthread
