// Lists of the object API and of hosts, and the documents in them.
#include "configuration/marks.h"
#include "configuration/template_object.h"
#include "fuzz/fuzz_input.h"
#include "hosts/host_list.h"
#include "store/object_answers.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace meadowthread;  // NOLINT(google-build-using-namespace)
  const std::string_view text = fuzz::TextOf(data, size);
  HttpFetched fetched;
  fetched.end.http_status = 200;
  fetched.end.request_may_have_left = true;
  fetched.response.http_status = 200;
  fetched.response.body = std::string(text);
  const absl::StatusOr<ObjectList> list =
      ReadListAnswer(fetched, "list", "marks");
  if (list.ok()) {
    for (const StoredObject& item : list->items) {
      fuzz::Require(item.kind == "marks" && !item.name.empty(),
                    "an object that names nothing");
      fuzz::Require(item.version > 0 && item.version <= list->revision,
                    "an object newer than its list");
      (void)MarkFromJson(item.value);
      (void)WithoutOldHistory(item);
    }
  }
  const absl::StatusOr<HostList> hosts = DecodeHostList(text);
  if (hosts.ok()) {
    fuzz::Require(!hosts->hosts.empty() || hosts->skipped_entries == 0,
                  "a list of nothing that can be read");
    for (const HostEntry& host : hosts->hosts) {
      fuzz::Require(!host.name.empty() && !host.address.empty(),
                    "a host without a name");
      fuzz::Require(host.port >= 0 && host.port <= 65'535, "a port is none");
    }
  }
  (void)MarkFromJson(text);
  (void)TemplateFromJson(text, 3);
  return 0;
}
