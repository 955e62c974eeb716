#include <criterion/criterion.h>

#include <array>

#include "process/fleet.h"

// An accepted configuration is in force everywhere and never reverts.

namespace meadowthread::tests {
namespace {

using nlohmann::json;

FleetPlan Plan(int hosts) {
  FleetPlan plan;
  plan.hosts = hosts;
  plan.engines = 1;
  return plan;
}

std::int64_t RevisionOf(Fleet& fleet, int host) {
  return fleet.Status(host).value("configuration_revision", std::int64_t{0});
}

Test(an_accepted_template, is_in_force_on_every_host) {
  const TestApplication application;
  Fleet fleet(Plan(3));
  fleet.Start();
  fleet.PutTemplate(fleet.TemplateYaml(3), 1);
  for (int host = 0; host < 3; ++host) {
    cr_assert(WaitFor([&] {
      const json answer = JsonOf(
          Call(fleet.Client(),
               Post(fleet.HostUrl(host) + "/v1/completions", kKey,
                    R"({"model":"reconcile","prompt":"[tokens=9] x"})")));
      return answer["usage"]["completion_tokens"] == 3;
    }));
  }
}

Test(an_accepted_template, does_not_revert_with_stale_reads_of_the_platform) {
  const TestApplication application;
  Fleet fleet(Plan(2));
  fleet.Start();
  fleet.PutTemplate(fleet.TemplateYaml(3), 1);
  cr_assert(WaitFor(
      [&] { return RevisionOf(fleet, 0) >= 2 && RevisionOf(fleet, 1) >= 2; }));
  const std::int64_t first = RevisionOf(fleet, 0);
  fleet.SetFaults(fleet.StoreUrl(), {{"stale_reads_ms", 3'600'000}});
  // the hosts read the platform again and again meanwhile
  const auto reads = [&fleet] {
    std::int64_t count = 0;
    for (const auto& [kind, calls] :
         fleet.Record(fleet.StoreUrl())["calls"].items()) {
      count += calls.is_number() ? calls.get<std::int64_t>() : 0;
    }
    return count;
  };
  const std::int64_t before = reads();
  fleet.Mark("entry-9", "leaving");
  cr_assert(WaitFor([&] { return reads() >= before; }));
  cr_assert(RevisionOf(fleet, 0) >= first);
  cr_assert(RevisionOf(fleet, 1) >= first);
}

// Hosts learn of a revision one after the other, so that each is compared with
// what it knew itself.
Test(an_accepted_template, is_never_older_at_a_host_than_at_its_last_answer) {
  const TestApplication application;
  constexpr std::int64_t kReads = 6;
  Fleet fleet(Plan(2));
  fleet.Start();
  fleet.PutTemplate(fleet.TemplateYaml(3), 1);
  cr_assert(WaitFor(
      [&] { return RevisionOf(fleet, 0) >= 2 && RevisionOf(fleet, 1) >= 2; }));
  fleet.SetFaults(fleet.StoreUrl(), {{"stale_reads_ms", 3'600'000}});
  // the hosts read the platform again and again meanwhile
  const auto reads = [&fleet] {
    const json calls = fleet.Record(fleet.StoreUrl())["calls"];
    return calls.value("list", std::int64_t{0}) +
           calls.value("watch", std::int64_t{0});
  };
  std::array<std::int64_t, 2> known = {RevisionOf(fleet, 0),
                                       RevisionOf(fleet, 1)};
  const std::int64_t before = reads();
  fleet.Mark("entry-9", "leaving");
  cr_assert(WaitFor([&] {
    for (int host = 0; host < 2; ++host) {
      const std::int64_t now = RevisionOf(fleet, host);
      cr_assert(now >= known.at(host), "host %d: %d after %d", host,
                static_cast<int>(now), static_cast<int>(known.at(host)));
      known.at(host) = now;
    }
    return reads() >= before + kReads && known[0] == known[1];
  }));
}

// Guards against a status that shows a revision of writes other than templates:
// whoever waited for it took an accepted template for known too early.
Test(a_hosts_configuration_revision, is_not_raised_by_other_writes) {
  const TestApplication application;
  Fleet fleet(Plan(2));
  fleet.Start();
  fleet.Mark("entry-9", "leaving");
  // A watch that begins later ends with the mark's revision at the latest.
  const auto watches = [&fleet] {
    return fleet.Record(fleet.StoreUrl())["calls"].value("watch",
                                                         std::int64_t{0});
  };
  const std::int64_t before = watches();
  cr_assert(WaitFor([&] { return watches() >= before + 6; }));
  cr_assert(RevisionOf(fleet, 0) == 1 && RevisionOf(fleet, 1) == 1,
            "%d, %d: the only template was written first",
            static_cast<int>(RevisionOf(fleet, 0)),
            static_cast<int>(RevisionOf(fleet, 1)));
}

Test(a_host_that_starts_while_the_platform_is_down, learns_from_its_peers) {
  const TestApplication application;
  Fleet fleet(Plan(2));
  fleet.StartPlatform();
  fleet.PutTemplate(fleet.TemplateYaml(3), 1);
  fleet.StartHost(0);
  cr_assert(WaitFor([&] { return fleet.IsReady(0); }));
  const std::int64_t known = RevisionOf(fleet, 0);
  fleet.SetFaults(fleet.StoreUrl(), {{"down", true}});
  fleet.StartHost(1);
  cr_assert(WaitFor([&] { return fleet.IsReady(1); }));
  cr_assert(RevisionOf(fleet, 1) >= known);
}

Test(a_host_that_reaches_neither_platform_nor_peer, is_not_ready) {
  const TestApplication application;
  Fleet fleet(Plan(2));
  fleet.StartPlatform();
  fleet.SetFaults(fleet.StoreUrl(), {{"down", true}});
  fleet.StartHost(0);
  cr_assert(WaitFor([&] { return fleet.Status(0).contains("ready"); }));
  cr_assert(!fleet.IsReady(0));
  fleet.SetFaults(fleet.StoreUrl(), {{"down", false}});
  cr_assert(WaitFor([&] { return fleet.IsReady(0); }));
  // and a running one stops taking work once it is cut off
  fleet.StartHost(1);
  cr_assert(WaitFor([&] { return fleet.IsReady(1); }));
  fleet.SetFaults(fleet.StoreUrl(), {{"down", true}});
  fleet.Host(0).Kill();
  cr_assert(WaitFor([&] { return !fleet.IsReady(1); }));
}

// It answered valid keys with 401 until it had read the first template.
Test(a_host_that_has_read_no_template,
     refuses_no_key_but_says_that_it_is_early) {
  const TestApplication application;
  Fleet fleet(Plan(1));
  fleet.StartPlatform();
  fleet.SetFaults(fleet.StoreUrl(), {{"down", true}});
  fleet.StartHost(0);
  cr_assert(WaitFor([&] { return fleet.Status(0).contains("ready"); }));
  const auto status_of = [&fleet](const std::string& key) {
    return Call(fleet.Client(), Post(fleet.HostUrl(0) + "/v1/completions", key,
                                     R"({"model":"reconcile","prompt":"a"})"))
        .response.http_status;
  };
  cr_assert(status_of(kKey) == 503, "%d", status_of(kKey));
  fleet.SetFaults(fleet.StoreUrl(), {{"down", false}});
  cr_assert(WaitFor([&] { return fleet.IsReady(0); }));
  cr_assert(status_of(kKey) == 200, "%d", status_of(kKey));
  cr_assert(status_of("no-such-key") == 401);
}

Test(an_invalid_template, is_reported_and_stops_no_other) {
  const TestApplication application;
  Fleet fleet(Plan(1));
  fleet.Start();
  fleet.Put("templates", "broken",
            {{"operation", "x"},
             {"author", "x"},
             {"unix_ms", 1},
             {"yaml", "name: [broken"}});
  cr_assert(
      WaitFor([&] { return !fleet.Status(0)["template_problems"].empty(); }));
  cr_assert(fleet.Status(0)["template_problems"][0]["template"] == "broken");
  cr_assert(fleet.IsReady(0));
}

Test(placement, loads_what_accepted_templates_need_once) {
  const TestApplication application;
  FleetPlan plan = Plan(2);
  plan.engines = 2;
  plan.placement = true;
  Fleet fleet(plan);
  fleet.StartPlatform();
  fleet.StartHost(0);
  fleet.StartHost(1);
  json answer;
  cr_assert(WaitFor([&] {
    answer =
        JsonOf(Call(fleet.Client(),
                    Post(fleet.HostUrl(0) + "/v1/completions", kKey,
                         R"({"model":"reconcile","prompt":"[tokens=2] x"})")));
    return answer.contains("choices");
  }));
  for (int n = 0; n < 2; ++n) {
    std::int64_t newest = 0;
    for (const json& order : fleet.Record(fleet.EngineUrl(n))["orders"]) {
      const auto fence = order["fence"].get<std::int64_t>();
      cr_assert(fence >= newest || order.value("applied", true) == false);
      newest = std::max(newest, fence);
    }
  }
}

Test(the_half_that_does_not_own_a_workspace, says_where_to_go) {
  const TestApplication application;
  FleetPlan plan = Plan(1);
  plan.half =
      "half: {name: east, default_owner: east, addresses: "
      "[{half: west, url: \"http://127.0.0.1:1\"}]}\n";
  Fleet fleet(plan);
  fleet.Start();
  const auto code = [&fleet] {
    return JsonOf(
               Call(fleet.Client(),
                    Post(fleet.HostUrl(0) + "/v1/completions", kKey,
                         R"({"model":"reconcile","prompt":"[tokens=2] x"})")))
        .value("code", 0);
  };
  cr_assert(WaitFor([&] { return code() == 0; }));
  fleet.Put("ownership", "workspace.makati",
            {{"owner", "west"},
             {"address", "http://127.0.0.1:1"},
             {"epoch", 2},
             {"state", "owned"},
             {"next_owner", ""},
             {"next_address", ""},
             {"operation", "test"}});
  cr_assert(WaitFor([&] { return code() == 207; }));
}

}  // namespace
}  // namespace meadowthread::tests
