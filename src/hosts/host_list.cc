#include "hosts/host_list.h"

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/json_fields.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::string_view kStep = "read-host-list";
constexpr std::string_view kPeer = "host-list";

absl::Status Malformed(std::string_view what) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = std::string(kStep);
  detail.peer = std::string(kPeer);
  return MakeError(absl::StatusCode::kDataLoss, detail, what);
}

std::string AuthorityOf(const std::string& address, int port) {
  const bool v6 = address.find(':') != std::string::npos;
  return v6 ? absl::StrCat("[", address, "]:", port)
            : absl::StrCat(address, ":", port);
}

HostRole RoleOf(const std::string& name) {
  if (name == "engine") {
    return HostRole::kEngine;
  }
  return name == "backend" ? HostRole::kBackend : HostRole::kEntry;
}

absl::StatusOr<HostEntry> DecodeEntry(const json& value) {
  const absl::StatusOr<std::string> name = StringField(value, "name");
  const absl::StatusOr<std::string> role = StringField(value, "role");
  const absl::StatusOr<std::string> address = StringField(value, "address");
  const absl::StatusOr<std::int64_t> port = IntField(value, "port");
  for (const absl::Status& status :
       {name.status(), role.status(), address.status(), port.status()}) {
    if (!status.ok()) {
      return status;
    }
  }
  HostEntry entry;
  entry.name = *name;
  entry.role = RoleOf(*role);
  entry.address = *address;
  entry.port = static_cast<int>(*port);
  entry.control_port = static_cast<int>(IntOr(value, "control_port", 0));
  entry.zone = StringOr(value, "zone", "");
  entry.region = StringOr(value, "region", "");
  entry.leaving = StringOr(value, "state", "live") != "live";
  entry.service = StringOr(value, "service", "");
  entry.checks_fence = BoolOr(value, "checks_fence", false);
  return entry;
}

}  // namespace

std::string HostEntry::Authority() const {
  return AuthorityOf(this->address, this->port);
}

std::string HostEntry::BaseUrl() const {
  return absl::StrCat("http://", this->Authority());
}

std::string HostEntry::ControlUrl() const {
  return absl::StrCat("http://",
                      AuthorityOf(this->address, this->control_port));
}

absl::StatusOr<HostList> DecodeHostList(std::string_view body) {
  const absl::StatusOr<json> parsed = ParseObject(body, kStep, kPeer);
  if (!parsed.ok()) {
    return parsed.status();
  }
  const auto hosts = parsed->find("hosts");
  if (hosts == parsed->end() || !hosts->is_array()) {
    return Malformed("field 'hosts' is missing or no list");
  }
  HostList list;
  list.as_of_unix_ms = IntOr(*parsed, "as_of_unix_ms", 0);
  for (const json& value : *hosts) {
    const absl::StatusOr<HostEntry> entry = DecodeEntry(value);
    if (!entry.ok()) {
      return Malformed(entry.status().message().data());
    }
    list.hosts.push_back(*entry);
  }
  return list;
}

}  // namespace meadowthread
