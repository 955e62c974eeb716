#include <criterion/criterion.h>

#include <array>

#include "claims/claim_entry.h"
#include "claims/claim_forwarder.h"
#include "claims/claim_key.h"
#include "process/fleet.h"

// A request marked not repeatable runs at most once, whatever fails.

namespace meadowthread::tests {
namespace {

using nlohmann::json;

FleetPlan Plan() {
  FleetPlan plan;
  plan.hosts = 2;
  plan.engines = 2;
  plan.backends = 2;
  plan.not_repeatable =
      "{requests: keyed, key_form: opaque, services: [{service: rounds, "
      "methods: [POST], path_prefix: /notes}]}";
  return plan;
}

FetchResult Note(Fleet& fleet, int host, const std::string& key,
                 const std::string& prompt) {
  const json body = {{"model", "reconcile"}, {"prompt", prompt}};
  HttpRequest request =
      Post(fleet.HostUrl(host) + "/v1/completions", kKey, body.dump(), key);
  request.send_once = true;
  return Call(fleet.Client(), request);
}

constexpr int kShards = 8;
const std::array<std::string, 3> kHosts = {"entry-0", "entry-1", "entry-2"};

FleetPlan PlanOfThree() {
  FleetPlan plan = Plan();
  plan.hosts = 3;
  return plan;
}

/// @brief The host that is to write the claim of a key of the workspace.
int PreferredOf(const std::string& key) {
  const std::uint32_t shard = ShardOf("makati", key, kShards);
  const std::string_view host = RendezvousHost(shard, kHosts);
  return static_cast<int>(std::ranges::find(kHosts, host) - kHosts.begin());
}

/// @brief The host that wrote the claim of a key; empty: none did.
std::string WriterOf(Fleet& fleet, const std::string& key) {
  HttpRequest request;
  request.url = fleet.StoreUrl() + "/objects/claims?since=0";
  const json list = JsonOf(Call(fleet.Client(), request));
  for (const json& item : list["items"]) {
    const auto segment =
        DecodeSegment(item["value"].get<std::string>(), "segment");
    cr_assert(segment.ok());
    for (const ClaimEntry& entry : segment->entries) {
      if (entry.kind == EntryKind::kClaim &&
          entry.key_hash == KeyHash("makati", key)) {
        return entry.host;
      }
    }
  }
  return "";
}

Test(a_note_with_a_key, runs_once_and_gives_every_retry_the_same_answer) {
  const TestApplication application;
  Fleet fleet(Plan());
  fleet.Start();
  const json first = JsonOf(Note(fleet, 0, "k-1", "[tokens=12] note"));
  cr_assert(first.contains("choices"), "%s", first.dump().c_str());
  // recorded behind the caller's back: a retry meets "held" until it stands
  json second;
  cr_assert(WaitFor([&] {
    second = JsonOf(Note(fleet, 1, "k-1", "[tokens=12] note"));
    return second.contains("choices");
  }));
  cr_assert(second["choices"][0]["text"] == first["choices"][0]["text"]);
  cr_assert(fleet.TotalRuns() == 1);
}

Test(a_note_with_a_key, that_comes_with_another_body_is_refused) {
  const TestApplication application;
  Fleet fleet(Plan());
  fleet.Start();
  Note(fleet, 0, "k-1", "[tokens=12] note");
  const json other = JsonOf(Note(fleet, 1, "k-1", "[tokens=13] another"));
  cr_assert(other["code"] == 109, "%s", other.dump().c_str());
  cr_assert(fleet.TotalRuns() == 1);
}

Test(a_note_with_a_key, sent_to_two_hosts_at_once_runs_once) {
  const TestApplication application;
  Fleet fleet(Plan());
  fleet.Start();
  constexpr int kPairs = 10;
  std::vector<std::unique_ptr<StreamingCaller>> callers;
  for (int i = 0; i < kPairs; ++i) {
    for (int host = 0; host < 2; ++host) {
      callers.push_back(std::make_unique<StreamingCaller>(fleet.Client()));
      callers.back()->Ask(fleet.HostUrl(host), kKey, "[tokens=9] note",
                          "pair-" + std::to_string(i));
    }
  }
  cr_assert(WaitFor([&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& caller) { return caller->IsOver(); });
  }));
  cr_assert(fleet.TotalRuns() == kPairs, "%d", fleet.TotalRuns());
  for (int i = 0; i < kPairs; ++i) {
    for (int host = 0; host < 2; ++host) {
      const std::string outcome = callers[2 * i + host]->Outcome();
      cr_assert(outcome == "complete" || outcome == "unknown", "%s",
                outcome.c_str());
    }
  }
}

Test(a_note_with_a_key, survives_lost_and_delayed_answers_of_the_platform) {
  const TestApplication application;
  Fleet fleet(Plan());
  fleet.Start();
  fleet.SetFaults(fleet.StoreUrl(), {{"lose_answers", 2}});
  const json first = JsonOf(Note(fleet, 0, "k-1", "[tokens=12] note"));
  fleet.SetFaults(fleet.StoreUrl(),
                  {{"delay_writes", 1}, {"delay_writes_ms", 300}});
  const json second = JsonOf(Note(fleet, 0, "k-2", "[tokens=12] note"));
  for (const json& answer : {first, second}) {
    const bool honest =
        answer.contains("choices") || answer["outcome"] == "not_run";
    cr_assert(honest, "%s", answer.dump().c_str());
  }
  const int answered = first.contains("choices") + second.contains("choices");
  cr_assert(fleet.TotalRuns() == answered);
}

Test(a_note_with_a_key, is_refused_at_once_while_the_platform_is_down) {
  const TestApplication application;
  Fleet fleet(Plan());
  fleet.Start();
  fleet.SetFaults(fleet.StoreUrl(), {{"down", true}});
  const FetchResult refused = Note(fleet, 0, "k-1", "[tokens=12] note");
  cr_assert(JsonOf(refused)["outcome"] == "not_run");
  cr_assert(!FindHeader(refused.response.headers, "Retry-After").empty());
  // and one that may be repeated is served
  const json plain = JsonOf(Note(fleet, 0, "", "[tokens=12] note"));
  cr_assert(plain.contains("choices"), "%s", plain.dump().c_str());
  cr_assert(fleet.TotalRuns() == 1);
}

Test(a_note_with_a_key, whose_host_is_killed_is_never_run_by_another) {
  const TestApplication application;
  Fleet fleet(Plan());
  fleet.Start();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=4000] note", "k-1");
  cr_assert(WaitFor([&] { return !caller.Tokens().empty(); }));
  fleet.Host(0).Kill();
  const json retry = JsonOf(Note(fleet, 1, "k-1", "[tokens=4000] note"));
  // the body differs (stream or not), so the key is refused or held: never run
  cr_assert(retry["code"] == 109 || retry["outcome"] == "unknown", "%s",
            retry.dump().c_str());
  StreamingCaller again(fleet.Client());
  again.Ask(fleet.HostUrl(1), kKey, "[tokens=4000] note", "k-1");
  cr_assert(WaitFor([&] { return again.IsOver(); }));
  cr_assert(again.Outcome() == "unknown", "%s", again.Outcome().c_str());
  cr_assert(fleet.TotalRuns() == 1);
}

Test(a_note_with_a_key, whose_host_is_frozen_runs_at_most_once) {
  const TestApplication application;
  Fleet fleet(Plan());
  fleet.Start();
  // given a claim whose write is slow, and a host frozen while it waits
  fleet.SetFaults(fleet.StoreUrl(), {{"slow_ms", 200}});
  StreamingCaller first(fleet.Client());
  first.Ask(fleet.HostUrl(0), kKey, "[tokens=9] note", "k-1");
  cr_assert(WaitFor([&] {
    const json record = fleet.Record(fleet.StoreUrl());
    return record.dump().find("claims") != std::string::npos;
  }));
  fleet.Host(0).Freeze();
  fleet.SetFaults(fleet.StoreUrl(), {{"slow_ms", 0}});
  StreamingCaller second(fleet.Client());
  second.Ask(fleet.HostUrl(1), kKey, "[tokens=9] note", "k-1");
  cr_assert(WaitFor([&] { return second.IsOver(); }));
  fleet.Host(0).Thaw();
  cr_assert(WaitFor([&] { return first.IsOver(); }));
  cr_assert(fleet.TotalRuns() <= 1);
  const bool second_ran = second.Outcome() == "complete";
  const bool first_ran = first.Outcome() == "complete";
  cr_assert(first_ran || second_ran || fleet.TotalRuns() == 0);
}

Test(a_note_with_a_key, is_claimed_by_its_preferred_host_wherever_it_is_sent) {
  const TestApplication application;
  Fleet fleet(PlanOfThree());
  fleet.Start();
  std::array<bool, 3> wrote_for_another = {};
  int sent = 0;
  // a host that answers late is passed by, so each gets many chances
  cr_assert(WaitFor([&] {
    const std::string key = "k-" + std::to_string(++sent);
    const int preferred = PreferredOf(key);
    const int other = (preferred + 1 + sent % 2) % 3;
    const json answer = JsonOf(Note(fleet, other, key, "[tokens=2] note"));
    cr_assert(answer.contains("choices"), "%s", answer.dump().c_str());
    const std::string writer = WriterOf(fleet, key);
    cr_assert(writer == kHosts[preferred] || writer == kHosts[other], "%s",
              writer.c_str());
    wrote_for_another[preferred] |= writer == kHosts[preferred];
    return wrote_for_another == std::array<bool, 3>{true, true, true};
  }));
  cr_assert(fleet.TotalRuns() == sent, "%d of %d", fleet.TotalRuns(), sent);
}

Test(a_note_with_a_key, is_served_while_its_preferred_host_is_frozen) {
  const TestApplication application;
  Fleet fleet(PlanOfThree());
  fleet.Start();
  const int preferred = PreferredOf("k-1");
  const int other = (preferred + 1) % 3;
  fleet.Host(preferred).Freeze();
  const auto retry = [&fleet](int host) {
    return JsonOf(Note(fleet, host, "k-1", "[tokens=12] note"));
  };
  json first;
  cr_assert(WaitFor([&] {
    first = retry(other);
    return first.contains("choices");
  }));
  cr_assert(WriterOf(fleet, "k-1") == kHosts[other]);
  // thawed, it takes up what was sent to it, to no effect
  fleet.Host(preferred).Thaw();
  json second;
  cr_assert(WaitFor([&] {
    second = retry(preferred);
    return second.contains("choices");
  }));
  cr_assert(second["choices"][0]["text"] == first["choices"][0]["text"]);
  cr_assert(fleet.TotalRuns() == 1);
}

Test(a_call_of_a_plain_service, marked_not_repeatable_is_made_once) {
  const TestApplication application;
  Fleet fleet(Plan());
  fleet.Start();
  const auto post = [&fleet](int host, const std::string& key) {
    HttpRequest request =
        Post(fleet.HostUrl(host) + "/services/rounds/notes/7", kKey, "{}", key);
    request.send_once = true;
    return Call(fleet.Client(), request);
  };
  const auto calls = [&fleet] {
    std::size_t count = 0;
    for (int n = 0; n < 2; ++n) {
      count += fleet.Record(fleet.BackendUrl(n))["arrived"].get<std::size_t>();
    }
    return count;
  };
  cr_assert(JsonOf(post(0, ""))["code"] == 108);
  const FetchResult first = post(0, "n-1");
  cr_assert(first.response.http_status == 200);
  cr_assert(WaitFor(
      [&] { return post(1, "n-1").response.body == first.response.body; }));
  cr_assert(calls() == 1, "%zu", calls());
  // a backend server that reads and closes: unknown, and sent once
  for (int n = 0; n < 2; ++n) {
    fleet.SetFaults(fleet.BackendUrl(n), {{"refuse_after_read", 10}});
  }
  const json cut = JsonOf(post(0, "n-2"));
  cr_assert(cut["outcome"] == "unknown", "%s", cut.dump().c_str());
  cr_assert(calls() == 2, "%zu", calls());
}

}  // namespace
}  // namespace meadowthread::tests
