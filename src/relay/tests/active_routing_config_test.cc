// Choosing a request's route and rules, and the requests that are refused.
#include "relay/active_routing_config.h"

#include <criterion/criterion.h>

#include "base/error.h"
#include "store/store_revision.h"

namespace meadowthread {
namespace {

RouteRule Route(const std::string& name, const std::string& host,
                const std::string& prefix) {
  RouteRule route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.urgency = 3;
  route.services = {{"pool", 1}};
  return route;
}

RoutingConfig MakeConfig(const std::string& version) {
  RoutingConfig config;
  config.version = version;
  config.routes = {Route("short", "a.example", "/x/"),
                   Route("long", "a.example", "/x/y/"),
                   Route("other", "b.example", "/x/")};
  config.needs_keys = true;
  config.workspaces = {{"makati", {"key-1", "key-2"}, 1},
                       {"pasig", {"key-3"}, std::nullopt}};
  return config;
}

RelayRequest Request(const std::string& host, const std::string& path,
                     const std::string& key) {
  RelayRequest request;
  request.host = host;
  request.path = path;
  request.key = key;
  return request;
}

ErrorId Refusal(const ActiveRoutingConfig& config,
                const RelayRequest& request) {
  const auto terms = config.TermsOf(request, 0);
  cr_assert(!terms.ok());
  cr_assert(DetailOf(terms.status()).outcome == Outcome::kNotRun);
  return DetailOf(terms.status()).id;
}

Test(a_host_without_a_configuration, refuses_requests_with_a_retry_delay) {
  const ActiveRoutingConfig config;
  const auto terms = config.TermsOf(Request("a.example", "/x/", "key-1"), 0);
  cr_assert(DetailOf(terms.status()).id == ErrorId::kHostNotReady);
  cr_assert(DetailOf(terms.status()).retry_after_ms > 0);
}

Test(a_request, takes_the_route_with_the_longest_prefix) {
  ActiveRoutingConfig config;
  config.Activate(MakeConfig("7"), 10);
  const auto route = [&config](const char* host, const char* path) {
    return config.TermsOf(Request(host, path, "key-1"), 0)->route;
  };
  cr_assert(route("a.example", "/x/z") == "short");
  cr_assert(route("a.example", "/x/y/z") == "long");
  cr_assert(route("a.example", "/x/y") == "short");
  cr_assert(route("b.example", "/x/y/z") == "other");
  cr_assert(Refusal(config, Request("a.example", "/", "key-1")) ==
            ErrorId::kNotFound);
  cr_assert(Refusal(config, Request("c.example", "/x/", "key-1")) ==
            ErrorId::kNotFound);
}

Test(a_request, is_bound_to_the_regions_of_its_route_and_its_workspace) {
  RoutingConfig bound = MakeConfig("7");
  bound.routes[0].home_regions = {"manila", "cebu"};
  bound.workspaces[0].home_regions = {"cebu", "luzon"};
  ActiveRoutingConfig config;
  config.Activate(bound, 10);
  const auto homes = [&config](const char* path, const char* key) {
    return config.TermsOf(Request("a.example", path, key), 0)->allowed_regions;
  };
  cr_assert(homes("/x/", "key-1") == AllowedRegions({"cebu"}),
            "both lists apply");
  cr_assert(homes("/x/", "key-3") == AllowedRegions({"manila", "cebu"}));
  cr_assert(homes("/x/y/", "key-1") == AllowedRegions({"cebu", "luzon"}));
  cr_assert(!homes("/x/y/", "key-3").has_value(), "neither list restricts it");
  bound.workspaces[0].home_regions = {"luzon"};
  config.Activate(bound, 11);
  cr_assert(homes("/x/", "key-1").has_value() &&
            homes("/x/", "key-1")->empty());
}

Test(a_request, belongs_to_the_workspace_of_its_key) {
  ActiveRoutingConfig config;
  config.Activate(MakeConfig("7"), 10);
  const auto makati = config.TermsOf(Request("a.example", "/x/", "key-2"), 0);
  cr_assert(makati->workspace == "makati" && makati->urgency == 1);
  const auto pasig = config.TermsOf(Request("a.example", "/x/", "key-3"), 0);
  cr_assert(pasig->workspace == "pasig" && pasig->urgency == 3);
  cr_assert(Refusal(config, Request("a.example", "/x/", "key-4")) ==
            ErrorId::kUnknownKey);
  cr_assert(Refusal(config, Request("a.example", "/x/", "")) ==
            ErrorId::kUnknownKey);
}

Test(a_request, needs_no_key_on_a_public_route_or_without_workspaces) {
  ActiveRoutingConfig config;
  RoutingConfig open = MakeConfig("7");
  open.routes[0].is_public = true;
  config.Activate(open, 10);
  cr_assert(
      config.TermsOf(Request("a.example", "/x/", ""), 0)->workspace.empty());
  RoutingConfig without = MakeConfig("8");
  without.needs_keys = false;
  without.workspaces.clear();
  config.Activate(without, 11);
  cr_assert(config.TermsOf(Request("a.example", "/x/y/", ""), 0).ok());
}

Test(a_configuration, is_replaced_only_by_a_later_revision) {
  ActiveRoutingConfig config;
  int notified = 0;
  config.AddListener([&notified] { ++notified; });
  cr_assert(config.Activate(MakeConfig("7"), 10));
  cr_assert(!config.Activate(MakeConfig("6"), 9));
  cr_assert(!config.Activate(MakeConfig("7"), 10));
  cr_assert(config.Config()->version == "7" && notified == 1);
  RoutingConfig revoked = MakeConfig("8");
  revoked.workspaces[0].keys = {"key-2"};
  cr_assert(config.Activate(revoked, 11));
  cr_assert(Refusal(config, Request("a.example", "/x/", "key-1")) ==
            ErrorId::kUnknownKey);
}

Test(a_split_route, gives_each_service_its_weight) {
  ActiveRoutingConfig config;
  RoutingConfig split = MakeConfig("7");
  split.routes[0].services = {{"new", 10}, {"old", 90}, {"none", 0}};
  config.Activate(split, 10);
  int to_new = 0;
  for (std::uint64_t i = 0; i < 1'000; ++i) {
    const auto terms = config.TermsOf(Request("a.example", "/x/", "key-1"), i);
    cr_assert(terms->service != "none");
    to_new += terms->service == "new" ? 1 : 0;
  }
  cr_assert(to_new == 100);
}

// The older copy of the store held the configuration before, whose keys were
// taken again.
Test(a_configuration_of_an_older_copy, is_not_put_in_force) {
  ActiveRoutingConfig active;
  cr_assert(active.Activate(MakeConfig("26"), StoreRevision{3, 34}.Ordinal()));
  cr_assert(!active.Activate(MakeConfig("19"), StoreRevision{4, 30}.Ordinal()));
  cr_assert(active.Config()->version == "26");
  cr_assert(active.Activate(MakeConfig("26"), StoreRevision{4, 31}.Ordinal()),
            "it is written again");
  cr_assert(active.Activate(MakeConfig("28"), StoreRevision{4, 32}.Ordinal()));
}

Test(a_configuration_of_the_same_era, is_ordered_by_the_store_alone) {
  ActiveRoutingConfig active;
  cr_assert(active.Activate(MakeConfig("26"), StoreRevision{3, 34}.Ordinal()));
  cr_assert(active.Activate(MakeConfig("19"), StoreRevision{3, 35}.Ordinal()));
}

}  // namespace
}  // namespace meadowthread
