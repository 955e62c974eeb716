// Fuzzes the parsers of object API lists, of host lists and of the documents
// that they contain.
#include "configuration/marks.h"
#include "configuration/template_object.h"
#include "fuzz/fuzz_input.h"
#include "hosts/host_list.h"
#include "store/object_responses.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace meadowthread;  // NOLINT(google-build-using-namespace)
  const std::string_view text = fuzz::TextOf(data, size);
  FetchResult fetched;
  fetched.end.http_status = 200;
  fetched.end.request_may_have_left = true;
  fetched.response.http_status = 200;
  fetched.response.body = std::string(text);
  const absl::StatusOr<ObjectList> list =
      ParseListResponse(fetched, "list", "marks");
  if (list.ok()) {
    for (const StoredObject& item : list->items) {
      fuzz::Require(item.kind == "marks" && !item.name.empty(),
                    "an object of another kind or without a name");
      fuzz::Require(item.version > 0 && item.version <= list->revision,
                    "an object has a version of 0 or newer than its list");
      (void)MarkFromJson(item.value);
      (void)WithoutOldHistory(item);
    }
  }
  const absl::StatusOr<HostList> hosts = DecodeHostList(text);
  if (hosts.ok()) {
    fuzz::Require(!hosts->hosts.empty() || hosts->skipped_entries == 0,
                  "a host list of only invalid entries is accepted");
    for (const HostEntry& host : hosts->hosts) {
      fuzz::Require(!host.name.empty() && !host.address.empty(),
                    "a host without a name or address");
      fuzz::Require(host.port >= 0 && host.port <= 65'535,
                    "a port is out of range");
    }
  }
  (void)MarkFromJson(text);
  (void)TemplateFromJson(text, 3);
  return 0;
}
