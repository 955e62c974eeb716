#include "exchange/view_datagrams.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/error.h"
#include "base/json_fields.h"
#include "base/log_line.h"
#include "configuration/value_patch.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kItemsTopic[] = "items";
constexpr char kPatchTopic[] = "patch";
constexpr char kVersionTopic[] = "version";
constexpr char kRequestTopic[] = "patches";
// Peers to which each host forwards a new change: with four, the datagrams
// reach all but two in a hundred hosts; each reminder reaches all but two in a
// hundred of these, and rounds of the exchange the rest.
constexpr std::size_t kFanout = 4;
// A change with more items comes from a full read of the object store, which
// every host does for itself.
constexpr std::size_t kMaxItems = 128;
// Fits one packet on most networks.
constexpr std::size_t kMaxBytes = 1'200;
// Length of items before they are compressed; see kMaxItemsBytes.
constexpr std::size_t kMaxPlainBytes = 6'000;
// The decoder uses a stack frame for each nested array, which takes only one
// byte to open.
constexpr std::size_t kMaxItemsBytes = 8'192;
constexpr std::size_t kMaxObjectBytes = std::size_t{16} << 20;
constexpr std::size_t kItemFields = 5;
constexpr std::size_t kVersionFields = 3;
// After the first of these times a new version has reached nearly all hosts,
// and the others are told that it exists.
constexpr std::array<std::int64_t, 2> kRemindMs = {200, 800};
// A patch may overtake the one before it by so much.
constexpr std::int64_t kGapGraceMs = 50;
constexpr std::int64_t kAskAgainMs = 200;
// A host that is still behind after this time reads the object store. Before,
// it is asked for patches and a few rounds of the exchange pass.
constexpr std::int64_t kReadAfterMs = 1'500;

absl::Status Malformed(std::string_view what) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = "read-datagram";
  return MakeError(absl::StatusCode::kInvalidArgument, detail, what);
}

std::size_t SizeOf(const StoredObject& item) {
  return item.name.size() + item.value.size();
}

json PlainItems(std::span<const StoredObject> items) {
  json payload = json::array();
  for (const StoredObject& item : items) {
    payload.push_back(
        {item.kind, item.name, item.version, item.deleted, item.value});
  }
  return payload;
}

std::string CompressItems(std::span<const StoredObject> items) {
  const std::vector<std::uint8_t> plain = json::to_cbor(PlainItems(items));
  return Compress(std::string(plain.begin(), plain.end()));
}

json ItemsPayload(std::string_view compressed) {
  return json::binary({compressed.begin(), compressed.end()});
}

// The length of the first items that fit into one datagram before they are
// compressed; at least one.
std::size_t CountThatFits(std::span<const StoredObject> items) {
  std::size_t bytes = 0;
  std::size_t count = 0;
  while (count < items.size()) {
    bytes += SizeOf(items[count]);
    if (count > 0 && bytes > kMaxPlainBytes) {
      break;
    }
    ++count;
  }
  return count;
}

}  // namespace

json ItemsJson(std::span<const StoredObject> items) {
  return ItemsPayload(CompressItems(items));
}

absl::StatusOr<std::vector<StoredObject>> ItemsFrom(const json& payload) {
  if (!payload.is_binary()) {
    return Malformed("not a list of objects");
  }
  const json::binary_t& compressed = payload.get_binary();
  const absl::StatusOr<std::string> plain = Decompress(
      std::string(compressed.begin(), compressed.end()), kMaxItemsBytes);
  if (!plain.ok()) {
    return plain.status();
  }
  const absl::StatusOr<json> list = CborFrom(*plain);
  return list.ok() ? ItemsFromList(*list) : list.status();
}

absl::StatusOr<std::vector<StoredObject>> ItemsFromList(const json& list) {
  if (!list.is_array()) {
    return Malformed("not a list of objects");
  }
  std::vector<StoredObject> items;
  for (const json& one : list) {
    const bool fits = one.is_array() && one.size() == kItemFields &&
                      one[0].is_string() && one[1].is_string() &&
                      one[2].is_number_integer() && one[3].is_boolean() &&
                      one[4].is_string();
    if (!fits) {
      return Malformed("not a list of objects");
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
                             ReplicatedView& view, GossipChannel& channel,
                             Scheduler& scheduler, KindCallback behind,
                             KindCallback too_long)
    : kinds(kinds.begin(), kinds.end()),
      view(view),
      channel(channel),
      scheduler(scheduler),
      behind(std::move(behind)),
      too_long(std::move(too_long)) {
  view.AddListener(
      [this](const ViewChange& change) { this->AnnounceChange(change); });
}

void ViewDatagrams::Connect(DatagramHub& hub) {
  for (const std::string_view topic :
       {kItemsTopic, kPatchTopic, kVersionTopic, kRequestTopic}) {
    hub.Register(
        topic, [this, topic](std::string_view host, const json& payload) {
          const absl::Status handled = this->OnMessage(topic, host, payload);
          if (!handled.ok()) {
            LogLine("view-datagram-refused")
                .Add("topic", topic)
                .Add("host", host)
                .Add("why", std::string{handled.message()})
                .WriteImportant();
          }
        });
  }
}

absl::Status ViewDatagrams::OnMessage(std::string_view topic,
                                      std::string_view host,
                                      const json& payload) {
  if (topic == kItemsTopic) {
    return this->OnItems(payload);
  }
  if (topic == kPatchTopic) {
    return this->OnPatch(host, payload);
  }
  if (topic == kVersionTopic) {
    return this->OnVersion(host, payload);
  }
  return this->OnRequest(host, payload);
}

bool ViewDatagrams::IsSent(std::string_view kind) const {
  return std::find(this->kinds.begin(), this->kinds.end(), kind) !=
         this->kinds.end();
}

std::int64_t ViewDatagrams::VersionOf(std::string_view kind,
                                      std::string_view name) const {
  const StoredObject* const object = this->view.Find(kind, name);
  return object == nullptr ? 0 : object->version;
}

////////////////////
// 1. own changes //
////////////////////

void ViewDatagrams::AnnounceChange(const ViewChange& change) {
  if (!this->IsSent(change.kind)) {
    return;
  }
  std::vector<StoredObject> short_items;
  for (const StoredObject& item : change.items) {
    if (item.deleted) {
      this->history.Forget(item.kind, item.name);
    }
    if (SizeOf(item) > kMaxBytes && !item.deleted) {
      this->SendLongObject(item);
    } else {
      short_items.push_back(item);
    }
  }
  if (short_items.size() <= kMaxItems) {
    this->SendItems(short_items);
  }
}

void ViewDatagrams::SendItems(std::span<const StoredObject> items) {
  while (!items.empty()) {
    std::size_t count = CountThatFits(items);
    std::string compressed = CompressItems(items.first(count));
    while (compressed.size() > kMaxBytes && count > 1) {
      count /= 2;
      compressed = CompressItems(items.first(count));
    }
    this->channel.SendToRandom(kItemsTopic, ItemsPayload(compressed), kFanout);
    items = items.subspan(count);
  }
}

// Hosts that start together read the object store at about the same time. A
// first version is therefore only announced; later ones that can't be sent as a
// difference are left to the exchange.
void ViewDatagrams::SendLongObject(const StoredObject& object) {
  const bool is_first = !this->history.Contains(object.kind, object.name);
  const ObjectPatch* patch = this->received;
  if (patch != nullptr) {
    this->history.Advance(object, *patch);
  } else {
    patch = this->history.Advance(object, kMaxBytes);
  }
  const ObjectVersion known = {object.kind, object.name, object.version};
  if (patch != nullptr) {
    this->channel.SendToRandom(kPatchTopic, meadowthread::ToJson(*patch),
                               kFanout);
    this->RemindLater(known);
    return;
  }
  this->channel.SendToRandom(kVersionTopic, ToJson(known), kFanout);
  if (!is_first) {
    this->too_long(object.kind);
  }
}

void ViewDatagrams::RemindLater(const ObjectVersion& known) {
  for (const std::int64_t after_ms : kRemindMs) {
    this->scheduler.After(after_ms, this->life.Guarded([this, known] {
      if (this->VersionOf(known.kind, known.name) == known.version) {
        this->channel.SendToRandom(kVersionTopic, ToJson(known), kFanout);
      }
    }));
  }
}

/////////////////
// 2. messages //
/////////////////

absl::Status ViewDatagrams::OnItems(const json& payload) {
  const absl::StatusOr<std::vector<StoredObject>> items = ItemsFrom(payload);
  if (items.ok()) {
    this->view.ApplyItems(*items);
  }
  return items.status();
}

absl::Status ViewDatagrams::OnPatch(std::string_view host,
                                    const json& payload) {
  const absl::StatusOr<ObjectPatch> patch = ObjectPatchFrom(payload);
  if (!patch.ok()) {
    return patch.status();
  }
  const std::int64_t own = this->VersionOf(patch->kind, patch->name);
  if (!this->IsSent(patch->kind) || own >= patch->to) {
    return absl::OkStatus();
  }
  if (own > 0 && own == patch->from) {
    this->ApplyReceived(*patch);
  }
  if (this->VersionOf(patch->kind, patch->name) < patch->to) {
    this->CatchUpLater({patch->kind, patch->name, patch->to}, host);
  }
  return absl::OkStatus();
}

void ViewDatagrams::ApplyReceived(const ObjectPatch& patch) {
  const StoredObject* const base = this->view.Find(patch.kind, patch.name);
  absl::StatusOr<std::string> value =
      ApplyPatch(base->value, patch.bytes, kMaxObjectBytes);
  if (!value.ok()) {
    LogLine("patch-refused")
        .Add("kind", patch.kind)
        .Add("name", patch.name)
        .Add("from", patch.from)
        .Add("to", patch.to)
        .WriteImportant();
    return;
  }
  const std::array<StoredObject, 1> item = {
      StoredObject{patch.kind, patch.name, patch.to, *std::move(value), false}};
  this->received = &patch;
  this->view.ApplyItems(item);
  this->received = nullptr;
}

// A host that was behind passes on that there is a newer version: others may
// have missed it as well.
absl::Status ViewDatagrams::OnVersion(std::string_view host,
                                      const json& payload) {
  const absl::StatusOr<ObjectVersion> told = VersionFrom(payload);
  if (!told.ok()) {
    return told.status();
  }
  const auto awaited_version = this->awaited.find({told->kind, told->name});
  const bool is_awaited = awaited_version != this->awaited.end() &&
                          awaited_version->second >= told->version;
  if (!this->IsSent(told->kind) || is_awaited ||
      this->VersionOf(told->kind, told->name) >= told->version) {
    return absl::OkStatus();
  }
  this->channel.SendToRandom(kVersionTopic, payload, kFanout);
  this->CatchUpLater(*told, host);
  return absl::OkStatus();
}

absl::Status ViewDatagrams::OnRequest(std::string_view host,
                                      const json& payload) {
  const absl::StatusOr<ObjectVersion> held = VersionFrom(payload);
  if (!held.ok()) {
    return held.status();
  }
  for (const ObjectPatch& patch :
       this->history.Since(held->kind, held->name, held->version)) {
    this->channel.SendToHost(kPatchTopic, meadowthread::ToJson(patch), host);
  }
  return absl::OkStatus();
}

////////////////////
// 3. catching up //
////////////////////

void ViewDatagrams::CatchUpLater(const ObjectVersion& told,
                                 std::string_view host) {
  std::int64_t& version = this->awaited[{told.kind, told.name}];
  const bool is_new = version < told.version;
  if (!is_new) {
    return;
  }
  version = told.version;
  this->scheduler.After(
      kGapGraceMs, this->life.Guarded([this, told, from = std::string(host)] {
        this->Ask(told, from);
      }));
  this->scheduler.After(kReadAfterMs, this->life.Guarded([this, told] {
    this->ReadIfBehind(told);
  }));
}

// Messages may be lost or overtake each other, so the host is asked again until
// this one has caught up, has heard of a later version, or reads the store.
void ViewDatagrams::Ask(const ObjectVersion& told, const std::string& host) {
  const auto found = this->awaited.find({told.kind, told.name});
  const std::int64_t own = this->VersionOf(told.kind, told.name);
  const bool is_awaited =
      found != this->awaited.end() && found->second == told.version;
  if (!is_awaited || own == 0 || own >= told.version) {
    return;
  }
  this->channel.SendToHost(kRequestTopic, ToJson({told.kind, told.name, own}),
                           host);
  this->scheduler.After(kAskAgainMs, this->life.Guarded([this, told, host] {
    this->Ask(told, host);
  }));
}

void ViewDatagrams::ReadIfBehind(const ObjectVersion& told) {
  const auto found = this->awaited.find({told.kind, told.name});
  if (found != this->awaited.end() && found->second <= told.version) {
    this->awaited.erase(found);
  }
  const std::int64_t own = this->VersionOf(told.kind, told.name);
  if (own < told.version) {
    LogLine("behind")
        .Add("kind", told.kind)
        .Add("name", told.name)
        .Add("own", own)
        .Add("told", told.version)
        .WriteImportant();
    this->behind(told.kind);
  }
}

json ViewDatagrams::ToJson(const ObjectVersion& version) {
  return json::array({version.kind, version.name, version.version});
}

absl::StatusOr<ViewDatagrams::ObjectVersion> ViewDatagrams::VersionFrom(
    const json& payload) {
  const bool fits = payload.is_array() && payload.size() == kVersionFields &&
                    payload[0].is_string() && payload[1].is_string() &&
                    payload[2].is_number_integer();
  if (!fits) {
    return Malformed("not a version of an object");
  }
  return ObjectVersion{payload[0].get<std::string>(),
                       payload[1].get<std::string>(),
                       payload[2].get<std::int64_t>()};
}

}  // namespace meadowthread
