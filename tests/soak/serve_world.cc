#include <QUrl>

#include "absl/strings/str_cat.h"
#include "process/caller.h"
#include "process/fleet.h"
#include "soak/world.h"

namespace meadowthread::soak {
namespace {

using nlohmann::json;
using tests::Fleet;
using tests::FleetPlan;
using tests::StreamingCaller;

// A token's object of the convention.
constexpr int kEventBytes = 190;
// An answer has hundreds of kilobytes. With less than some segments the
// caller's kernel offers so small a window that ours sends by a timer only.
constexpr int kReceiveBytes = 8'192;

FleetPlan Plan() {
  FleetPlan plan;
  plan.hosts = kHosts;
  plan.engines = kEngines;
  plan.token_ms = 1;
  return plan;
}

class ServeWorld final : public World {
 public:
  ServeWorld() : fleet(Plan()) {}

  bool Start() override;
  void StartHost(int n) override {
    this->KeepLog(n);
    this->fleet.StartHost(n);
  }
  tests::Process& Host(int n) override { return this->fleet.Host(n); }
  bool IsReady(int n) override {
    return this->fleet.IsReady(n) &&
           this->fleet.Status(n).value("engines_usable", 0) == kEngines;
  }

  HttpRequest RequestOf(const SentRequest& sent) const override;
  HttpRequest GuiltyRequest(int host, const std::string& id) const override;
  int Starts() override;
  Outcome OutcomeOf(const SentRequest& sent, const Answer& answer) override;
  int EventBytes() const override { return kEventBytes; }
  int ReceiveBytes() const override { return kReceiveBytes; }
  void ReadRecord() override;
  Runs RunsOf(const SentRequest& sent) const override;
  // Others may be run again elsewhere, and a stream goes on with the new run.
  bool RunsOnce(RequestKind kind) const override {
    return kind == RequestKind::kNotRepeatable;
  }
  void PutKeys(bool second) override;
  int StatusWithSecondKey(int host) override;

  bool TakesReloads() const override { return false; }
  bool HandsOver() const override { return true; }
  bool EnginesEnd() const override { return false; }
  void DrainEngine(int /*n*/) override {}
  void KillEngine(int /*n*/) override {}
  void ReplaceEngine(int /*n*/) override {}
  std::string EngineName(int n) const override {
    return absl::StrCat("engine", n + 1);
  }

 private:
  Outcome StreamOutcomeOf(const SentRequest& sent, const Answer& answer);

  Fleet fleet;
  std::map<int, Runs> runs;  // by length
  int template_version = 1;
};

bool ServeWorld::Start() {
  this->fleet.StartPlatform();
  for (int n = 0; n < kEngines; ++n) {
    this->engine_links.push_back(std::make_unique<FaultProxy>(
        QUrl(QString::fromStdString(this->fleet.EngineUrl(n))).port()));
    this->fleet.ReachEngineBy(n, this->engine_links.back()->Port());
  }
  this->fleet.PutHostList();
  for (int n = 0; n < kHosts; ++n) {
    this->caller_links.push_back(std::make_unique<FaultProxy>(
        QUrl(QString::fromStdString(this->fleet.HostUrl(n))).port()));
    this->store_links.push_back(std::make_unique<FaultProxy>(
        QUrl(QString::fromStdString(this->fleet.StoreUrl())).port()));
    this->fleet.SetStorePort(n, this->store_links.back()->Port());
    this->fleet.StartHost(n);
  }
  return tests::WaitFor([this] {
    for (int n = 0; n < kHosts; ++n) {
      if (!this->IsReady(n)) {
        return false;
      }
    }
    return true;
  });
}

HttpRequest ServeWorld::RequestOf(const SentRequest& sent) const {
  const json body = {
      {"model", "reconcile"},
      {"stream", sent.kind == RequestKind::kStream},
      {"prompt", absl::StrCat("[tokens=", sent.length, "] ", sent.id)}};
  const std::string base =
      sent.by_link ? absl::StrCat("http://127.0.0.1:",
                                  this->caller_links.at(sent.host)->Port())
                   : this->fleet.HostUrl(sent.host);
  return tests::Post(base + "/v1/completions", tests::kKey, body.dump(),
                     sent.kind == RequestKind::kNotRepeatable ? sent.id : "");
}

HttpRequest ServeWorld::GuiltyRequest(int host,
                                      const std::string& /*id*/) const {
  const json body = {{"model", "reconcile"}, {"prompt", "[ends-engine] note"}};
  return tests::Post(this->fleet.HostUrl(host) + "/v1/completions", tests::kKey,
                     body.dump(), "");
}

int ServeWorld::Starts() {
  int starts = 0;
  for (int n = 0; n < kEngines; ++n) {
    json record;
    // An engine that has ended is back after a second.
    tests::WaitFor([&] {
      record = this->fleet.Record(this->fleet.EngineUrl(n));
      return record.is_object();
    });
    starts += record["counts"]["starts"].get<int>();
  }
  return starts;
}

void ServeWorld::PutKeys(bool second) {
  std::string yaml = this->fleet.TemplateYaml();
  if (!second) {
    yaml.erase(yaml.find("  - {workspace: pasig"));
  }
  const json put = this->fleet.PutTemplate(yaml, this->template_version);
  this->template_version = put.value("version", this->template_version + 1);
}

int ServeWorld::StatusWithSecondKey(int host) {
  HttpRequest request = tests::Post(
      this->fleet.HostUrl(host) + "/v1/completions", tests::kOtherKey,
      R"({"model":"reconcile","prompt":"[tokens=1] probe"})");
  request.reuse_idle_ms = 0;
  return tests::Call(this->fleet.Client(), request).response.http_status;
}

void ServeWorld::ReadRecord() {
  this->runs.clear();
  for (int n = 0; n < kEngines; ++n) {
    const json record = this->fleet.Record(this->fleet.EngineUrl(n));
    for (const json& attempt : record["attempts"]) {
      if (attempt.value("started", false)) {
        Runs& seen = this->runs[attempt.value("length", 0)];
        ++seen.first;
        seen.engines.insert(this->EngineName(n));
      }
    }
  }
}

Runs ServeWorld::RunsOf(const SentRequest& sent) const {
  const auto found = this->runs.find(sent.length);
  return found == this->runs.end() ? Runs{} : found->second;
}

Outcome ServeWorld::StreamOutcomeOf(const SentRequest& sent,
                                    const Answer& answer) {
  StreamingCaller seen(this->fleet.Client());
  seen.OnHead(answer.status, answer.headers);
  seen.OnData(answer.body);
  const auto length = static_cast<std::size_t>(sent.length);
  if (!seen.IsExact() || seen.Tokens().size() > length ||
      (seen.IsDone() && seen.Tokens().size() != length)) {
    return Outcome::kForeign;
  }
  if (answer.whole && seen.Outcome() == "not_run") {
    return Outcome::kNotRun;
  }
  return answer.whole && seen.IsDone() ? Outcome::kComplete
                                       : Outcome::kTruncated;
}

Outcome ServeWorld::OutcomeOf(const SentRequest& sent, const Answer& answer) {
  if (answer.malformed) {
    return Outcome::kForeign;
  }
  if (answer.status == 200 && sent.kind == RequestKind::kStream) {
    return this->StreamOutcomeOf(sent, answer);
  }
  if (!answer.whole) {
    return Outcome::kTruncated;
  }
  const json body = json::parse(answer.body, nullptr, false);
  if (answer.status == 401) {
    return Outcome::kKeyRefused;
  }
  if (answer.status != 200) {
    return body.is_object() && body.value("outcome", "") == "not_run"
               ? Outcome::kNotRun
               : Outcome::kUnknown;
  }
  std::string text;
  for (int i = 0; i < sent.length; ++i) {
    absl::StrAppend(&text, "w", i, " ");
  }
  return body["choices"][0]["text"] == text ? Outcome::kComplete
                                            : Outcome::kForeign;
}

}  // namespace

std::unique_ptr<World> MakeServeWorld() {
  return std::make_unique<ServeWorld>();
}

}  // namespace meadowthread::soak
