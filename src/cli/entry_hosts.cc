#include "cli/entry_hosts.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "store/object_responses.h"

namespace meadowthread {
namespace {

constexpr std::string_view kOfferMethod = "offer";

std::string MessageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace

std::vector<HostEntry> EntryHostsOf(const HostList& list) {
  std::vector<HostEntry> entries;
  std::copy_if(
      list.hosts.begin(), list.hosts.end(), std::back_inserter(entries),
      [](const HostEntry& host) { return host.role == HostRole::kEntry; });
  std::sort(entries.begin(), entries.end(),
            [](const HostEntry& left, const HostEntry& right) {
              return left.name < right.name;
            });
  return entries;
}

std::string PushReport::Text() const {
  std::string text = absl::StrCat("pushed to ", this->accepted, " of ",
                                  this->asked, " entry hosts");
  if (!this->failure.empty()) {
    absl::StrAppend(&text, " (", this->failure,
                    "); the others receive it through their watches");
  }
  return text + "\n";
}

nlohmann::ordered_json PushReport::Json() const {
  return {{"asked", this->asked},
          {"took", this->accepted},
          {"trouble", this->failure}};
}

PushReport PushToEntryHosts(Platform& platform, const StoredObject& object) {
  PushReport report;
  const absl::StatusOr<HostList> list = platform.ListHosts();
  if (!list.ok()) {
    report.failure = "the host list: " + MessageOf(list.status());
    return report;
  }
  const std::vector<HostEntry> hosts = EntryHostsOf(*list);
  const nlohmann::json params = {
      {"items", nlohmann::json::array({ObjectToJson(object)})}};
  report.asked = static_cast<int>(hosts.size());
  for (const HostReply& reply :
       platform.CallAll(hosts, kOfferMethod, params.dump())) {
    // A reply with 0 taken items also counts: the host already has this version
    // or a newer one.
    if (reply.body.ok()) {
      ++report.accepted;
    } else if (report.failure.empty()) {
      report.failure = reply.host + ": " + MessageOf(reply.body.status());
    }
  }
  return report;
}

}  // namespace meadowthread
