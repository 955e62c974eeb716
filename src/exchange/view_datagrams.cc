#include "exchange/view_datagrams.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/json_fields.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kTopic[] = "items";
constexpr char kRevisionTopic[] = "revision";
// Wait before this host reports that it is behind an announced revision: the
// exchange pushes a change of usual size within this time.
constexpr std::int64_t kCatchUpGraceMs = 150;
// Peers to which each host forwards a new change: with four, the datagrams
// reach all but two in a hundred hosts; rounds of the exchange reach the rest.
constexpr std::size_t kFanout = 4;
// A change with more items comes from a full read of the object store, which
// every host does for itself.
constexpr std::size_t kMaxItems = 8;
// Fits one packet on most networks.
constexpr std::size_t kMaxItemBytes = 1'200;
constexpr std::size_t kItemFields = 5;

std::size_t SizeOf(std::span<const StoredObject> items) {
  std::size_t bytes = 0;
  for (const StoredObject& item : items) {
    bytes += item.name.size() + item.value.size();
  }
  return bytes;
}

}  // namespace

json ItemsJson(std::span<const StoredObject> items) {
  json payload = json::array();
  for (const StoredObject& item : items) {
    payload.push_back(
        {item.kind, item.name, item.version, item.deleted, item.value});
  }
  return payload;
}

absl::StatusOr<std::vector<StoredObject>> ItemsFrom(const json& payload) {
  std::vector<StoredObject> items;
  for (const json& one : payload) {
    const bool fits = one.is_array() && one.size() == kItemFields &&
                      one[0].is_string() && one[1].is_string() &&
                      one[2].is_number_integer() && one[3].is_boolean() &&
                      one[4].is_string();
    if (!fits) {
      ErrorDetail detail;
      detail.id = ErrorId::kPeerMalformed;
      detail.step = "read-items";
      return MakeError(absl::StatusCode::kInvalidArgument, detail,
                       "not a list of objects");
    }
    StoredObject item;
    item.kind = one[0].get<std::string>();
    item.name = one[1].get<std::string>();
    item.version = one[2].get<std::int64_t>();
    item.deleted = one[3].get<bool>();
    item.value = one[4].get<std::string>();
    items.push_back(std::move(item));
  }
  return items;
}

ViewDatagrams::ViewDatagrams(std::span<const std::string> kinds,
                             ReplicatedView& view, DatagramHub& hub,
                             Scheduler& scheduler, BehindCallback behind)
    : kinds(kinds.begin(), kinds.end()),
      view(view),
      hub(hub),
      scheduler(scheduler),
      behind(std::move(behind)) {
  hub.Register(kTopic, [this](std::string_view host, const json& payload) {
    const absl::StatusOr<std::vector<StoredObject>> items = ItemsFrom(payload);
    if (!items.ok()) {
      LogLine("items-malformed").Add("host", host).WriteImportant();
      return;
    }
    this->view.ApplyItems(*items);
  });
  hub.Register(kRevisionTopic, [this](std::string_view host,
                                      const json& payload) {
    const bool fits = payload.is_array() && payload.size() == 2 &&
                      payload[0].is_string() && payload[1].is_number_integer();
    if (!fits) {
      LogLine("revision-malformed").Add("host", host).WriteImportant();
      return;
    }
    this->OnRevision(payload);
  });
  view.AddListener(
      [this](const ViewChange& change) { this->AnnounceChange(change); });
}

std::int64_t ViewDatagrams::RevisionOf(std::string_view kind) const {
  std::int64_t revision = 0;
  for (const StoredObject* const object : this->view.Live(kind)) {
    revision = std::max(revision, object->version);
  }
  return revision;
}

void ViewDatagrams::AnnounceChange(const ViewChange& change) {
  const bool is_sent = std::find(this->kinds.begin(), this->kinds.end(),
                                 change.kind) != this->kinds.end();
  if (!is_sent || change.items.size() > kMaxItems) {
    return;
  }
  if (SizeOf(change.items) <= kMaxItemBytes) {
    this->hub.SendToRandom(kTopic, ItemsJson(change.items), kFanout);
    return;
  }
  this->AnnounceRevision(std::string(change.kind),
                         this->RevisionOf(change.kind));
}

void ViewDatagrams::AnnounceRevision(const std::string& kind,
                                     std::int64_t revision) {
  std::int64_t& announced = this->announced_revisions[kind];
  if (revision > announced) {
    announced = revision;
    this->hub.SendToRandom(kRevisionTopic, json::array({kind, revision}),
                           kFanout);
  }
}

void ViewDatagrams::OnRevision(const json& payload) {
  const std::string kind = payload[0].get<std::string>();
  const auto revision = payload[1].get<std::int64_t>();
  if (this->RevisionOf(kind) >= revision) {
    return;
  }
  this->AnnounceRevision(kind, revision);
  this->scheduler.After(kCatchUpGraceMs,
                        this->life.Guarded([this, kind, revision] {
                          if (this->RevisionOf(kind) < revision) {
                            LogLine("behind")
                                .Add("kind", kind)
                                .Add("own", this->RevisionOf(kind))
                                .Add("told", revision)
                                .WriteImportant();
                            this->behind(kind);
                          }
                        }));
}

}  // namespace meadowthread
