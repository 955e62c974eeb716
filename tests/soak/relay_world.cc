#include <QUrl>

#include "absl/strings/str_cat.h"
#include "platform/tests/relay_fleet.h"
#include "platform/wire_names.h"
#include "soak/world.h"

namespace meadowthread::soak {
namespace {

using nlohmann::json;
using tests::RelayFleet;
using tests::StreamCaller;

constexpr int kEventMs = 1;
constexpr int kPlainServers = 2;
// An id, a word and the chunk that they come in.
constexpr int kEventBytes = 26;
// An answer has tens of kilobytes.
constexpr int kReceiveBytes = 2'048;

// Statuses that promise that the request did not run and never will.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

class RelayWorld final : public World {
 public:
  RelayWorld() : fleet(kHosts, kEngines, kEventMs) {}

  bool Start() override;
  void StartHost(int n) override {
    this->KeepLog(n);
    this->fleet.StartHost(n);
  }
  tests::Process& Host(int n) override { return this->fleet.Host(n); }
  bool IsReady(int n) override { return this->fleet.IsReady(n); }

  HttpRequest RequestOf(const SentRequest& sent) const override;
  HttpRequest GuiltyRequest(int host, const std::string& id) const override;
  int Starts() override {
    return static_cast<int>(
        this->fleet.Control("record", json::object())["runs"].size());
  }
  Outcome OutcomeOf(const SentRequest& sent, const Answer& answer) override;
  int EventBytes() const override { return kEventBytes; }
  int ReceiveBytes() const override { return kReceiveBytes; }
  void ReadRecord() override;
  Runs RunsOf(const SentRequest& sent) const override;
  bool RunsOnce(RequestKind kind) const override {
    return kind != RequestKind::kRepeatable;
  }
  void PutKeys(bool second) override;
  int StatusWithSecondKey(int host) override {
    return this->fleet.StatusOf(
        this->fleet.Call(host, "GET", "/status/probe", "probe", "key-2"));
  }

  bool TakesReloads() const override { return true; }
  bool HandsOver() const override { return false; }
  bool EnginesEnd() const override { return true; }
  void DrainEngine(int n) override {
    this->fleet.Control("drain", {{"id", this->engines.at(n)}});
  }
  void KillEngine(int n) override {
    this->fleet.Control("die", {{"id", this->engines.at(n)}});
  }
  void ReplaceEngine(int n) override;
  std::string EngineName(int n) const override { return this->engines.at(n); }

  int PlainServers() const override { return kPlainServers; }
  void RemoveEntry(int server) override {
    this->fleet.Control("remove", {{"id", this->PlainName(server)}});
  }
  void ListAgain(int server) override {
    this->fleet.Control("beat", {{"id", this->PlainName(server)}});
  }
  int RunsAtPlain(int server) override {
    return this->fleet.RunsAt(this->PlainName(server));
  }
  void EmptyZone(int server) override {
    this->fleet.Control("empty-zone", {{"zone", ZoneName(server)}});
  }
  void TakeBackZone(int server) override {
    this->fleet.Control("take-back-zone", {{"zone", ZoneName(server)}});
  }
  void SetStoreDown(bool is_down) override {
    this->fleet.Control("faults", {{"down", is_down}});
  }
  bool CanRestoreStore() const override { return true; }
  void KeepStoreCopy() override {
    this->fleet.Control("keep-copy", json::object());
  }
  void RestoreStore() override {
    this->fleet.Control("restore-copy", json::object());
  }

 private:
  static std::string ZoneName(int server) {
    return absl::StrCat("zone-", server);
  }
  const std::string& PlainName(int server) const {
    return this->engines.at(kEngines + server);
  }
  // Has hosts reach an engine over a link of ours.
  void LinkEngine(int n, const json& addresses);
  Outcome WordOfWhole(const SentRequest& sent, const Answer& answer) const;
  int EventsOf(const Answer& answer);

  RelayFleet fleet;
  std::vector<std::string> engines;
  std::map<std::string, Runs> runs;
  int version = 0;
};

bool RelayWorld::Start() {
  this->fleet.StartPlatform();
  const json record = this->fleet.Control("record", json::object());
  this->engine_links.resize(kEngines + kPlainServers);
  for (int n = 0; n < this->BackEndLinks(); ++n) {
    this->engines.push_back(absl::StrCat("i-", n + 1));
    this->LinkEngine(n, record["addresses"]);
  }
  for (int server = 0; server < kPlainServers; ++server) {
    this->fleet.Control("beat", {{"id", this->PlainName(server)},
                                 {"with", {{"zone", ZoneName(server)}}}});
  }
  this->PutKeys(true);
  for (int n = 0; n < kHosts; ++n) {
    this->caller_links.push_back(
        std::make_unique<FaultProxy>(this->fleet.CallersPort(n)));
    this->store_links.push_back(
        std::make_unique<FaultProxy>(this->fleet.StorePort()));
    this->fleet.SetStorePort(n, this->store_links.back()->Port());
    this->fleet.StartHost(n);
  }
  return tests::WaitFor([this] { return this->fleet.AreReady(); });
}

void RelayWorld::LinkEngine(int n, const json& addresses) {
  const std::string& id = this->engines.at(n);
  const int port =
      QUrl("http://" + QString::fromStdString(addresses[id])).port();
  this->engine_links[n] = std::make_unique<FaultProxy>(port);
  this->fleet.Control(
      "reach",
      {{"id", id},
       {"address", absl::StrCat("127.0.0.1:", this->engine_links[n]->Port())}});
}

void RelayWorld::ReplaceEngine(int n) {
  this->fleet.Control("remove", {{"id", this->engines.at(n)}});
  const json record = this->fleet.Control("add-engine", {{"listed", false}});
  this->engines[n] = record["last"];
  this->LinkEngine(n, record["addresses"]);
}

HttpRequest RelayWorld::RequestOf(const SentRequest& sent) const {
  const bool stream = sent.kind == RequestKind::kStream;
  const std::string path = absl::StrCat(
      sent.kind == RequestKind::kNotRepeatable ? "/confirm/" : "/status/",
      sent.id);
  HttpRequest request =
      stream ? this->fleet.Stream(sent.host, sent.id, sent.length)
             : this->fleet.Call(
                   sent.host,
                   sent.kind == RequestKind::kNotRepeatable ? "POST" : "GET",
                   path, sent.id);
  if (sent.by_link) {
    QUrl url(QString::fromStdString(request.url));
    url.setPort(this->caller_links.at(sent.host)->Port());
    request.url = url.toString(QUrl::FullyEncoded).toStdString();
  }
  return request;
}

HttpRequest RelayWorld::GuiltyRequest(int host, const std::string& id) const {
  constexpr int kEvents = 10;
  HttpRequest request = this->fleet.Stream(host, id, kEvents);
  request.body = "ends its server";
  return request;
}

void RelayWorld::PutKeys(bool second) {
  ++this->version;
  this->fleet.PutConfig(this->version,
                        second ? std::vector<std::string>{"key-1", "key-2"}
                               : std::vector<std::string>{"key-1"});
}

void RelayWorld::ReadRecord() {
  this->runs.clear();
  const json record = this->fleet.Control("record", json::object());
  for (const json& run : record["runs"]) {
    Runs& seen = this->runs[run["request"]];
    seen.first += run["resumed"] == false ? 1 : 0;
    seen.engines.insert(run["server"].get<std::string>());
  }
}

Runs RelayWorld::RunsOf(const SentRequest& sent) const {
  const auto found = this->runs.find(sent.id);
  return found == this->runs.end() ? Runs{} : found->second;
}

int RelayWorld::EventsOf(const Answer& answer) {
  StreamCaller events(this->fleet.Client());
  events.OnHead(answer.status, answer.headers);
  events.OnData(answer.body);
  events.OnEnd({});
  return events.Events();
}

Outcome RelayWorld::OutcomeOf(const SentRequest& sent, const Answer& answer) {
  if (answer.malformed) {
    return Outcome::kForeign;
  }
  if (answer.status == 200 && sent.kind == RequestKind::kStream) {
    const int events = this->EventsOf(answer);
    if (events < 0 || events > sent.length) {
      return Outcome::kForeign;
    }
    if (!answer.whole) {
      return Outcome::kTruncated;
    }
  }
  return answer.whole ? this->WordOfWhole(sent, answer) : Outcome::kTruncated;
}

Outcome RelayWorld::WordOfWhole(const SentRequest& sent,
                                const Answer& answer) const {
  if (answer.status == 401) {
    return Outcome::kKeyRefused;
  }
  if (answer.status != 200) {
    return PromisesNotRun(answer.status) ? Outcome::kNotRun : Outcome::kUnknown;
  }
  if (FindHeader(answer.headers, platform::names::kRequestId) != sent.id) {
    return Outcome::kForeign;
  }
  if (sent.kind == RequestKind::kStream) {
    const std::string last = absl::StrCat("id: ", sent.length - 1, "\ndata: w",
                                          sent.length - 1, "\n\n");
    return answer.body.ends_with(last) ? Outcome::kComplete : Outcome::kForeign;
  }
  return answer.body.find("/" + sent.id + " ") != std::string::npos
             ? Outcome::kComplete
             : Outcome::kForeign;
}

}  // namespace

std::unique_ptr<World> MakeRelayWorld() {
  return std::make_unique<RelayWorld>();
}

}  // namespace meadowthread::soak
