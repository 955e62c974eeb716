#include "settings/relay_settings.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace meadowthread {
namespace {

constexpr char kCompleteSettings[] =
    "host: {name: entry-1, zone: pasig-hall, region: metro-manila}\n"
    "listen: {callers: \"127.0.0.1:8740\", ready: \"127.0.0.1:8749\",\n"
    "  control: \"127.0.0.1:8748\", loads_port: 7200}\n"
    "store: \"http://127.0.0.1:8742\"\n"
    "retries: {per_request: 0.2, extra: 58}\n"
    "bounds: {grace_s: 8, descriptors: 4100, memory_mb: 110,\n"
    "  leaving_ms: 1900, emptying_ms: 4000, cold_over: 1.5, settle_ms: 2800}\n"
    "rollouts: {max_bad_share: 0.1, max_bad_requests: 50}\n"
    "zones: [{name: pasig-hall, region: metro-manila}]\n";

Test(relay_settings, are_read_completely) {
  const ParsedRelaySettings parsed = ParseRelaySettings(kCompleteSettings);
  cr_assert(parsed.IsValid(), "%s", parsed.Status().ToString().c_str());
  cr_assert(parsed.settings.host.name == "entry-1");
  cr_assert(parsed.settings.listen.ready_port == 8749);
  cr_assert(parsed.settings.host.address == "127.0.0.1");
  cr_assert(parsed.settings.host.port == 8740);
  cr_assert(parsed.settings.store == "http://127.0.0.1:8742");
  cr_assert(parsed.settings.retries.extra == 58.0);
  cr_assert(parsed.settings.bounds.memory_mb == 110);
  cr_assert(parsed.settings.bounds.leaving_ms == 1'900);
  cr_assert(parsed.settings.bounds.settle_ms == 2'800);
  cr_assert(parsed.settings.bounds.change_ms == 2'000, "not set");
  cr_assert(parsed.settings.bounds.emptying_ms == 4'000);
  cr_assert(parsed.settings.bounds.cold_over == 1.5);
  cr_assert(parsed.settings.rollouts.max_bad_share == 0.1);
  cr_assert(parsed.settings.rollouts.max_bad_requests == 50.0);
  cr_assert(parsed.settings.regions.at("pasig-hall") == "metro-manila");
}

Test(relay_settings, with_rollout_limits_out_of_range_are_refused) {
  const ParsedRelaySettings parsed =
      ParseRelaySettings("rollouts: {max_bad_share: 1.5}\n");
  const bool is_named = std::any_of(
      parsed.problems.begin(), parsed.problems.end(), [](const auto& problem) {
        return problem.field == "rollouts.max_bad_share";
      });
  cr_assert(is_named);
}

Test(relay_settings, with_problems_report_every_field) {
  const ParsedRelaySettings parsed = ParseRelaySettings(
      "host: {name: entry-1}\nstores: x\n"
      "listen: {callers: \"127.0.0.1:70000\"}\n");
  cr_assert(!parsed.IsValid());
  const std::string all = parsed.Status().ToString();
  for (const char* const field :
       {"host.zone", "listen.callers", "store", "stores", "listen.ready"}) {
    cr_assert(all.find(field) != std::string::npos, "%s", field);
  }
}

Test(relay_settings, that_are_malformed_yaml_report_the_document) {
  const ParsedRelaySettings parsed = ParseRelaySettings("host: {name: [\n");
  cr_assert(!parsed.IsValid());
  cr_assert(parsed.problems.front().field == "document");
}

Test(relay_settings, can_switch_off_parts_of_the_policy) {
  const ParsedRelaySettings complete = ParseRelaySettings(kCompleteSettings);
  cr_assert(complete.settings.policy == RelayPolicySettings{});
  const ParsedRelaySettings parsed =
      ParseRelaySettings(std::string(kCompleteSettings) +
                         "policy: {refuses_late: false, memory_limit: 0.95}\n");
  cr_assert(parsed.IsValid());
  cr_assert(!parsed.settings.policy.refuses_late);
  cr_assert(parsed.settings.policy.memory_limit == 0.95);
  const ParsedRelaySettings wrong =
      ParseRelaySettings(std::string(kCompleteSettings) +
                         "policy: {memory_limit: 7, refuse: no}\n");
  cr_assert(wrong.problems.size() == 2);
}

}  // namespace
}  // namespace meadowthread
