#include "settings/settings.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "base/error.h"
#include "settings/secret_file.h"

namespace meadowthread {
namespace {

constexpr std::string_view kMinimalSettings =
    "host: {name: entry-1, zone: makati-hall, region: manila,\n"
    "       address: 127.0.0.1, port: 8080, control_port: 8081}\n"
    "platform:\n"
    "  object_api: http://127.0.0.1:9000/\n"
    "  host_list: http://127.0.0.1:9001/hosts\n";

ParsedSettings WithMore(std::string_view more) {
  return ParseSettings(std::string(kMinimalSettings) + std::string(more));
}

bool HasOnly(const ParsedSettings& parsed, const SettingsProblem& problem) {
  return parsed.problems.size() == 1 && parsed.problems.front() == problem;
}

Test(the_settings, require_only_host_and_platform) {
  const ParsedSettings parsed = ParseSettings(kMinimalSettings);
  cr_assert(parsed.IsValid());
  cr_assert(parsed.settings.host.zone == "makati-hall");
  cr_assert(parsed.settings.platform.object_api == "http://127.0.0.1:9000");
  cr_assert(parsed.settings.exchange == HostExchangeSettings{});
  cr_assert(parsed.settings.half.default_owner == "main");
}

Test(the_settings, apply_given_values) {
  const ParsedSettings parsed = WithMore(
      "half: {name: east, default_owner: west,\n"
      "       addresses: [{half: west, url: 'https://west.example'}]}\n"
      "policy: {stall_weight: 2.5, chooser: power_of_two}\n"
      "placement: {enabled: false}\n");
  cr_assert(parsed.IsValid());
  cr_assert(parsed.settings.half.addresses.front().half == "west");
  cr_assert(parsed.settings.policy.stall_weight == 2.5);
  cr_assert(parsed.settings.policy.chooser == ChooserKind::kPowerOfTwo);
  cr_assert(ChooserName(ChooserKind::kPowerOfTwo) == "power_of_two");
  cr_assert(!parsed.settings.placement.enabled);
}

Test(invalid_settings, are_all_reported_at_once_by_line) {
  const ParsedSettings parsed = ParseSettings(
      "host: {name: a b, zone: z, region: r, address: localhost,\n"
      "       port: 70000}\n"
      "platform: {object_api: ftp://x, watchers: many}\n");
  cr_assert(parsed.problems.size() == 7);
  cr_assert(parsed.problems[0].field == "host.name");
  cr_assert(parsed.problems[1].field == "host.address");
  cr_assert(parsed.problems[2].field == "host.control_port");
  cr_assert(parsed.problems[2].message == "is missing");
  cr_assert(parsed.problems[3] ==
            (SettingsProblem{2, "host.port",
                             "is not a whole number from 1 to 65535"}));
  cr_assert(parsed.problems[4].line == 3);
  cr_assert(parsed.Status().message().find("line 2: host.port") !=
            absl::string_view::npos);
}

Test(invalid_settings, report_the_nearest_known_field) {
  cr_assert(HasOnly(WithMore("callers: {max_stream: 5}\n"),
                    {6, "callers.max_stream",
                     "is not a known field; the nearest is 'max_streams'"}));
  cr_assert(HasOnly(WithMore("zebra_crossing: 1\n"),
                    {6, "zebra_crossing", "is not a known field"}));
}

Test(invalid_settings, include_out_of_range_and_duplicate_fields) {
  cr_assert(
      HasOnly(WithMore("policy: {stall_weight: nan}\n"),
              {6, "policy.stall_weight", "is not a number from 0 to 1000"}));
  cr_assert(HasOnly(WithMore("claims: {shards: 8, shards: 9}\n"),
                    {6, "claims.shards", "is given twice"}));
  cr_assert(HasOnly(WithMore("claims: [8]\n"),
                    {6, "claims", "is not a map of fields"}));
}

Test(invalid_settings, include_contradicting_fields) {
  cr_assert(HasOnly(WithMore("placement: {lease_ms: 500}\n"),
                    {6, "placement.order_deadline_ms",
                     "is not less than placement.lease_ms"}));
  cr_assert(HasOnly(
      WithMore("half: {default_owner: west}\n"),
      {6, "half.default_owner", "is neither half.name nor in addresses"}));
  cr_assert(
      HasOnly(WithMore("tls: {certificate_file: a.pem}\n"),
              {6, "tls.key_file", "is missing: tls takes both files or none"}));
}

Test(invalid_settings, include_malformed_yaml_and_missing_files) {
  cr_assert(ParseSettings("host: {").problems.front().field == "document");
  cr_assert(LoadSettings("/nonexistent/x.yaml").problems.front().line == 0);
}

Test(a_secret_in_settings, is_rejected_and_not_printed) {
  for (const std::string_view more :
       {"answers: {resume_key: hunter2}\n",
        "tls: {certificate_file: a, key_file: '-----BEGIN hunter2'}\n",
        "half: {addresses: [{half: w, url: 'http://u:hunter2@h'}]}\n"}) {
    const ParsedSettings parsed = WithMore(more);
    cr_assert(!parsed.IsValid());
    const absl::Status status = parsed.Status();
    cr_assert(status.message().find("secrets are given by file") !=
              absl::string_view::npos);
    cr_assert(status.message().find("hunter2") == absl::string_view::npos);
  }
}

Test(a_secret_file, returns_its_secret_or_an_error_without_it) {
  const std::string path =
      "/tmp/meadowthread-secret-" + std::to_string(getpid());
  std::ofstream(path) << "hunter2\n";
  cr_assert(*ReadSecretFile("answers.resume_key_file", path) == "hunter2");
  std::ofstream(path) << "\n";
  const absl::Status empty =
      ReadSecretFile("answers.resume_key_file", path).status();
  std::remove(path.c_str());
  const absl::Status gone =
      ReadSecretFile("answers.resume_key_file", path).status();
  cr_assert(DetailOf(empty).field == "answers.resume_key_file");
  cr_assert(DetailOf(gone).peer == path);
}

}  // namespace
}  // namespace meadowthread
