#include "serve/entry_host_registry.h"

#include <utility>

#include "base/error.h"
#include "base/ip_and_port.h"
#include "base/json_fields.h"
#include "base/log_line.h"
#include "nlohmann/json.hpp"
#include "store/store_revision.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::int64_t kRetryMs = 1'000;
constexpr std::string_view kStep = "host-entry";

// Reads a port number; 0 means that the host has none.
absl::StatusOr<int> PortField(const json& value, std::string_view field) {
  const absl::StatusOr<std::int64_t> port = IntField(value, field);
  if (!port.ok()) {
    return port.status();
  }
  if (*port < 0 || *port > kMaxPortNumber) {
    return FieldError(ErrorId::kFieldInvalid, field, "is not a port number");
  }
  return static_cast<int>(*port);
}

}  // namespace

std::string EncodeEntryHost(const EntryHost& host) {
  const json value = {
      {"address", host.address},        {"control_port", host.control_port},
      {"loads_port", host.loads_port},  {"availability_zone", host.zone},
      {"region", host.region},          {"forward_port", host.forward_port},
      {"forward_key", host.forward_key}};
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<EntryHost> DecodeEntryHost(std::string_view name,
                                          std::string_view text) {
  const absl::StatusOr<json> value = ParseObject(text, kStep, name);
  if (!value.ok()) {
    return value.status();
  }
  const absl::StatusOr<std::string> address = StringField(*value, "address");
  const absl::StatusOr<int> control = PortField(*value, "control_port");
  const absl::StatusOr<int> loads = PortField(*value, "loads_port");
  for (const absl::Status& status :
       {address.status(), control.status(), loads.status()}) {
    if (!status.ok()) {
      return status;
    }
  }
  if (!IsIpAddress(*address)) {
    return FieldError(ErrorId::kFieldInvalid, "address",
                      "is not an IP address");
  }
  EntryHost host;
  host.name = std::string(name);
  host.address = *address;
  host.control_port = *control;
  host.loads_port = *loads;
  host.zone = StringOr(*value, "availability_zone", "");
  host.region = StringOr(*value, "region", "");
  if (value->contains("forward_port")) {
    const absl::StatusOr<int> forward = PortField(*value, "forward_port");
    if (!forward.ok()) {
      return forward.status();
    }
    host.forward_port = *forward;
    host.forward_key = StringOr(*value, "forward_key", "");
  }
  return host;
}

EntryHostRegistry::EntryHostRegistry(std::string_view kind, EntryHost self,
                                     ObjectStore& store, ReplicatedView& view,
                                     Scheduler& scheduler)
    : kind(kind),
      self(std::move(self)),
      store(store),
      view(view),
      scheduler(scheduler) {
  view.AddListener([this](const ViewChange& change) {
    if (change.kind == this->kind) {
      for (const StoredObject& object : change.items) {
        this->OnChange(object);
      }
      this->NotifyListener();
    }
  });
}

void EntryHostRegistry::NotifyListener() const {
  std::vector<EntryHost> hosts;
  for (const StoredObject* const object : this->view.Live(this->kind)) {
    absl::StatusOr<EntryHost> host =
        DecodeEntryHost(object->name, object->value);
    if (host.ok()) {
      hosts.push_back(*std::move(host));
    }
  }
  if (this->listener) {
    this->listener(hosts);
  }
}

void EntryHostRegistry::OnChange(const StoredObject& object) {
  const absl::Status read =
      object.deleted ? absl::OkStatus()
                     : DecodeEntryHost(object.name, object.value).status();
  if (this->read_listener) {
    this->read_listener(object, read);
  }
  this->RestoreOwnEntry(object, read.ok());
}

// Writes this host's own entry again if it was lost: either another host
// declared this one dead, which shows as a tombstone newer than its entry, or
// another writer replaced it by an invalid entry. A valid entry is left alone,
// as two hosts of the same name would overwrite each other forever.
void EntryHostRegistry::RestoreOwnEntry(const StoredObject& object,
                                        bool is_readable) {
  const bool was_lost = object.deleted || !is_readable;
  if (object.name == this->self.name && was_lost && this->version > 0 &&
      object.version > this->version) {
    this->version = object.deleted ? 0 : object.version;
    this->AnnounceLater();
  }
}

void EntryHostRegistry::Remove(std::string_view host) {
  const StoredObject* const entry = this->view.Find(this->kind, host);
  if (entry == nullptr) {
    return;
  }
  this->store.Delete(
      this->kind, host, entry->version,
      this->life.Guarded([gone = std::string(host)](
                             const absl::StatusOr<std::int64_t>& removed) {
        LogLine("host-entry-removed")
            .Add("host", gone)
            .Add("removed", removed.ok() ? "yes" : "no")
            .Add("why", std::string{removed.status().message()})
            .WriteImportant();
      }));
}

void EntryHostRegistry::Announce() { this->Write(this->version); }

void EntryHostRegistry::Write(std::int64_t expected_version) {
  this->store.Put(
      this->kind, this->self.name, EncodeEntryHost(this->self),
      expected_version,
      this->life.Guarded([this](const absl::StatusOr<std::int64_t>& written) {
        if (written.ok()) {
          this->version = *written;
          LogLine("host-entry")
              .Add("host", this->self.name)
              .Add("version", *written)
              .WriteImportant();
          return;
        }
        // There is an entry of an earlier process of this host, or the result
        // of the write is unknown.
        this->ReadBack();
      }));
}

void EntryHostRegistry::ReadBack() {
  this->store.Get(
      this->kind, this->self.name,
      this->life.Guarded([this](const absl::StatusOr<StoredObject>& found) {
        const ErrorId id = DetailOf(found.status()).id;
        if (!found.ok() && id != ErrorId::kNotFound) {
          this->AnnounceLater();
          return;
        }
        this->version = found.ok() ? found->version : 0;
        const absl::StatusOr<EntryHost> stands =
            found.ok() ? DecodeEntryHost(found->name, found->value)
                       : absl::StatusOr<EntryHost>(found.status());
        if (!stands.ok() || !this->TakeKeyOf(*stands)) {
          this->AnnounceLater();
        }
      }));
}

// If nothing but the key differs, this host uses the key that stands in its
// entry: a write would wake every watch of the entries at each restart, and
// other hosts would go on with the old key until they hear of it.
bool EntryHostRegistry::TakeKeyOf(const EntryHost& stands) {
  EntryHost same = this->self;
  same.forward_key = stands.forward_key;
  if (stands != same || stands.forward_key.empty()) {
    return stands == this->self;
  }
  this->self.forward_key = stands.forward_key;
  if (this->key_listener) {
    this->key_listener(this->self.forward_key);
  }
  return true;
}

void EntryHostRegistry::CheckAfter(std::int64_t delay_ms) {
  this->scheduler.After(delay_ms, this->life.Guarded([this] {
    const StoredObject* const entry =
        this->view.Find(this->kind, this->self.name);
    const bool is_of_this_era =
        entry != nullptr &&
        EraOf(entry->version) == EraOf(this->view.Digest(this->kind).revision);
    if (!is_of_this_era || entry->value != EncodeEntryHost(this->self)) {
      this->ReadBack();
    }
  }));
}

void EntryHostRegistry::AnnounceLater() {
  this->scheduler.After(
      kRetryMs, this->life.Guarded([this] { this->Write(this->version); }));
}

}  // namespace meadowthread
