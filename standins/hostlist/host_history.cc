#include "hostlist/host_history.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"

namespace meadowthread::standins {
namespace {

using nlohmann::json;

// Plain numbers, booleans and nulls become JSON values of that type, as in
// YAML's core schema; quoted scalars stay strings.
json ScalarJson(const YAML::Node& node) {
  const std::string& text = node.Scalar();
  if (node.Tag() == "!") {
    return text;
  }
  const json parsed = json::parse(text, nullptr, false);
  const bool typed =
      parsed.is_number() || parsed.is_boolean() || parsed.is_null();
  return typed ? parsed : json(text);
}

json ToJson(const YAML::Node& node) {
  if (node.IsMap()) {
    json object = json::object();
    for (const auto& entry : node) {
      object[entry.first.Scalar()] = ToJson(entry.second);
    }
    return object;
  }
  if (node.IsSequence()) {
    json list = json::array();
    for (const YAML::Node& item : node) {
      list.push_back(ToJson(item));
    }
    return list;
  }
  return node.IsScalar() ? ScalarJson(node) : json();
}

absl::Status CheckHost(const json& host, std::size_t index) {
  constexpr std::array<std::string_view, 3> kTexts = {"name", "role",
                                                      "address"};
  for (const std::string_view field : kTexts) {
    if (!host.is_object() || !host.value(field, json()).is_string()) {
      return absl::InvalidArgumentError(
          absl::StrCat("hosts[", index, "]: no text ", field.data()));
    }
  }
  return absl::OkStatus();
}

}  // namespace

void HostHistory::Set(const json& hosts, std::int64_t now_ms) {
  this->versions.push_back({now_ms, hosts});
}

HostListVersion HostHistory::At(std::int64_t as_of_ms) const {
  for (auto version = this->versions.rbegin(); version != this->versions.rend();
       ++version) {
    if (version->since_ms <= as_of_ms) {
      return *version;
    }
  }
  return {};
}

absl::StatusOr<json> ParseHosts(std::string_view text) {
  json document;
  try {
    document = ToJson(YAML::Load(std::string(text)));
  } catch (const YAML::Exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  json hosts =
      document.is_object() ? document.value("hosts", json()) : document;
  if (!hosts.is_array()) {
    return absl::InvalidArgumentError("no list of hosts");
  }
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    const absl::Status status = CheckHost(hosts[index], index);
    if (!status.ok()) {
      return status;
    }
    if (!hosts[index].contains("state")) {
      hosts[index]["state"] = "live";
    }
  }
  return hosts;
}

}  // namespace meadowthread::standins
