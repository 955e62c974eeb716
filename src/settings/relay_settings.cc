#include "settings/relay_settings.h"

#include "settings/text_file.h"
#include "settings/yaml_section.h"

namespace meadowthread {
namespace {

constexpr int kMaxPort = 65'535;
constexpr double kMaxGraceS = 3'600.0;
constexpr int kMinDescriptors = 64;
constexpr int kMaxDescriptors = 1'048'576;
constexpr std::int64_t kMaxMemoryMb = 1'048'576;
constexpr std::int64_t kMaxBoundMs = 3'600'000;
constexpr int kMaxHosts = 100'000;
constexpr double kMaxColdOver = 100.0;
constexpr double kMaxExtraRetries = 1e6;
constexpr double kMaxBadRequests = 1e6;
// Shares of an engine's memory; more than 1 is for measurements only.
constexpr double kMinMemoryShare = 0.1;
constexpr double kMaxMemoryShare = 1.5;

void ReadHost(YamlSection section, HostSettings* host) {
  section.Name("name", &host->name, Presence::kRequired);
  section.Name("zone", &host->zone, Presence::kRequired);
  section.Name("region", &host->region, Presence::kRequired);
  section.Finish();
}

// All listeners use the address given for callers.
void ReadListen(YamlSection section, HostSettings* host,
                RelayListenSettings* listen) {
  std::string address;
  section.Endpoint("callers", &host->address, &host->port, Presence::kRequired);
  section.Endpoint("ready", &address, &listen->ready_port, Presence::kRequired);
  section.Endpoint("control", &address, &host->control_port,
                   Presence::kRequired);
  section.Integer("loads_port", 1, kMaxPort, &listen->loads_port,
                  Presence::kRequired);
  section.Integer("metrics_port", 0, kMaxPort, &listen->metrics_port);
  section.Finish();
}

void Read(YamlSection section, RelayRetrySettings* retries) {
  section.Number("per_request", 0.0, 1.0, &retries->per_request);
  section.Number("extra", 0.0, kMaxExtraRetries, &retries->extra);
  section.Finish();
}

void Read(YamlSection section, RelayBoundSettings* bounds) {
  section.Number("grace_s", 0.1, kMaxGraceS, &bounds->grace_s);
  section.Integer("descriptors", kMinDescriptors, kMaxDescriptors,
                  &bounds->descriptors);
  section.Integer("memory_mb", 16, kMaxMemoryMb, &bounds->memory_mb);
  section.Integer("change_ms", 1, kMaxBoundMs, &bounds->change_ms);
  section.Integer("leaving_ms", 1, kMaxBoundMs, &bounds->leaving_ms);
  section.Integer("emptying_ms", 1, kMaxBoundMs, &bounds->emptying_ms);
  section.Number("cold_over", 1.0, kMaxColdOver, &bounds->cold_over);
  section.Integer("settle_ms", 0, kMaxBoundMs, &bounds->settle_ms);
  section.Finish();
}

void Read(YamlSection section, RelayRolloutSettings* rollouts) {
  section.Number("max_bad_share", 0.0, 1.0, &rollouts->max_bad_share);
  section.Number("max_bad_requests", 0.0, kMaxBadRequests,
                 &rollouts->max_bad_requests);
  section.Finish();
}

void Read(YamlSection section, RelayPolicySettings* policy) {
  section.Flag("refuses_late", &policy->refuses_late);
  section.Flag("lets_returned_wait", &policy->lets_returned_wait);
  section.Flag("spreads_returns", &policy->spreads_returns);
  section.Flag("avoids_bad_links", &policy->avoids_bad_links);
  section.Flag("stops_are_told", &policy->stops_are_told);
  section.Flag("staggers_watches", &policy->staggers_watches);
  section.Number("memory_limit", kMinMemoryShare, kMaxMemoryShare,
                 &policy->memory_limit);
  section.Number("late_work_part", kMinMemoryShare, kMaxMemoryShare,
                 &policy->late_work_part);
  section.Number("short_work_limit", kMinMemoryShare, kMaxMemoryShare,
                 &policy->short_work_limit);
  section.Flag("guards_warm", &policy->guards_warm);
  section.Flag("measures_engine_speeds", &policy->measures_engine_speeds);
  section.Integer("direct_hosts", 1, kMaxHosts, &policy->direct_hosts);
  section.Finish();
}

void Read(YamlSection section, HostExchangeSettings* exchange) {
  section.Integer("period_ms", 50, 60'000, &exchange->period_ms);
  section.Integer("fanout", 0, 100, &exchange->fanout);
  section.Integer("bytes_per_second", 1'000, 100'000'000,
                  &exchange->bytes_per_second);
  section.Finish();
}

void ReadZone(YamlSection& section,
              std::map<std::string, std::string>* regions) {
  std::string zone;
  std::string region;
  section.Name("name", &zone, Presence::kRequired);
  section.Name("region", &region, Presence::kRequired);
  section.Finish();
  (*regions)[zone] = region;
}

void Read(YamlSection document, RelaySettings* settings) {
  ReadHost(document.Section("host"), &settings->host);
  ReadListen(document.Section("listen"), &settings->host, &settings->listen);
  document.Url("store", &settings->store, Presence::kRequired);
  document.List("zones", [settings](YamlSection& zone) {
    ReadZone(zone, &settings->regions);
  });
  Read(document.Section("retries"), &settings->retries);
  Read(document.Section("bounds"), &settings->bounds);
  Read(document.Section("rollouts"), &settings->rollouts);
  Read(document.Section("policy"), &settings->policy);
  Read(document.Section("exchange"), &settings->exchange);
  document.Finish();
}

}  // namespace

ParsedRelaySettings ParseRelaySettings(std::string_view text) {
  ParsedRelaySettings parsed;
  parsed.problems =
      ReadYaml(text, [&parsed](const YAML::Node& document,
                               std::vector<SettingsProblem>* problems) {
        Read(YamlSection(document, "", problems), &parsed.settings);
      });
  return parsed;
}

ParsedRelaySettings LoadRelaySettings(std::string_view path) {
  const absl::StatusOr<std::string> text = ReadTextFile(path);
  return text.ok()
             ? ParseRelaySettings(*text)
             : ParsedRelaySettings{{}, {UnreadableFileProblem(text.status())}};
}

}  // namespace meadowthread
