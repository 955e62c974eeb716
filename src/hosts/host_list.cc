#include "hosts/host_list.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/absl_view.h"
#include "base/error.h"
#include "base/ip_and_port.h"
#include "base/json_fields.h"
#include "base/json_slices.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::string_view kStep = "read-host-list";
constexpr std::string_view kPeer = "host-list";

absl::Status MalformedError(std::string_view what) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = std::string(kStep);
  detail.peer = std::string(kPeer);
  return MakeError(absl::StatusCode::kDataLoss, detail, what);
}

std::string AuthorityOf(const std::string& address, int port) {
  const bool is_ipv6 = address.find(':') != std::string::npos;
  return is_ipv6 ? absl::StrCat("[", address, "]:", port)
                 : absl::StrCat(address, ":", port);
}

absl::StatusOr<HostRole> RoleOf(std::string_view name) {
  if (name == "engine") {
    return HostRole::kEngine;
  }
  if (name == "backend") {
    return HostRole::kBackend;
  }
  if (name == "entry") {
    return HostRole::kEntry;
  }
  return FieldError(ErrorId::kFieldInvalid, "role", "is not a known role");
}

bool IsPort(std::int64_t port) { return port >= 0 && port <= kMaxPortNumber; }

absl::StatusOr<HostEntry> DecodeEntry(std::string_view text) {
  const absl::StatusOr<json> parsed = ParseObject(text, kStep, kPeer);
  if (!parsed.ok()) {
    return parsed.status();
  }
  const json& value = *parsed;
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
  const absl::StatusOr<HostRole> known_role = RoleOf(*role);
  if (!known_role.ok()) {
    return known_role.status();
  }
  if (name->empty() || address->empty()) {
    return FieldError(ErrorId::kFieldInvalid,
                      name->empty() ? "name" : "address", "is empty");
  }
  const std::int64_t control_port = IntOr(value, "control_port", 0);
  if (!IsPort(*port) || !IsPort(control_port)) {
    return FieldError(ErrorId::kFieldInvalid,
                      IsPort(*port) ? "control_port" : "port",
                      "is not a valid port");
  }
  HostEntry entry;
  entry.name = *name;
  entry.role = *known_role;
  entry.address = *address;
  entry.port = static_cast<int>(*port);
  entry.control_port = static_cast<int>(control_port);
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
  const auto hosts = JsonElements(JsonMemberText(body, "hosts"));
  if (!hosts.has_value()) {
    return MalformedError("field 'hosts' is missing or not a list");
  }
  HostList list;
  if (!absl::SimpleAtoi(AbslView(JsonMemberText(body, "as_of_unix_ms")),
                        &list.as_of_unix_ms)) {
    list.as_of_unix_ms = 0;
  }
  for (const std::string_view text : *hosts) {
    absl::StatusOr<HostEntry> entry = DecodeEntry(text);
    if (entry.ok()) {
      list.hosts.push_back(*std::move(entry));
      continue;
    }
    if (++list.skipped_entries == 1) {
      list.first_error = std::string{entry.status().message()};
    }
  }
  if (list.hosts.empty() && list.skipped_entries > 0) {
    return MalformedError(list.first_error);
  }
  return list;
}

}  // namespace meadowthread
