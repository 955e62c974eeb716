// Which route a request takes, under which terms, and what is refused.
#include "relay/plan_in_force.h"

#include <criterion/criterion.h>

#include "base/error.h"
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

ServicePlan Plan(const std::string& version) {
  ServicePlan plan;
  plan.version = version;
  plan.routes = {Route("short", "a.example", "/x/"),
                 Route("long", "a.example", "/x/y/"),
                 Route("other", "b.example", "/x/")};
  plan.needs_keys = true;
  plan.workspaces = {{"makati", {"key-1", "key-2"}, 1},
                     {"pasig", {"key-3"}, std::nullopt}};
  return plan;
}

RelayRequest Request(const std::string& host, const std::string& path,
                     const std::string& key) {
  RelayRequest request;
  request.host = host;
  request.path = path;
  request.key = key;
  return request;
}

ErrorId Refusal(const PlanInForce& plan, const RelayRequest& request) {
  const auto terms = plan.TermsOf(request, 0);
  cr_assert(!terms.ok());
  cr_assert(DetailOf(terms.status()).outcome == Outcome::kNotRun);
  return DetailOf(terms.status()).id;
}

Test(a_host_without_a_plan, refuses_everything_and_says_when_to_come_back) {
  const PlanInForce plan;
  const auto terms = plan.TermsOf(Request("a.example", "/x/", "key-1"), 0);
  cr_assert(DetailOf(terms.status()).id == ErrorId::kHostNotReady);
  cr_assert(DetailOf(terms.status()).retry_after_ms > 0);
}

Test(a_request, takes_the_longest_prefix_of_its_host) {
  PlanInForce plan;
  plan.Take(Plan("7"), 10);
  const auto route = [&plan](const char* host, const char* path) {
    return plan.TermsOf(Request(host, path, "key-1"), 0)->route;
  };
  cr_assert(route("a.example", "/x/z") == "short");
  cr_assert(route("a.example", "/x/y/z") == "long");
  cr_assert(route("a.example", "/x/y") == "short");
  cr_assert(route("b.example", "/x/y/z") == "other");
  cr_assert(Refusal(plan, Request("a.example", "/", "key-1")) ==
            ErrorId::kNotFound);
  cr_assert(Refusal(plan, Request("c.example", "/x/", "key-1")) ==
            ErrorId::kNotFound);
}

Test(a_request, is_bound_to_the_regions_of_its_route_and_its_workspace) {
  ServicePlan bound = Plan("7");
  bound.routes[0].home_regions = {"manila", "cebu"};
  bound.workspaces[0].home_regions = {"cebu", "luzon"};
  PlanInForce plan;
  plan.Take(bound, 10);
  const auto homes = [&plan](const char* path, const char* key) {
    return plan.TermsOf(Request("a.example", path, key), 0)->homes;
  };
  cr_assert(homes("/x/", "key-1") == HomeRegions({"cebu"}), "both bind");
  cr_assert(homes("/x/", "key-3") == HomeRegions({"manila", "cebu"}));
  cr_assert(homes("/x/y/", "key-1") == HomeRegions({"cebu", "luzon"}));
  cr_assert(!homes("/x/y/", "key-3").has_value(), "nothing binds it");
  bound.workspaces[0].home_regions = {"luzon"};
  plan.Take(bound, 11);
  cr_assert(homes("/x/", "key-1").has_value() &&
            homes("/x/", "key-1")->empty());
}

Test(a_request, is_its_keys_workspaces) {
  PlanInForce plan;
  plan.Take(Plan("7"), 10);
  const auto makati = plan.TermsOf(Request("a.example", "/x/", "key-2"), 0);
  cr_assert(makati->workspace == "makati" && makati->urgency == 1);
  const auto pasig = plan.TermsOf(Request("a.example", "/x/", "key-3"), 0);
  cr_assert(pasig->workspace == "pasig" && pasig->urgency == 3);
  cr_assert(Refusal(plan, Request("a.example", "/x/", "key-4")) ==
            ErrorId::kUnknownKey);
  cr_assert(Refusal(plan, Request("a.example", "/x/", "")) ==
            ErrorId::kUnknownKey);
}

Test(a_request, needs_no_key_on_a_public_route_or_without_workspaces) {
  PlanInForce plan;
  ServicePlan open = Plan("7");
  open.routes[0].is_public = true;
  plan.Take(open, 10);
  cr_assert(
      plan.TermsOf(Request("a.example", "/x/", ""), 0)->workspace.empty());
  ServicePlan without = Plan("8");
  without.needs_keys = false;
  without.workspaces.clear();
  plan.Take(without, 11);
  cr_assert(plan.TermsOf(Request("a.example", "/x/y/", ""), 0).ok());
}

Test(a_plan, goes_forward_only) {
  PlanInForce plan;
  int told = 0;
  plan.AddListener([&told] { ++told; });
  cr_assert(plan.Take(Plan("7"), 10));
  cr_assert(!plan.Take(Plan("6"), 9));
  cr_assert(!plan.Take(Plan("7"), 10));
  cr_assert(plan.Plan()->version == "7" && told == 1);
  ServicePlan revoked = Plan("8");
  revoked.workspaces[0].keys = {"key-2"};
  cr_assert(plan.Take(revoked, 11));
  cr_assert(Refusal(plan, Request("a.example", "/x/", "key-1")) ==
            ErrorId::kUnknownKey);
}

Test(a_split_route, gives_each_service_its_part) {
  PlanInForce plan;
  ServicePlan split = Plan("7");
  split.routes[0].services = {{"new", 10}, {"old", 90}, {"none", 0}};
  plan.Take(split, 10);
  int to_new = 0;
  for (std::uint64_t i = 0; i < 1'000; ++i) {
    const auto terms = plan.TermsOf(Request("a.example", "/x/", "key-1"), i);
    cr_assert(terms->service != "none");
    to_new += terms->service == "new" ? 1 : 0;
  }
  cr_assert(to_new == 100);
}

}  // namespace
}  // namespace meadowthread
