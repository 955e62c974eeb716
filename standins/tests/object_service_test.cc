#include "objects/object_service.h"

#include <criterion/criterion.h>

#include "tests/http_fixture.h"

namespace meadowthread::standins {
namespace {

struct ServedObjects {
  explicit ServedObjects(const ObjectOptions& options = {})
      : service(options), listener(&this->service) {
    this->port = this->listener.Listen("127.0.0.1", 0, "objects", "o");
  }

  /// @brief Makes one call on its own connection; returns an empty string if it
  /// was closed without an answer.
  std::string Call(const std::string& method, const std::string& path,
                   const std::string& body = "",
                   const std::string& header = "") const {
    RawClient caller(this->port);
    caller.Send(method, path, body, header);
    cr_assert(
        WaitFor([&] { return caller.IsAnswered() || caller.IsClosed(); }));
    return caller.text;
  }

  std::string Create(const std::string& name) const {
    return this->Call("PUT", "/objects/claims/" + name, "v",
                      "If-None-Match: *\r\n");
  }

  bool Has(const std::string& name) const {
    return this->Call("GET", "/objects/claims/" + name).find(" 200 ") !=
           std::string::npos;
  }

  void SetFaults(const std::string& faults) const {
    cr_assert(this->Call("POST", "/standin/faults", faults).find(" 200 ") !=
              std::string::npos);
  }

  int argc = 0;
  QCoreApplication application{this->argc, nullptr};
  ObjectService service;
  HttpListener listener;
  std::uint16_t port = 0;
};

Test(a_write_with_an_injected_fault, is_applied_although_its_answer_is_lost) {
  const ServedObjects objects;
  objects.SetFaults(R"({"lose_answers":1})");
  cr_assert(objects.Create("a").empty());
  cr_assert(objects.Has("a"));
  cr_assert(objects.Create("b").find("ETag: \"2\"") != std::string::npos);
}

Test(a_write_with_an_injected_fault, is_never_applied_if_the_request_is_lost) {
  const ServedObjects objects;
  objects.SetFaults(R"({"lose_requests":1})");
  cr_assert(objects.Create("a").empty());
  cr_assert(!objects.Has("a"));
}

Test(a_write_with_an_injected_fault, is_applied_late_if_its_condition_holds) {
  const ServedObjects objects;
  objects.SetFaults(R"({"delay_writes":2,"delay_writes_ms":-1})");
  cr_assert(objects.Create("a").empty());
  cr_assert(objects.Create("b").empty());
  cr_assert(objects.Create("a").find(" 200 ") != std::string::npos);
  cr_assert(!objects.Has("b"));
  objects.SetFaults(R"({"release_delayed":true})");
  cr_assert(objects.Has("b"));
  // Of the two writes of "a" only the one that was answered was applied.
  const std::string record = objects.Call("GET", "/standin/record");
  cr_assert(record.find("\"revision\":2") != std::string::npos);
}

Test(an_object_api, over_its_rate_limit_applies_nothing) {
  ObjectOptions options;
  options.writes_per_second = 0.001;
  const ServedObjects objects(options);
  cr_assert(objects.Create("a").find(" 200 ") != std::string::npos);
  const std::string limited = objects.Create("b");
  cr_assert(limited.find(" 429 ") != std::string::npos);
  cr_assert(limited.find("Retry-After: ") != std::string::npos);
  cr_assert(!objects.Has("b"));
}

Test(an_object_api, that_is_down_applies_nothing) {
  const ServedObjects objects;
  objects.SetFaults(R"({"down":true})");
  cr_assert(objects.Create("a").find(" 503 ") != std::string::npos);
  objects.SetFaults(R"({"down":false})");
  cr_assert(!objects.Has("a"));
}

Test(a_watch, is_answered_at_the_first_change) {
  const ServedObjects objects;
  objects.Create("a");
  RawClient watch(objects.port);
  watch.Send("GET", "/watch/claims?since=1&wait_ms=60000");
  objects.Create("b");
  cr_assert(WaitFor([&] { return watch.IsAnswered(); }));
  cr_assert(watch.Got("\"revision\":2") && watch.Got("\"name\":\"b\""));
  cr_assert(!watch.Got("\"name\":\"a\""));
}

Test(a_stalled_watch, is_answered_only_when_it_continues) {
  const ServedObjects objects;
  objects.Create("a");
  objects.SetFaults(R"({"watch_stall":true})");
  RawClient watch(objects.port);
  watch.Send("GET", "/watch/claims?since=1&wait_ms=1");
  objects.Create("b");
  cr_assert(objects.Has("b") && watch.text.empty());
  objects.SetFaults(R"({"watch_stall":false})");
  cr_assert(WaitFor([&] { return watch.Got("\"name\":\"b\""); }));
}

}  // namespace
}  // namespace meadowthread::standins
