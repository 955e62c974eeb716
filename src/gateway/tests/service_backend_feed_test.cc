// Host list updates of plain backend servers, and the protocol used to call
// them.
#include "gateway/service_backend_feed.h"

#include <criterion/criterion.h>

#include "base/manual_scheduler.h"
#include "gateway/service_backend_protocol.h"

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

struct BackendFeedFixture {
  ManualClock clock{1'000};
  ManualScheduler scheduler{&this->clock};
  HostDirectory hosts;
  NoEntryGracePeriod grace_period;
  BackendList backends{this->clock, this->scheduler, this->grace_period};
  ServiceBackendFeed feed{this->hosts, this->backends};
};

Test(service_backend_feed, follow_the_host_list) {
  BackendFeedFixture fixture;
  fixture.hosts.Apply({1, {Server("b-1"), Server("b-2")}});
  cr_assert(fixture.backends.Usable("rounds").size() == 2);
  cr_assert(fixture.backends.Find("b-1")->entry.address == "10.0.0.1:80");
  fixture.hosts.Apply({2, {Server("b-2")}});
  cr_assert(fixture.backends.Usable("rounds").size() == 1);
  cr_assert(fixture.backends.Usable("rounds")[0]->entry.id == "b-2");
}

Test(service_backend_feed, skip_leaving_server_until_it_is_live_again) {
  BackendFeedFixture fixture;
  HostEntry leaving = Server("b-1");
  leaving.leaving = true;
  fixture.hosts.Apply({1, {leaving}});
  cr_assert(fixture.backends.Usable("rounds").empty());
  fixture.hosts.Apply({2, {Server("b-1")}});
  cr_assert(fixture.backends.Usable("rounds").size() == 1);
}

Test(service_backend_feed, ignore_engines_and_entry_hosts) {
  BackendFeedFixture fixture;
  HostEntry engine = Server("e-1");
  engine.role = HostRole::kEngine;
  HostEntry entry = Server("h-1");
  entry.role = HostRole::kEntry;
  fixture.hosts.Apply({1, {engine, entry}});
  cr_assert(fixture.backends.Count() == 0);
}

Test(service_backend_protocol, keeps_target_and_headers_and_adds_request_id) {
  RelayRequest request;
  request.id = "r-1";
  request.method = "POST";
  request.target = "/notes/%2F7?x=%7e";
  request.headers = {{"Idempotency-Key", "k"}};
  SendTerms terms;
  terms.address = "10.0.0.1:80";
  const HttpRequest sent = ServiceBackendProtocol().RequestFor(request, terms);
  cr_assert(sent.url == "http://10.0.0.1:80/notes/%2F7?x=%7e");
  cr_assert(FindHeader(sent.headers, "Meadowthread-Request") == "r-1");
  cr_assert(FindHeader(sent.headers, "Idempotency-Key") == "k");
}

Test(service_backend_protocol, takes_every_response_as_call_ran) {
  for (const int status : {200, 421, 429, 503}) {
    cr_assert(ServiceBackendProtocol().Read(status, {}) == AnswerMeaning::kRan);
  }
}

}  // namespace
}  // namespace meadowthread
