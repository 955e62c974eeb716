#include "hostlist/host_history.h"

#include <criterion/criterion.h>

namespace meadowthread::standins {
namespace {

Test(a_host_list, shows_the_version_valid_at_a_time) {
  HostHistory history;
  history.Set(nlohmann::json::array({1}), 0);
  history.Set(nlohmann::json::array({2}), 1000);
  cr_assert(history.At(999).hosts[0] == 1);
  cr_assert(history.At(1000).hosts[0] == 2);
  cr_assert(history.At(-1).hosts.empty());
}

Test(a_host_list, is_parsed_from_yaml_and_json) {
  const auto hosts = ParseHosts(
      "- {name: n1, role: engine, address: 127.0.0.1, port: 80,"
      " checks_fence: true, zone: \"7\"}");
  cr_assert(hosts.ok());
  cr_assert((*hosts)[0]["port"] == 80 && (*hosts)[0]["checks_fence"] == true);
  cr_assert((*hosts)[0]["zone"] == "7" && (*hosts)[0]["state"] == "live");
  cr_assert(ParseHosts("{\"hosts\": []}").ok());
}

Test(a_host_list, names_the_invalid_field) {
  const auto hosts = ParseHosts("- {name: n1, role: engine}");
  cr_assert(!hosts.ok());
  cr_assert(hosts.status().message() == "hosts[0]: no text address");
  cr_assert(!ParseHosts("{{").ok());
  cr_assert(!ParseHosts("x: 1").ok());
}

}  // namespace
}  // namespace meadowthread::standins
