#include "relay/backend_list.h"

#include <utility>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// After the store's return living servers are listed anew within about two
// seconds; an entry that is missing then is that of a server that is gone.
constexpr std::int64_t kRelistMs = 2'200;
// Longer than any generation lasts that a gone server may still end.
constexpr std::int64_t kKeptMs = 60'000;

}  // namespace

void BackendList::Set(const BackendEntry& entry) {
  const bool is_new = !this->backends.contains(entry.id);
  Backend& backend = this->backends[entry.id];
  const bool was_leaving = backend.leaving;
  backend.entry = entry;
  backend.listed = true;
  const bool was_named = std::exchange(backend.named, true);
  backend.warm_at_ms = this->clock.MonotonicMs() + entry.slow_for_ms;
  if (is_new) {
    LogLine("backend")
        .Add("id", entry.id)
        .Add("service", entry.service)
        .Add("address", entry.address)
        .Add("change", "added")
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

void BackendList::Remove(std::string_view id) {
  const auto found = this->backends.find(id);
  if (found == this->backends.end() || !found->second.listed) {
    return;
  }
  Backend& backend = found->second;
  backend.listed = false;
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const std::int64_t since_ms = now_ms - this->store_back_ms;
  const bool may_have_lapsed = this->store_back_ms >= 0 &&
                               since_ms < kRelistMs && !backend.entry.leaving;
  if (!may_have_lapsed) {
    this->Leave(&backend, "removed");
    this->ForgetLater(backend.entry.id);
    return;
  }
  LogLine("backend")
      .Add("id", id)
      .Add("change", "lapsed")
      .Add("store_back_ms", since_ms)
      .WriteImportant();
  this->scheduler.After(
      kRelistMs - since_ms, this->life.Guarded([this, gone = std::string(id)] {
        const auto kept = this->backends.find(gone);
        if (kept != this->backends.end() && !kept->second.listed) {
          this->Leave(&kept->second, "not_listed_anew");
          this->ForgetLater(gone);
        }
      }));
}

// Its runs are not moved either: it lives as far as anybody knows, and should
// it leave, its entry's removal or its own report says so. An entry that has
// lapsed is not listed anew by what another writer put there.
void BackendList::SetAside(std::string_view id) {
  const auto found = this->backends.find(id);
  if (found == this->backends.end() ||
      !std::exchange(found->second.named, false)) {
    return;
  }
  LogLine("backend")
      .Add("id", found->second.entry.id)
      .Add("service", found->second.entry.service)
      .Add("change", "set_aside")
      .Add("why", "its_entry_names_no_server")
      .WriteImportant();
  this->Tell(BackendChange::kChanged, found->second);
}

void BackendList::NoteLeaving(std::string_view id) {
  const auto found = this->backends.find(id);
  if (found != this->backends.end()) {
    found->second.said_so = true;
    this->Leave(&found->second, "its_own_report");
  }
}

void BackendList::NoteStoreBack() {
  this->store_back_ms = this->clock.MonotonicMs();
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

void BackendList::ForgetLater(const std::string& id) {
  this->scheduler.After(kKeptMs, this->life.Guarded([this, id] {
    const auto found = this->backends.find(id);
    if (found != this->backends.end() && !found->second.listed) {
      const Backend gone = found->second;
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

const Backend* BackendList::Find(std::string_view id) const {
  const auto found = this->backends.find(id);
  return found == this->backends.end() ? nullptr : &found->second;
}

const Backend* BackendList::FindAddress(std::string_view address) const {
  const Backend* found = nullptr;
  for (const auto& [id, backend] : this->backends) {
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
  for (const auto& [id, backend] : this->backends) {
    if (backend.TakesNew() && backend.entry.service == service) {
      usable.push_back(&backend);
    }
  }
  return usable;
}

std::vector<const Backend*> BackendList::All() const {
  std::vector<const Backend*> all;
  for (const auto& [id, backend] : this->backends) {
    all.push_back(&backend);
  }
  return all;
}

}  // namespace meadowthread
