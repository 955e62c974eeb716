#include "settings/settings.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "settings/text_file.h"
#include "settings/yaml_section.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kMebibyte = 1048576;
constexpr std::int64_t kSecondMs = 1000;
constexpr std::int64_t kHourMs = 3600 * kSecondMs;
constexpr std::int64_t kDayMs = 24 * kHourMs;
constexpr int kMaxPort = 65535;
constexpr double kMaxWeight = 1000;

/// In the order of ChooserKind.
const std::array<std::string, 4>& ChooserNames() {
  static const std::array<std::string, 4> kNames = {
      "memory_aware", "round_robin", "least_load", "power_of_two"};
  return kNames;
}

void Read(YamlSection section, HostSettings* host) {
  section.Name("name", &host->name, Presence::kRequired);
  section.Name("zone", &host->zone, Presence::kRequired);
  section.Name("region", &host->region, Presence::kRequired);
  section.Address("address", &host->address, Presence::kRequired);
  section.Integer("port", 1, kMaxPort, &host->port, Presence::kRequired);
  section.Integer("control_port", 1, kMaxPort, &host->control_port,
                  Presence::kRequired);
  if (host->port != 0 && host->port == host->control_port) {
    section.Report("control_port", "is the same as host.port");
  }
  section.Finish();
}

void Read(YamlSection section, PlatformSettings* platform) {
  section.Url("object_api", &platform->object_api, Presence::kRequired);
  section.Url("host_list", &platform->host_list, Presence::kRequired);
  section.Integer("request_timeout_ms", 10, 60 * kSecondMs,
                  &platform->request_timeout_ms);
  section.Integer("host_list_period_ms", 50, 60 * kSecondMs,
                  &platform->host_list_period_ms);
  section.Integer("watchers", 1, 100, &platform->watchers);
  section.Finish();
}

bool HasAddress(const DeploymentSettings& half, std::string_view name) {
  return std::any_of(half.addresses.begin(), half.addresses.end(),
                     [name](const DeploymentAddress& address) {
                       return address.half == name;
                     });
}

void Read(YamlSection section, DeploymentSettings* half) {
  section.Name("name", &half->name);
  half->default_owner = half->name;
  section.Name("default_owner", &half->default_owner);
  section.List("addresses", [half](YamlSection& item) {
    DeploymentAddress address;
    item.Name("half", &address.half, Presence::kRequired);
    item.Url("url", &address.url, Presence::kRequired);
    if (address.half == half->name || HasAddress(*half, address.half)) {
      item.Report("half", "is this host's own half, or given before");
    }
    half->addresses.push_back(address);
  });
  // Callers of a workspace that another deployment owns are redirected there,
  // so its address is required.
  if (half->default_owner != half->name &&
      !HasAddress(*half, half->default_owner)) {
    section.Report("default_owner", "is neither half.name nor in addresses");
  }
  section.Finish();
}

void Read(YamlSection section, CallerSettings* callers) {
  section.Integer("max_body_bytes", 1024, 64 * kMebibyte,
                  &callers->max_body_bytes);
  section.Integer("max_header_bytes", 1024, kMebibyte,
                  &callers->max_header_bytes);
  section.Integer("body_timeout_ms", 100, kHourMs, &callers->body_timeout_ms);
  section.Integer("max_streams", 1, 1000000, &callers->max_streams);
  section.Integer("keepalive_ms", 100, kHourMs, &callers->keepalive_ms);
  section.Integer("slow_caller_bytes", 1024, 64 * kMebibyte,
                  &callers->slow_caller_bytes);
  section.Integer("whole_answer_bytes", 1024, 256 * kMebibyte,
                  &callers->whole_answer_bytes);
  section.Finish();
}

void Read(YamlSection section, AnswerSettings* answers) {
  section.File("resume_key_file", &answers->resume_key_file);
  section.Integer("resume_expiry_ms", kSecondMs, kDayMs,
                  &answers->resume_expiry_ms);
  section.Integer("orphan_timeout_ms", kSecondMs, kHourMs,
                  &answers->orphan_timeout_ms);
  section.Integer("engine_silence_ms", 100, kHourMs,
                  &answers->engine_silence_ms);
  section.Finish();
}

void Read(YamlSection section, PolicySettings* policy) {
  section.Number("stall_weight", 0, kMaxWeight, &policy->stall_weight);
  section.Number("preemption_weight", 0, kMaxWeight,
                 &policy->preemption_weight);
  section.Number("token_gap_weight", 0, kMaxWeight, &policy->token_gap_weight);
  const int chosen = section.Choice("chooser", ChooserNames());
  if (chosen >= 0) {
    policy->chooser = static_cast<ChooserKind>(chosen);
  }
  section.Integer("queue_limit", 0, 1000000, &policy->queue_limit);
  section.Number("retry_budget_ratio", 0, 1, &policy->retry_budget_ratio);
  section.Finish();
}

void Read(YamlSection section, HostExchangeSettings* exchange) {
  section.Integer("period_ms", 50, 60 * kSecondMs, &exchange->period_ms);
  section.Integer("fanout", 1, 16, &exchange->fanout);
  section.Integer("bytes_per_second", 1000, 100 * kMebibyte,
                  &exchange->bytes_per_second);
  section.Finish();
}

void Read(YamlSection section, ClaimsSettings* claims) {
  section.Integer("shards", 1, 4096, &claims->shards);
  section.Integer("retention_ms", kSecondMs, 30 * kDayMs,
                  &claims->retention_ms);
  // The object API stores values of at most 1 MiB.
  section.Integer("segment_bytes", 1024, kMebibyte, &claims->segment_bytes);
  section.Finish();
}

void Read(YamlSection section, PlacementSettings* placement) {
  section.Flag("enabled", &placement->enabled);
  section.Integer("groups", 1, 10000, &placement->groups);
  section.Integer("lease_ms", 100, kHourMs, &placement->lease_ms);
  section.Integer("order_deadline_ms", 10, kHourMs,
                  &placement->order_deadline_ms);
  section.Number("loads_per_second", 0.001, 10000,
                 &placement->loads_per_second);
  if (placement->order_deadline_ms >= placement->lease_ms) {
    section.Report("order_deadline_ms", "is not less than placement.lease_ms");
  }
  section.Finish();
}

void Read(YamlSection section, ConfigurationSettings* configuration) {
  section.Integer("stale_limit_ms", 100, kHourMs,
                  &configuration->stale_limit_ms);
  section.Finish();
}

void Read(YamlSection section, TlsSettings* tls) {
  section.File("certificate_file", &tls->certificate_file);
  section.File("key_file", &tls->key_file);
  if (tls->certificate_file.empty() != tls->key_file.empty()) {
    section.Report(tls->key_file.empty() ? "key_file" : "certificate_file",
                   "is missing: tls takes both files or none");
  }
  section.Finish();
}

void Read(YamlSection document, Settings* settings) {
  Read(document.Section("host"), &settings->host);
  Read(document.Section("platform"), &settings->platform);
  Read(document.Section("half"), &settings->half);
  Read(document.Section("callers"), &settings->callers);
  Read(document.Section("answers"), &settings->answers);
  Read(document.Section("policy"), &settings->policy);
  Read(document.Section("exchange"), &settings->exchange);
  Read(document.Section("claims"), &settings->claims);
  Read(document.Section("placement"), &settings->placement);
  Read(document.Section("configuration"), &settings->configuration);
  Read(document.Section("tls"), &settings->tls);
  document.Finish();
}

bool ByLine(const SettingsProblem& left, const SettingsProblem& right) {
  return left.line < right.line;
}

}  // namespace

std::string_view ChooserName(ChooserKind chooser) {
  return ChooserNames().at(static_cast<std::size_t>(chooser));
}

absl::Status StatusOf(std::span<const SettingsProblem> problems) {
  if (problems.empty()) {
    return absl::OkStatus();
  }
  ErrorDetail detail;
  detail.id = ErrorId::kSettingsInvalid;
  detail.step = "settings";
  detail.field = problems.front().field;
  std::string message = "the settings are not valid:";
  for (const SettingsProblem& problem : problems) {
    absl::StrAppend(&message, "\n  line ", problem.line, ": ", problem.field,
                    " ", problem.message);
  }
  return MakeError(absl::StatusCode::kInvalidArgument, detail, message);
}

std::vector<SettingsProblem> ReadYaml(
    std::string_view text,
    const std::function<void(const YAML::Node&, std::vector<SettingsProblem>*)>&
        read) {
  std::vector<SettingsProblem> problems;
  try {
    read(YAML::Load(std::string(text)), &problems);
  } catch (const YAML::Exception& error) {
    // Uses `msg` instead of what(): it describes the error without quoting the
    // document.
    problems.push_back(
        {error.mark.line + 1, "document", "is not YAML: " + error.msg});
  }
  std::stable_sort(problems.begin(), problems.end(), ByLine);
  return problems;
}

SettingsProblem UnreadableFileProblem(const absl::Status& status) {
  return {0, "file", std::string{status.message()}};
}

ParsedSettings ParseSettings(std::string_view text) {
  ParsedSettings parsed;
  parsed.problems =
      ReadYaml(text, [&parsed](const YAML::Node& document,
                               std::vector<SettingsProblem>* problems) {
        Read(YamlSection(document, "", problems), &parsed.settings);
      });
  return parsed;
}

ParsedSettings LoadSettings(std::string_view path) {
  const absl::StatusOr<std::string> text = ReadTextFile(path);
  return text.ok() ? ParseSettings(*text)
                   : ParsedSettings{{}, {UnreadableFileProblem(text.status())}};
}

}  // namespace meadowthread
