// Limits on what all hosts together send to a server that tolerates few
// requests.
#include "policy/server_rate_limiter.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

namespace meadowthread {
namespace {

constexpr std::int64_t kNotCold = 0;
constexpr std::int64_t kFarFuture = 1'000'000;

std::vector<std::string> Names(int hosts) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(hosts));
  for (int n = 0; n < hosts; ++n) {
    names.push_back("front-" + std::to_string(n));
  }
  return names;
}

/// @brief Hosts that do not communicate and all send to the same server.
struct HostGroup {
  explicit HostGroup(int count) : names(Names(count)) {
    for (const std::string& name : this->names) {
      this->hosts.push_back(std::make_unique<ServerRateLimiter>(name));
      this->hosts.back()->SetHosts(this->names);
    }
  }
  void Set(const ServerRateLimit& rule, std::int64_t cold_until_ms) {
    for (const auto& host : this->hosts) {
      host->SetServer("s", rule, cold_until_ms);
    }
  }
  /// @brief Lets every host send as many requests as it may.
  /// @return the number of requests sent
  int SendAllAllowed(std::int64_t now_ms) {
    int sent = 0;
    for (const auto& host : this->hosts) {
      while (sent < 10'000 && host->May("s", now_ms)) {
        host->NoteSent("s", now_ms);
        ++sent;
      }
    }
    return sent;
  }

  std::vector<std::string> names;
  std::vector<std::unique_ptr<ServerRateLimiter>> hosts;
};

Test(a_cold_server, gets_its_cold_rate_from_any_number_of_hosts) {
  for (const int hosts : {1, 2, 9, 26, 27, 28, 66, 295}) {
    HostGroup group(hosts);
    group.Set({27.0, 40.0}, kFarFuture);
    cr_assert(group.SendAllAllowed(0) == 27, "%d hosts", hosts);
    cr_assert(group.SendAllAllowed(999) == 0,
              "the limit holds in any span of one second");
    cr_assert(group.SendAllAllowed(1'000) == 27);
  }
}

Test(a_cold_server, counts_requests_sent_while_it_was_warm) {
  HostGroup group(66);
  group.Set({27.0, 40.0}, kNotCold);
  cr_assert(group.SendAllAllowed(0) == 40);
  group.Set({27.0, 40.0}, kFarFuture);
  cr_assert(group.SendAllAllowed(500) == 0,
            "requests sent while it was warm count");
  cr_assert(group.SendAllAllowed(1'000) == 27);
}

Test(a_cold_server, with_a_rate_below_one_gets_no_requests) {
  HostGroup group(3);
  group.Set({0.5, 2.0}, kFarFuture);
  cr_assert(group.SendAllAllowed(0) == 0);
}

Test(a_server, without_a_limit_gets_any_number_of_requests) {
  HostGroup group(66);
  group.Set({0.0, 0.0}, kFarFuture);
  cr_assert(group.SendAllAllowed(0) == 10'000);
  group.Set({27.0, 0.0}, kNotCold);
  cr_assert(group.SendAllAllowed(0) == 10'000,
            "the limit applies only while it is cold");
}

Test(a_host, without_a_host_list_sends_nothing_to_limited_servers) {
  ServerRateLimiter alone("front-0");
  alone.SetServer("s", {27.0, 40.0}, kFarFuture);
  cr_assert(!alone.May("s", 0));
  cr_assert(alone.May("other", 0));
}

// Two groups of hosts are cut off from each other, and one of them knows a
// different host list.
Test(hosts_whose_lists_differ,
     exceed_the_rate_by_at_most_one_request_per_differing_name) {
  HostGroup group(66);
  group.Set({27.0, 40.0}, kFarFuture);
  std::vector<std::string> known = group.names;
  known.pop_back();
  known.pop_back();
  known.push_back("front-new");
  for (std::size_t n = 0; n < 30; ++n) {
    group.hosts[n]->SetHosts(known);
  }
  const int sent = group.SendAllAllowed(0);
  cr_assert(sent <= 27 + 3, "%d requests", sent);
}

Test(every_host, has_a_share_of_some_servers) {
  HostGroup group(66);
  for (const auto& host : group.hosts) {
    int parts = 0;
    for (int n = 0; n < 60; ++n) {
      const std::string server = "s-" + std::to_string(n);
      host->SetServer(server, {27.0, 40.0}, kFarFuture);
      parts += host->May(server, 0) ? 1 : 0;
    }
    cr_assert(parts >= 10 && parts <= 40, "%d of 60 servers", parts);
  }
}

Test(a_reserved_request, counts_until_one_second_after_it_is_sent) {
  ServerRateLimiter limits("front-0");
  limits.SetHosts(Names(1));
  limits.SetServer("s", {1.0, 1.0}, kFarFuture);
  limits.Hold("s");
  cr_assert(!limits.May("s", 5'000), "a reservation does not expire");
  limits.NoteSent("s", 5'000);
  limits.Release("s");
  cr_assert(!limits.May("s", 5'999) && limits.May("s", 6'000));
}

Test(an_allocator, knows_which_hosts_have_a_share) {
  HostGroup group(66);
  group.Set({27.0, 40.0}, kFarFuture);
  int with_part = 0;
  for (std::size_t n = 0; n < group.hosts.size(); ++n) {
    const bool has = group.hosts[0]->HasShare(group.names[n], "s", 0);
    cr_assert(has == group.hosts[n]->May("s", 0));
    with_part += has ? 1 : 0;
  }
  cr_assert(with_part == 27);
}

}  // namespace
}  // namespace meadowthread
