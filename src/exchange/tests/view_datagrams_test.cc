// Datagrams between hosts: load notes, small changes, and revisions of changes
// that are too long for a datagram.
#include "exchange/view_datagrams.h"

#include <criterion/criterion.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QUdpSocket>
#include <array>

#include "configuration/value_patch.h"
#include "exchange/load_datagrams.h"
#include "net/qt_scheduler.h"

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 1> kKinds = {"servers"};

struct Host {
  Host(const std::string& name, const Clock& clock, Scheduler& scheduler)
      : hub(name, 100'000, 1, clock),
        view(clock, kKinds),
        datagrams(
            std::vector<std::string>{"servers"}, this->view, this->hub,
            scheduler, [this](std::string_view) { ++this->behind; },
            [this](std::string_view) { ++this->too_long; }) {
    this->datagrams.Connect(this->hub);
  }

  void Start() {
    QUdpSocket probe;
    probe.bind(QHostAddress::LocalHost, 0);
    this->port = probe.localPort();
    probe.close();
    cr_assert(this->hub.Start("127.0.0.1", this->port).ok());
  }
  std::int64_t VersionOf(std::string_view name) const {
    const StoredObject* const object = this->view.Find("servers", name);
    return object == nullptr ? 0 : object->version;
  }
  std::uint16_t port = 0;
  int behind = 0;
  int too_long = 0;
  DatagramHub hub;
  ReplicatedView view;
  ViewDatagrams datagrams;
};

struct Fixture {
  Fixture() {
    a.Start();
    b.Start();
    const std::vector<DatagramPeer> peers = {{"a", "127.0.0.1", a.port},
                                             {"b", "127.0.0.1", b.port}};
    a.hub.SetPeers(peers);
    b.hub.SetPeers(peers);
  }
  bool Until(const std::function<bool()>& condition) {
    constexpr std::int64_t kGenerousMs = 20'000;
    const std::int64_t end_ms = clock.MonotonicMs() + kGenerousMs;
    while (!condition() && clock.MonotonicMs() < end_ms) {
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
    }
    return condition();
  }
  int argc = 0;
  QCoreApplication application{this->argc, nullptr};
  SystemClock clock;
  QtScheduler scheduler;
  Host a{"a", clock, scheduler};
  Host b{"b", clock, scheduler};
};

StoredObject Object(const std::string& name, std::int64_t version,
                    std::size_t size) {
  return {"servers", name, version, std::string(size, 'x'), false};
}

Test(a_small_change, is_sent_from_host_to_host_at_once) {
  Fixture f;
  const std::array<StoredObject, 1> change = {Object("i-1", 7, 300)};
  f.a.view.ApplyItems(change);
  cr_assert(f.Until([&] { return f.b.VersionOf("i-1") == 7; }));
  cr_assert(f.b.behind == 0);
}

Test(a_long_change, is_announced_by_revision_and_reported_if_it_is_missing) {
  Fixture f;
  const std::array<StoredObject, 1> change = {Object("main", 9, 200'000)};
  f.a.view.ApplyItems(change);
  cr_assert(f.Until([&] { return f.b.behind == 1; }));
  cr_assert(f.b.VersionOf("main") == 0 && f.a.behind == 0);
  // A host that has got the change in the meantime is not behind.
  const std::array<StoredObject, 1> next = {Object("main", 10, 200'000)};
  f.a.view.ApplyItems(next);
  f.b.view.ApplyItems(next);
  const std::int64_t start_ms = f.clock.MonotonicMs();
  f.Until([&] { return f.clock.MonotonicMs() > start_ms + 300; });
  cr_assert(f.b.behind == 1);
}

// Inputs found by fuzzing that crashed the process: an array with a declared
// length beyond memory makes from_cbor throw even without exceptions allowed,
// and deeply nested arrays overflow the stack.
Test(malformed_datagrams, cannot_crash_the_process) {
  const std::string huge = "\x83\x61h\x61t\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
  cr_assert(!DecodeDatagram(huge).ok());
  for (const std::size_t depth : {std::size_t{8'192}, std::size_t{60'000}}) {
    cr_assert(!DecodeDatagram(std::string(depth, '\x81')).ok());
  }
}

Test(malformed_datagrams, are_ignored) {
  Fixture f;
  QUdpSocket stranger;
  for (const std::string& bytes :
       {std::string("x"), std::string("\xff\x00\xfe", 3), std::string(),
        EncodeDatagram({"items", "s", nlohmann::json::array({7})}),
        EncodeDatagram({"revision", "s", nlohmann::json("no list")}),
        EncodeDatagram({"nothing", "s", nlohmann::json::array()})}) {
    stranger.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                           QHostAddress::LocalHost, f.b.port);
  }
  const std::array<StoredObject, 1> change = {Object("i-1", 7, 300)};
  f.a.view.ApplyItems(change);
  cr_assert(f.Until([&] { return f.b.VersionOf("i-1") == 7; }));
}

// A patch without a version before it has nothing to be applied to.
Test(a_patch_of_an_unknown_object, is_not_applied) {
  Fixture f;
  const std::string value(3'000, 'x');
  const ObjectPatch patch = {"servers", "i-1", 0, 7, MakePatch("", value)};
  cr_assert(f.b.datagrams.OnMessage("patch", "a", ToJson(patch)).ok());
  cr_assert(f.b.VersionOf("i-1") == 0);
  const ObjectPatch backwards = {"servers", "i-1", -5, -7, ""};
  cr_assert(f.b.datagrams.OnMessage("patch", "a", ToJson(backwards)).ok());
  cr_assert(f.b.VersionOf("i-1") == 0);
}

Test(malformed_messages, are_refused) {
  Fixture f;
  for (const std::string_view topic :
       {"items", "patch", "version", "patches"}) {
    for (const nlohmann::json& payload :
         {nlohmann::json(7), nlohmann::json::array({"servers", "i-1"}),
          nlohmann::json::array({"servers", "i-1", "x", 2, "y"}),
          nlohmann::json::binary({1, 2, 3})}) {
      cr_assert(!f.b.datagrams.OnMessage(topic, "a", payload).ok(), "%s",
                std::string(topic).c_str());
    }
  }
}

Test(load_notes, read_back_as_they_were_sent) {
  EngineLoadNote note;
  note.engine = "i-7";
  note.host = "a";
  note.in_flight = 2;
  note.reserved_tokens = 8'000;
  note.held_tokens = 6'100;
  note.prefill_backlog = 3'000;
  const auto read = LoadsFrom("a", LoadsJson({note}));
  cr_assert(read.ok() && read->size() == 1 && read->front() == note);
  cr_assert(!LoadsFrom("a", nlohmann::json::array({1})).ok());
  cr_assert(!LoadsFrom("a", nlohmann::json::array(
                                {nlohmann::json::array({"i", 1, 2, 3})}))
                 .ok());
}

}  // namespace
}  // namespace meadowthread
