// Plain backend servers of our own interface, as the relay's calls see them.
#include "gateway/service_backends.h"

#include <criterion/criterion.h>

#include "base/manual_scheduler.h"
#include "gateway/service_wire.h"

namespace meadowthread {
namespace {

HostEntry Server(const std::string& name) {
  HostEntry entry;
  entry.name = name;
  entry.role = HostRole::kBackend;
  entry.address = "10.0.0.1";
  entry.port = 80;
  entry.service = "rounds";
  return entry;
}

struct Story {
  ManualClock clock{1'000};
  ManualScheduler scheduler{&this->clock};
  HostDirectory hosts;
  NoEntryGracePeriod lapses;
  BackendList backends{this->clock, this->scheduler, this->lapses};
  ServiceBackends feed{this->hosts, this->backends};
};

Test(a_plain_server, is_used_while_the_host_list_has_it) {
  Story story;
  story.hosts.Apply({1, {Server("b-1"), Server("b-2")}});
  cr_assert(story.backends.Usable("rounds").size() == 2);
  cr_assert(story.backends.Find("b-1")->entry.address == "10.0.0.1:80");
  story.hosts.Apply({2, {Server("b-2")}});
  cr_assert(story.backends.Usable("rounds").size() == 1);
  cr_assert(story.backends.Usable("rounds")[0]->entry.id == "b-2");
}

Test(a_plain_server, that_leaves_gets_nothing_new_and_may_come_back) {
  Story story;
  HostEntry leaving = Server("b-1");
  leaving.leaving = true;
  story.hosts.Apply({1, {leaving}});
  cr_assert(story.backends.Usable("rounds").empty());
  story.hosts.Apply({2, {Server("b-1")}});
  cr_assert(story.backends.Usable("rounds").size() == 1);
}

Test(an_engine_or_entry_host, is_no_plain_server) {
  Story story;
  HostEntry engine = Server("e-1");
  engine.role = HostRole::kEngine;
  HostEntry entry = Server("h-1");
  entry.role = HostRole::kEntry;
  story.hosts.Apply({1, {engine, entry}});
  cr_assert(story.backends.Count() == 0);
}

Test(a_call_to_a_plain_server, keeps_its_target_and_names_its_request) {
  RelayRequest request;
  request.id = "r-1";
  request.method = "POST";
  request.target = "/notes/%2F7?x=%7e";
  request.headers = {{"Idempotency-Key", "k"}};
  SendTerms terms;
  terms.address = "10.0.0.1:80";
  const HttpRequest sent = ServiceWire().RequestFor(request, terms);
  cr_assert(sent.url == "http://10.0.0.1:80/notes/%2F7?x=%7e");
  cr_assert(FindHeader(sent.headers, "Meadowthread-Request") == "r-1");
  cr_assert(FindHeader(sent.headers, "Idempotency-Key") == "k");
}

Test(an_answer_of_a_plain_server, never_says_that_it_did_not_run) {
  for (const int status : {200, 421, 429, 503}) {
    cr_assert(ServiceWire().Read(status, {}) == AnswerMeaning::kRan);
  }
}

}  // namespace
}  // namespace meadowthread
