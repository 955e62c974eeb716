#include "settings/yaml_section.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/nearest_name.h"

namespace meadowthread {
namespace {

constexpr std::size_t kMaxNameLength = 100;
constexpr std::size_t kMaxPathLength = 4000;
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

int LineOf(const YAML::Node& node) {
  // A node that is not from a document has line -1.
  return std::max(node.Mark().line + 1, 1);
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         text.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

bool IsAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

std::string_view AfterScheme(std::string_view url) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (url.starts_with(scheme)) {
      return url.substr(scheme.size());
    }
  }
  return {};
}

}  // namespace

YamlSection::YamlSection(const YAML::Node& node, std::string_view path,
                         std::vector<SettingsProblem>* problems)
    : map(node), path(path), problems(problems) {
  if (node.IsDefined() && !node.IsNull() && !node.IsMap()) {
    this->problems->push_back(
        {LineOf(node), this->path, "is not a map of fields"});
    this->map = YAML::Node(YAML::NodeType::Map);
  }
}

// Fields.

void YamlSection::Integer(std::string_view name, std::int64_t min,
                          std::int64_t max, std::int64_t* target) {
  const std::string* text = this->Scalar(name, Presence::kOptional);
  if (text == nullptr) {
    return;
  }
  std::int64_t value = 0;
  if (!absl::SimpleAtoi(*text, &value) || value < min || value > max) {
    this->Report(name,
                 absl::StrCat("is not a whole number from ", min, " to ", max));
    return;
  }
  *target = value;
}

void YamlSection::Integer(std::string_view name, int min, int max, int* target,
                          Presence presence) {
  if (presence == Presence::kRequired &&
      this->Scalar(name, presence) == nullptr) {
    return;
  }
  std::int64_t value = *target;
  this->Integer(name, std::int64_t{min}, std::int64_t{max}, &value);
  *target = static_cast<int>(value);
}

void YamlSection::Number(std::string_view name, double min, double max,
                         double* target) {
  const std::string* text = this->Scalar(name, Presence::kOptional);
  if (text == nullptr) {
    return;
  }
  double value = 0;
  // "nan" parses as a number but fails the range check.
  const bool in_range =
      absl::SimpleAtod(*text, &value) && value >= min && value <= max;
  if (!in_range) {
    this->Report(name, absl::StrCat("is not a number from ", min, " to ", max));
    return;
  }
  *target = value;
}

void YamlSection::Flag(std::string_view name, bool* target) {
  const std::string* text = this->Scalar(name, Presence::kOptional);
  if (text == nullptr) {
    return;
  }
  if (*text != "true" && *text != "false") {
    this->Report(name, "is neither true nor false");
    return;
  }
  *target = *text == "true";
}

void YamlSection::Name(std::string_view name, std::string* target,
                       Presence presence) {
  const std::string* text = this->Scalar(name, presence);
  if (text == nullptr) {
    return;
  }
  if (!IsName(*text)) {
    this->Report(name, absl::StrCat("is not a name of 1 to ", kMaxNameLength,
                                    " letters, digits, '.', '_' and '-'"));
    return;
  }
  *target = *text;
}

void YamlSection::Url(std::string_view name, std::string* target,
                      Presence presence) {
  const std::string* text = this->Scalar(name, presence);
  if (text == nullptr) {
    return;
  }
  const std::string_view rest = AfterScheme(*text);
  const std::string_view authority = rest.substr(0, rest.find('/'));
  if (authority.empty() || absl::StrContains(*text, " ")) {
    this->Report(name, "is not a URL that begins with http:// or https://");
    return;
  }
  // URLs are logged, so they must not contain a password.
  if (authority.find('@') != std::string_view::npos) {
    this->Report(name, "carries a user or password: secrets are given by file");
    return;
  }
  const std::string_view whole = *text;
  *target = std::string(whole.ends_with('/') ? whole.substr(0, whole.size() - 1)
                                             : whole);
}

void YamlSection::Address(std::string_view name, std::string* target,
                          Presence presence) {
  const std::string* text = this->Scalar(name, presence);
  if (text == nullptr) {
    return;
  }
  if (!IsAddress(*text)) {
    this->Report(name, "is not an IP address");
    return;
  }
  *target = *text;
}

void YamlSection::Endpoint(std::string_view name, std::string* address,
                           int* port, Presence presence) {
  const std::string* text = this->Scalar(name, presence);
  if (text == nullptr) {
    return;
  }
  constexpr int kMaxPort = 65'535;
  const std::size_t colon = text->rfind(':');
  int number = 0;
  const bool is_endpoint = colon != std::string::npos &&
                           IsAddress(text->substr(0, colon)) &&
                           absl::SimpleAtoi(text->substr(colon + 1), &number) &&
                           number > 0 && number <= kMaxPort;
  if (!is_endpoint) {
    this->Report(name, "is not an IP address and a port, such as 192.0.2.7:80");
    return;
  }
  *address = text->substr(0, colon);
  *port = number;
}

void YamlSection::File(std::string_view name, std::string* target) {
  const std::string* text = this->Scalar(name, Presence::kOptional);
  if (text == nullptr) {
    return;
  }
  // The most common mistake is to give the secret itself instead of its file.
  const bool is_path = text->size() <= kMaxPathLength &&
                       text->find('\n') == std::string::npos &&
                       !absl::StrContains(*text, "-----BEGIN");
  if (!is_path) {
    this->Report(name, "is not the path of a file: secrets are given by file");
    return;
  }
  *target = *text;
}

int YamlSection::Choice(std::string_view name,
                        std::span<const std::string> names) {
  const std::string* text = this->Scalar(name, Presence::kOptional);
  if (text == nullptr) {
    return -1;
  }
  const auto found = std::find(names.begin(), names.end(), *text);
  if (found != names.end()) {
    return static_cast<int>(found - names.begin());
  }
  std::string message = "is none of";
  for (const std::string& candidate : names) {
    absl::StrAppend(&message, " ", candidate);
  }
  this->Report(name, message);
  return -1;
}

// Nesting.

YamlSection YamlSection::Section(std::string_view name) {
  return {this->Find(name), this->PathOf(name), this->problems};
}

void YamlSection::List(std::string_view name,
                       const std::function<void(YamlSection&)>& read) {
  const YAML::Node list = this->Find(name);
  if (list.IsNull()) {
    return;
  }
  if (!list.IsSequence()) {
    this->Report(name, "is not a list");
    return;
  }
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string item = absl::StrCat(this->PathOf(name), "[", i, "]");
    YamlSection section(list[i], item, this->problems);
    read(section);
    section.Finish();
  }
}

// Problems.

void YamlSection::Report(std::string_view name, std::string_view message) {
  const YAML::Node node = this->Find(name);
  this->ReportAt(node.IsNull() ? this->map : node, name, message);
}

void YamlSection::Finish() {
  std::set<std::string> seen;
  for (const auto& entry : this->map) {
    if (!entry.first.IsScalar()) {
      this->ReportAt(entry.first, "?", "has a key that is not a string");
      continue;
    }
    const std::string key = entry.first.Scalar();
    if (!seen.insert(key).second) {
      this->ReportAt(entry.first, key, "is given twice");
      continue;
    }
    if (std::find(this->known.begin(), this->known.end(), key) ==
        this->known.end()) {
      this->ReportUnknown(entry.first);
    }
  }
}

const std::string* YamlSection::Scalar(std::string_view name,
                                       Presence presence) {
  const YAML::Node node = this->Find(name);
  if (node.IsNull()) {
    if (presence == Presence::kRequired) {
      this->Report(name, "is missing");
    }
    return nullptr;
  }
  if (!node.IsScalar()) {
    this->Report(name, "is not a single value");
    return nullptr;
  }
  this->scalar = node.Scalar();
  return &this->scalar;
}

YAML::Node YamlSection::Find(std::string_view name) {
  if (std::find(this->known.begin(), this->known.end(), name) ==
      this->known.end()) {
    this->known.emplace_back(name);
  }
  // operator[] is not used, as it adds missing keys to a non-const map.
  for (const auto& entry : this->map) {
    if (entry.first.IsScalar() && entry.first.Scalar() == name) {
      return entry.second;
    }
  }
  return YAML::Node(YAML::NodeType::Null);
}

std::string YamlSection::PathOf(std::string_view name) const {
  return this->path.empty() ? std::string(name)
                            : this->path + "." + std::string(name);
}

void YamlSection::ReportUnknown(const YAML::Node& key) {
  const std::vector<std::string_view> names(this->known.begin(),
                                            this->known.end());
  const std::string nearest{NearestName(key.Scalar(), names)};
  std::string message = "is not a known field";
  if (!nearest.empty()) {
    absl::StrAppend(&message, "; the nearest is '", nearest, "'");
  }
  if (absl::EndsWith(nearest, "_file")) {
    absl::StrAppend(&message, ": secrets are given by file");
  }
  this->ReportAt(key, key.Scalar(), message);
}

void YamlSection::ReportAt(const YAML::Node& node, std::string_view name,
                           std::string_view message) {
  this->problems->push_back(
      {LineOf(node), this->PathOf(name), std::string(message)});
}

}  // namespace meadowthread
