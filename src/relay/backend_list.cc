#include "relay/backend_list.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

// Longer than any generation lasts that a gone server may still end.
constexpr std::int64_t kKeptMs = 60'000;
// In log lines, the start of a server that does not tell it.
constexpr std::int64_t kUnknownStart = -1;

std::string KeyOf(const BackendEntry& entry) {
  return entry.started_ms.has_value()
             ? absl::StrCat(entry.id, "/", *entry.started_ms)
             : entry.id;
}

}  // namespace

bool AreOtherStarts(std::optional<std::int64_t> one,
                    std::optional<std::int64_t> other) {
  return one.has_value() && other.has_value() && *one != *other;
}

Backend* BackendList::FindToChange(std::string_view id) {
  return const_cast<Backend*>(std::as_const(*this).FindById(id));
}

// A start before the one that is listed says that a word of it came late, or
// that the server's clock was put back: which can't be told from here. Once the
// newer one's entry went away, the store's order alone decides.
bool BackendList::PassesOver(Backend* known, const BackendEntry& entry) const {
  const bool is_older = known->listed && entry.started_ms.has_value() &&
                        known->entry.started_ms.has_value() &&
                        *entry.started_ms < *known->entry.started_ms;
  if (is_older && known->passed_over_ms != entry.started_ms) {
    known->passed_over_ms = entry.started_ms;
    LogLine("backend")
        .Add("id", entry.id)
        .Add("change", "older_start_passed_over")
        .Add("started_ms", *entry.started_ms)
        .Add("listed_ms", *known->entry.started_ms)
        .WriteImportant();
  }
  return is_older;
}

// What listeners keep by its key goes before the next start is added. A newer
// start proves that the one before has ended; an earlier one, taken as the
// entry went away, proves nothing about what still runs there.
void BackendList::EndStart(const std::string& key, const BackendEntry& next) {
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
  this->Tell(BackendChange::kGone, gone);
}

void BackendList::Set(const BackendEntry& entry) {
  Backend* known = this->FindToChange(entry.id);
  if (known != nullptr && this->PassesOver(known, entry)) {
    return;
  }
  if (known != nullptr &&
      AreOtherStarts(entry.started_ms, known->entry.started_ms)) {
    this->EndStart(std::string(known->key), entry);
    known = nullptr;
  }
  const bool is_new = known == nullptr;
  const std::string key = is_new ? KeyOf(entry) : known->key;
  this->keys[entry.id] = key;
  Backend& backend = this->backends[key];
  const bool was_leaving = backend.leaving;
  const std::optional<std::int64_t> told_ms = backend.entry.started_ms;
  backend.key = key;
  backend.entry = entry;
  if (!entry.started_ms.has_value()) {
    backend.entry.started_ms = told_ms;
  }
  backend.listed = true;
  backend.vanished_ms.reset();
  const bool was_named = std::exchange(backend.named, true);
  backend.warm_at_ms = this->clock.MonotonicMs() + entry.slow_for_ms;
  backend.emptied_ms = this->EmptiedSince(entry.zone);
  const auto region = this->regions.find(entry.zone);
  backend.region = region == this->regions.end() ? "" : region->second;
  if (is_new) {
    LogLine("backend")
        .Add("id", entry.id)
        .Add("service", entry.service)
        .Add("address", entry.address)
        .Add("change", "added")
        .Add("started_ms", entry.started_ms.value_or(kUnknownStart))
        .WriteImportant();
    this->Tell(BackendChange::kAdded, backend);
  }
  if (!was_named) {
    LogLine("backend")
        .Add("id", entry.id)
        .Add("change", "named_again")
        .WriteImportant();
  }
  if (entry.leaving && !was_leaving) {
    this->Leave(&backend, "draining");
    return;
  }
  // Lapsed and listed anew, it lives; what it said itself of leaving stands.
  backend.leaving = entry.leaving || backend.said_so;
  if (!is_new) {
    this->Tell(BackendChange::kChanged, backend);
  }
}

bool BackendList::Remove(std::string_view id) {
  Backend* const found = this->FindToChange(id);
  if (found == nullptr || !found->listed) {
    return false;
  }
  Backend& backend = *found;
  backend.listed = false;
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const std::int64_t until_ms = this->lapse.LapsesUntilMs(now_ms, now_ms);
  if (until_ms <= now_ms || backend.entry.leaving) {
    this->Leave(&backend, "removed");
    this->ForgetLater(backend.key);
    return false;
  }
  backend.vanished_ms = now_ms;
  LogLine("backend")
      .Add("id", id)
      .Add("change", "lapsed")
      .Add("counts_ms", until_ms - now_ms)
      .WriteImportant();
  this->ReviewLater(until_ms - now_ms);
  return true;
}

void BackendList::ReviewLater(std::int64_t delay_ms) {
  this->scheduler.After(delay_ms,
                        this->life.Guarded([this] { this->ReviewLapsed(); }));
}

bool BackendList::HasLapsed() const {
  return std::any_of(
      this->backends.begin(), this->backends.end(),
      [](const auto& entry) { return entry.second.vanished_ms.has_value(); });
}

void BackendList::ReviewLapsed() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<std::string> gone;
  for (const auto& [key, backend] : this->backends) {
    if (!backend.vanished_ms.has_value()) {
      continue;
    }
    const std::int64_t until_ms =
        this->lapse.LapsesUntilMs(*backend.vanished_ms, now_ms);
    if (until_ms <= now_ms) {
      gone.push_back(key);
    } else {
      this->ReviewLater(until_ms - now_ms);
    }
  }
  for (const std::string& key : gone) {
    Backend& backend = this->backends.at(key);
    backend.vanished_ms.reset();
    this->Leave(&backend, "not_listed_anew");
    this->ForgetLater(key);
  }
}

// Its runs are not moved either: it lives as far as anybody knows, and should
// it leave, its entry's removal or its own report says so. An entry that has
// lapsed is not listed anew by what another writer put there.
void BackendList::SetAside(std::string_view id) {
  Backend* const found = this->FindToChange(id);
  if (found == nullptr || !std::exchange(found->named, false)) {
    return;
  }
  LogLine("backend")
      .Add("id", found->entry.id)
      .Add("service", found->entry.service)
      .Add("change", "set_aside")
      .Add("why", "its_entry_names_no_server")
      .WriteImportant();
  this->Tell(BackendChange::kChanged, *found);
}

std::optional<std::int64_t> BackendList::EmptiedSince(
    std::string_view zone) const {
  const auto found = this->emptied.find(zone);
  return found == this->emptied.end() ? std::nullopt
                                      : std::optional(found->second);
}

// An emptied zone of which no server is known may be misspelt, or its servers
// may be listed later: the word stands.
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
      this->Tell(BackendChange::kChanged, backend);
    }
  }
  LogLine(is_emptied ? "zone-emptied" : "zone-taken-back")
      .Add("zone", zone)
      .Add("servers", servers)
      .WriteImportant();
}

void BackendList::SetRegions(
    const std::map<std::string, std::string>& by_zone) {
  this->regions.insert(by_zone.begin(), by_zone.end());
}

bool BackendList::HasHome(std::string_view service,
                          const HomeRegions& homes) const {
  return std::any_of(this->backends.begin(), this->backends.end(),
                     [service, &homes](const auto& one) {
                       const Backend& backend = one.second;
                       return backend.entry.service == service &&
                              MayRunIn(homes, backend.region);
                     });
}

bool BackendList::IsEmptied(std::string_view service) const {
  bool has_emptied = false;
  for (const auto& [key, backend] : this->backends) {
    const bool is_live =
        backend.entry.service == service && !backend.leaving && backend.named;
    if (is_live && !backend.emptied_ms.has_value()) {
      return false;
    }
    has_emptied = has_emptied || is_live;
  }
  return has_emptied;
}

void BackendList::NoteLeaving(std::string_view key) {
  const auto found = this->backends.find(key);
  if (found != this->backends.end()) {
    found->second.said_so = true;
    this->Leave(&found->second, "its_own_report");
  }
}

void BackendList::Leave(Backend* backend, std::string_view why) {
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
  this->Tell(BackendChange::kLeaving, *backend);
}

void BackendList::ForgetLater(const std::string& key) {
  this->scheduler.After(kKeptMs, this->life.Guarded([this, key] {
    const auto found = this->backends.find(key);
    if (found != this->backends.end() && !found->second.listed) {
      const Backend gone = found->second;
      this->keys.erase(gone.entry.id);
      this->backends.erase(found);
      this->Tell(BackendChange::kGone, gone);
    }
  }));
}

void BackendList::Tell(BackendChange change, const Backend& backend) {
  for (const Listener& listener : this->listeners) {
    listener(change, backend);
  }
}

const Backend* BackendList::Find(std::string_view key) const {
  const auto found = this->backends.find(key);
  return found == this->backends.end() ? nullptr : &found->second;
}

bool BackendList::TakesNew(std::string_view key) const {
  const Backend* const backend = this->Find(key);
  return backend != nullptr && backend->TakesNew();
}

const Backend* BackendList::FindById(std::string_view id) const {
  const auto key = this->keys.find(id);
  return key == this->keys.end() ? nullptr : this->Find(key->second);
}

const Backend* BackendList::FindAddress(std::string_view address) const {
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
    if (backend.TakesNew() && backend.entry.service == service) {
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
