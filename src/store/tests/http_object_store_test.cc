#include "store/http_object_store.h"

#include <criterion/criterion.h>

#include "fake_http_client.h"

namespace meadowthread {
namespace {

struct Fixture {
  absl::StatusOr<std::int64_t> written = absl::InternalError("no answer");
  absl::StatusOr<StoredObject> read = absl::InternalError("no answer");
  absl::StatusOr<ObjectList> listed = absl::InternalError("no answer");
  // Declared after the results, because its destructor still writes to them.
  FakeHttpClient client;
  HttpObjectStore store{client, {.base_url = "http://192.0.2.7:80"}};

  void Put(std::int64_t expected) {
    this->store.Put(
        "claims", "a/b 1", "{}", expected,
        [this](const absl::StatusOr<std::int64_t>& got) { written = got; });
  }
  void Get() {
    this->store.Get(
        "claims", "a",
        [this](const absl::StatusOr<StoredObject>& got) { read = got; });
  }
  void Watch() {
    this->store.Watch(
        "marks", 7, 1000,
        [this](const absl::StatusOr<ObjectList>& got) { listed = got; });
  }
  ErrorId Wrote() const { return DetailOf(this->written.status()).id; }
  ErrorId Read() const { return DetailOf(this->read.status()).id; }
  ErrorId Listed() const { return DetailOf(this->listed.status()).id; }
};

ErrorId WriteAnsweredBy(int http_status, std::vector<HttpHeader> headers) {
  Fixture f;
  f.Put(3);
  f.client.Answer(http_status, std::move(headers), "");
  return f.Wrote();
}

Test(a_conditional_update, is_sent_once_under_its_condition) {
  Fixture f;
  f.Put(0);
  cr_assert(f.client.Last().send_once);
  cr_assert(f.client.Last().method == "PUT");
  cr_assert(f.client.Last().url ==
            "http://192.0.2.7:80/objects/claims/a%2Fb%201");
  cr_assert(FindHeader(f.client.Last().headers, "if-none-match") == "*");
  f.Put(41);
  cr_assert(FindHeader(f.client.Last().headers, "if-match") == "\"41\"");
}

Test(a_conditional_update, returns_the_new_version) {
  Fixture f;
  f.Put(0);
  f.client.Answer(200, {{"etag", "\"42\""}}, "");
  cr_assert(f.written.ok() && *f.written == 42);
}

Test(a_conditional_update, that_was_not_applied_says_so) {
  cr_assert(WriteAnsweredBy(412, {}) == ErrorId::kStoreConflict);
  cr_assert(WriteAnsweredBy(429, {}) == ErrorId::kStoreUnavailable);
  cr_assert(WriteAnsweredBy(503, {}) == ErrorId::kStoreUnavailable);
  Fixture f;
  f.Put(0);
  f.client.Fail(ErrorId::kConnectFailed, 0, false);
  cr_assert(f.Wrote() == ErrorId::kStoreUnavailable);
}

Test(a_conditional_update, that_may_have_been_applied_is_reported_as_unknown) {
  for (const int http_status : {200, 201, 302, 400, 404, 413, 500, 502, 504}) {
    cr_assert(WriteAnsweredBy(http_status, {}) == ErrorId::kStoreUnknown);
  }
  for (const char* etag :
       {"42", "\"x\"", "\"\"", "\"0\"", "\"4 \"", "W/\"4\""}) {
    cr_assert(WriteAnsweredBy(200, {{"ETag", etag}}) == ErrorId::kStoreUnknown);
  }
  Fixture f;
  f.Put(0);
  f.client.Fail(ErrorId::kConnectionLost, 0, true);
  cr_assert(f.Wrote() == ErrorId::kStoreUnknown);
  f.Put(0);
  f.client.Fail(ErrorId::kPeerTimeout, 503, true);
  cr_assert(f.Wrote() == ErrorId::kStoreUnknown);
}

Test(a_removal, sends_the_expected_version) {
  Fixture f;
  f.store.Delete("claims", "a", 9, [&f](const auto& got) { f.written = got; });
  cr_assert(f.client.Last().method == "DELETE" && f.client.Last().send_once);
  cr_assert(FindHeader(f.client.Last().headers, "If-Match") == "\"9\"");
  f.client.Answer(200, {{"ETag", "\"10\""}}, "");
  cr_assert(f.written.ok() && *f.written == 10);
}

Test(a_read, gives_the_object_with_its_version) {
  Fixture f;
  f.Get();
  f.client.Answer(200, {{"ETag", "\"5\""}}, "{\"x\":1}");
  cr_assert(f.read.ok());
  const StoredObject expected = {"claims", "a", 5, "{\"x\":1}", false};
  cr_assert(*f.read == expected);
}

Test(a_read, that_fails_tells_absent_from_unavailable_from_malformed) {
  Fixture f;
  f.Get();
  f.client.Answer(404, {}, "");
  cr_assert(f.Read() == ErrorId::kNotFound);
  for (const int http_status : {429, 500, 503}) {
    f.Get();
    f.client.Answer(http_status, {}, "");
    cr_assert(f.Read() == ErrorId::kStoreUnavailable);
  }
  f.Get();
  f.client.Fail(ErrorId::kPeerTimeout, 404, true);
  cr_assert(f.Read() == ErrorId::kStoreUnavailable);
  f.Get();
  f.client.Answer(200, {}, "{}");
  cr_assert(f.Read() == ErrorId::kStoreMalformed);
}

Test(a_watch, waits_no_longer_than_its_time_and_a_margin) {
  Fixture f;
  f.Watch();
  cr_assert(f.client.Last().url ==
            "http://192.0.2.7:80/watch/marks?since=7&wait_ms=1000");
  cr_assert(f.client.Last().total_timeout_ms == 4000);
  f.client.Answer(200, {},
                  R"({"revision":9,"items":[{"kind":"marks","name":"h",)"
                  R"("version":8,"value":"","deleted":true}],"more":1})");
  cr_assert(f.listed.ok() && f.listed->revision == 9);
  const StoredObject expected = {"marks", "h", 8, "", true};
  cr_assert(f.listed->items.front() == expected);
}

Test(a_watch, whose_revision_is_too_old_reports_revision_gone) {
  Fixture f;
  f.Watch();
  f.client.Answer(410, {}, "");
  cr_assert(f.Listed() == ErrorId::kStoreRevisionGone);
}

Test(a_watch, rejects_a_malformed_list) {
  const std::vector<std::string> bodies = {
      "",
      "[]",
      "{\"revision\":1}",
      "{\"revision\":\"1\",\"items\":[]}",
      "{\"revision\":-1,\"items\":[]}",
      "{\"revision\":1,\"items\":[7}",
      "{\"revision\":18446744073709551615,\"items\":[]}",
      "{\"revision\":1.5,\"items\":[]}",
      "{\"revision\":9,\"items\":{}}"};
  for (const std::string& body : bodies) {
    Fixture f;
    f.Watch();
    f.client.Answer(200, {}, body);
    cr_assert(f.Listed() == ErrorId::kStoreMalformed, "%s", body.c_str());
  }
}

Test(a_watch, skips_invalid_items_and_keeps_the_rest) {
  const std::string deep =
      std::string(200'000, '[') + std::string(200'000, ']');
  const std::vector<std::string> foreign = {
      "7",
      "null",
      "{}",
      R"({"kind":"leases","name":"h","version":8,"value":""})",
      R"({"kind":"marks","name":"h","version":10,"value":""})",
      R"({"kind":"marks","name":"h","version":0,"value":""})",
      R"({"kind":"marks","name":"h","version":"8","value":""})",
      R"({"kind":"marks","name":"h","version":18446744073709551615})",
      R"({"kind":"marks","name":"","version":8,"value":""})",
      R"({"kind":"marks","version":8,"value":""})",
      "{\"kind\":\"marks\",\"name\":\"\xff\",\"version\":8}",
      R"({"kind":"marks","name":"h","version":8,"value":1e999})",
      deep};
  for (const std::string& item : foreign) {
    Fixture f;
    f.Watch();
    f.client.Answer(
        200, {},
        R"({"revision":9,"items":[{"kind":"marks","name":"a","version":7,)"
        R"("value":"x"},)" +
            item + R"(,{"kind":"marks","name":"z","version":9,"value":"y"}]})");
    cr_assert(f.listed.ok(), "%.60s", item.c_str());
    cr_assert(f.listed->items.size() == 2 && f.listed->passed_over == 1,
              "%.60s", item.c_str());
  }
}

Test(a_watch, returns_a_value_that_is_not_a_string_as_its_json_text) {
  Fixture f;
  f.Watch();
  f.client.Answer(200, {},
                  R"({"revision":9,"items":[)"
                  R"({"kind":"marks","name":"h","version":8},)"
                  R"({"kind":"marks","name":"i","version":9,"value":[7]}]})");
  cr_assert(f.listed.ok() && f.listed->items.size() == 2);
  cr_assert(f.listed->items[0].value.empty() &&
            f.listed->items[1].value == "[7]");
}

}  // namespace
}  // namespace meadowthread
