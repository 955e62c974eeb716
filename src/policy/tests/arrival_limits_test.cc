// What all hosts together send to a server that withstands few requests.
#include "policy/arrival_limits.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

namespace meadowthread {
namespace {

constexpr std::int64_t kNever = 0;
constexpr std::int64_t kLong = 1'000'000;

std::vector<std::string> Names(int hosts) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(hosts));
  for (int n = 0; n < hosts; ++n) {
    names.push_back("front-" + std::to_string(n));
  }
  return names;
}

/// @brief Hosts that hear nothing of each other, and all want the same server.
struct Fleet {
  explicit Fleet(int count) : names(Names(count)) {
    for (const std::string& name : this->names) {
      this->hosts.push_back(std::make_unique<ArrivalLimits>(name));
      this->hosts.back()->SetHosts(this->names);
    }
  }
  void Set(const ArrivalRule& rule, std::int64_t cold_until_ms) {
    for (const auto& host : this->hosts) {
      host->SetServer("s", rule, cold_until_ms);
    }
  }
  /// @brief Every host sends whatever it may.
  /// @return how many requests that were
  int Crowd(std::int64_t now_ms) {
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
  std::vector<std::unique_ptr<ArrivalLimits>> hosts;
};

Test(a_cold_server, gets_what_it_withstands_from_any_number_of_hosts) {
  for (const int hosts : {1, 2, 9, 26, 27, 28, 66, 295}) {
    Fleet fleet(hosts);
    fleet.Set({27.0, 40.0}, kLong);
    cr_assert(fleet.Crowd(0) == 27, "%d hosts", hosts);
    cr_assert(fleet.Crowd(999) == 0, "any span of a second counts");
    cr_assert(fleet.Crowd(1'000) == 27);
  }
}

Test(a_cold_server, counts_what_was_sent_while_it_was_warm) {
  Fleet fleet(66);
  fleet.Set({27.0, 40.0}, kNever);
  cr_assert(fleet.Crowd(0) == 40);
  fleet.Set({27.0, 40.0}, kLong);
  cr_assert(fleet.Crowd(500) == 0, "it turned cold with these on their way");
  cr_assert(fleet.Crowd(1'000) == 27);
}

Test(a_cold_server, that_withstands_less_than_one_request_gets_none) {
  Fleet fleet(3);
  fleet.Set({0.5, 2.0}, kLong);
  cr_assert(fleet.Crowd(0) == 0);
}

Test(a_server, whose_service_sets_no_bound_gets_any_number) {
  Fleet fleet(66);
  fleet.Set({0.0, 0.0}, kLong);
  cr_assert(fleet.Crowd(0) == 10'000);
  fleet.Set({27.0, 0.0}, kNever);
  cr_assert(fleet.Crowd(0) == 10'000, "only while it is cold");
}

Test(a_host, that_knows_no_others_yet_sends_nothing) {
  ArrivalLimits alone("front-0");
  alone.SetServer("s", {27.0, 40.0}, kLong);
  cr_assert(!alone.May("s", 0));
  cr_assert(alone.May("other", 0));
}

// Two halves that lost each other, and each was told of new hosts.
Test(hosts_whose_lists_differ, send_no_more_than_one_request_each_name) {
  Fleet fleet(66);
  fleet.Set({27.0, 40.0}, kLong);
  std::vector<std::string> known = fleet.names;
  known.pop_back();
  known.pop_back();
  known.push_back("front-new");
  for (std::size_t n = 0; n < 30; ++n) {
    fleet.hosts[n]->SetHosts(known);
  }
  const int sent = fleet.Crowd(0);
  cr_assert(sent <= 27 + 3, "%d requests", sent);
}

Test(every_host, has_its_part_at_some_servers) {
  Fleet fleet(66);
  for (const auto& host : fleet.hosts) {
    int parts = 0;
    for (int n = 0; n < 60; ++n) {
      const std::string server = "s-" + std::to_string(n);
      host->SetServer(server, {27.0, 40.0}, kLong);
      parts += host->May(server, 0) ? 1 : 0;
    }
    cr_assert(parts >= 10 && parts <= 40, "%d of 60 servers", parts);
  }
}

Test(a_run_that_is_copied, counts_until_it_has_been_sent_for_a_second) {
  ArrivalLimits limits("front-0");
  limits.SetHosts(Names(1));
  limits.SetServer("s", {1.0, 1.0}, kLong);
  limits.Hold("s");
  cr_assert(!limits.May("s", 5'000), "however long the copy takes");
  limits.NoteSent("s", 5'000);
  limits.Release("s");
  cr_assert(!limits.May("s", 5'999) && limits.May("s", 6'000));
}

Test(a_host_that_hands_out, knows_who_has_a_part) {
  Fleet fleet(66);
  fleet.Set({27.0, 40.0}, kLong);
  int with_part = 0;
  for (std::size_t n = 0; n < fleet.hosts.size(); ++n) {
    const bool has = fleet.hosts[0]->HasPart(fleet.names[n], "s", 0);
    cr_assert(has == fleet.hosts[n]->May("s", 0));
    with_part += has ? 1 : 0;
  }
  cr_assert(with_part == 27);
}

}  // namespace
}  // namespace meadowthread
