#include "process/fleet.h"

#include <unistd.h>

#include <QCryptographicHash>
#include <QFile>
#include <set>

#include "absl/strings/str_cat.h"

namespace meadowthread::tests {
namespace {

using nlohmann::json;

std::string Sha256(const std::string& text) {
  return QCryptographicHash::hash(QByteArray::fromStdString(text),
                                  QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

std::string Local(int port) { return absl::StrCat("http://127.0.0.1:", port); }

void WriteFile(const QString& path, const std::string& text) {
  QFile file(path);
  file.open(QIODevice::WriteOnly);
  file.write(QByteArray::fromStdString(text));
}

}  // namespace

Fleet::Fleet(const FleetPlan& plan) : plan(plan) {
  const std::vector<int> ports = FreePorts(2 * plan.hosts);
  this->host_ports.assign(ports.begin(), ports.begin() + plan.hosts);
  this->control_ports.assign(ports.begin() + plan.hosts, ports.end());
  this->hosts.resize(plan.hosts);
}

void Fleet::StartPlatform() {
  const std::string standins = "meadowthread-standins";
  this->store = std::make_unique<Process>(
      standins, QStringList{"objects", "--port", "0"});
  QStringList engine_arguments = {"engine",
                                  "--count",
                                  QString::number(this->plan.engines),
                                  "--first-port",
                                  "0",
                                  "--token-ms",
                                  QString::number(this->plan.token_ms),
                                  "--kv",
                                  QString::number(this->plan.kv_tokens),
                                  "--report-lag-ms",
                                  QString::number(this->plan.report_lag_ms),
                                  "--tick-ms",
                                  "2"};
  if (!this->plan.placement) {
    engine_arguments += QStringList{"--models", "reconcile//7"};
  }
  if (this->plan.check_fence) {
    engine_arguments += QStringList{"--check-fence"};
  }
  this->engines = std::make_unique<Process>(standins, engine_arguments);
  for (int i = 0; i < this->plan.backends; ++i) {
    this->backends.push_back(std::make_unique<Process>(
        standins, QStringList{"backend", "--port", "0"}));
  }
  this->host_list = std::make_unique<Process>(
      standins, QStringList{"hostlist", "--port", "0", "--lag-ms",
                            QString::number(this->plan.host_list_lag_ms)});
  for (int i = 0; i < this->plan.engines; ++i) {
    this->engine_ports.push_back(this->engines->Port(i));
  }
  for (const auto& backend : this->backends) {
    this->backend_ports.push_back(backend->Port());
  }
  this->PutHostList();
  this->PutTemplate(this->TemplateYaml());
  // Once, before any host starts: written anew for each, it was empty for a
  // moment in which the host before read it, and that host ended.
  WriteFile(this->folder.filePath("resume.key"), "a key of the test");
}

void Fleet::StartHost(int n) {
  const QString path = this->folder.filePath(QString("host-%1.yaml").arg(n));
  WriteFile(path, this->SettingsOf(n));
  this->hosts[n] = std::make_unique<Process>(
      "meadowthread", QStringList{"serve", "--settings", path});
}

void Fleet::Start() {
  this->StartPlatform();
  for (int n = 0; n < this->plan.hosts; ++n) {
    this->StartHost(n);
  }
  WaitFor([this] {
    for (int n = 0; n < this->plan.hosts; ++n) {
      if (!this->IsReady(n) ||
          this->Status(n).value("engines_usable", 0) < this->plan.engines) {
        return false;
      }
    }
    return true;
  });
}

std::string Fleet::SettingsOf(int n) const {
  const auto link = this->store_links.find(n);
  const std::string store =
      link == this->store_links.end() ? this->StoreUrl() : Local(link->second);
  return absl::StrCat(
      "host: {name: entry-", n, ", zone: hall-", n % 3,
      ", region: manila, address: 127.0.0.1, port: ", this->host_ports[n],
      ", control_port: ", this->control_ports[n], "}\n",
      "platform: {object_api: \"", store, "\", host_list: \"",
      Local(this->host_list->Port()), "/hosts\", host_list_period_ms: 200}\n",
      "answers: {resume_key_file: ",
      this->folder.filePath("resume.key").toStdString(),
      ", engine_silence_ms: 2000}\n",
      "placement: {enabled: ", this->plan.placement ? "true" : "false",
      ", lease_ms: 2000, order_deadline_ms: 1000, loads_per_second: 50}\n",
      this->plan.half);
}

std::string Fleet::HostUrl(int n) const { return Local(this->host_ports[n]); }
std::string Fleet::ControlUrl(int n) const {
  return Local(this->control_ports[n]);
}
std::string Fleet::EngineUrl(int n) const {
  return Local(this->engine_ports[n]);
}
std::string Fleet::BackendUrl(int n) const {
  return Local(this->backend_ports[n]);
}
std::string Fleet::StoreUrl() const { return Local(this->store->Port()); }

bool Fleet::IsReady(int n) {
  HttpRequest request;
  request.url = this->HostUrl(n) + "/readyz";
  request.total_timeout_ms = 5000;
  return Call(this->client, request).response.http_status == 200;
}

json Fleet::Status(int n) {
  HttpRequest request;
  request.url = this->HostUrl(n) + "/statusz";
  request.total_timeout_ms = 5000;
  const json status = JsonOf(Call(this->client, request));
  return status.is_object() ? status : json::object();
}

void Fleet::SetFaults(const std::string& url, const json& faults) {
  Call(this->client, Post(url + "/standin/faults", "", faults.dump()));
}

json Fleet::Record(const std::string& url) {
  HttpRequest request;
  request.url = url + "/standin/record";
  return JsonOf(Call(this->client, request));
}

std::vector<json> Fleet::Attempts() {
  std::vector<json> attempts;
  for (int n = 0; n < this->plan.engines; ++n) {
    const json record = this->Record(this->EngineUrl(n));
    for (const json& attempt : record["attempts"]) {
      attempts.push_back(attempt);
    }
  }
  return attempts;
}

int Fleet::RunsOf(const std::string& request) {
  int runs = 0;
  for (const json& attempt : this->Attempts()) {
    const std::string id = attempt.value("request", "");
    runs += id.rfind(request + ".", 0) == 0 && attempt.value("started", false);
  }
  return runs;
}

int Fleet::TotalRuns() {
  int runs = 0;
  for (const json& attempt : this->Attempts()) {
    runs += attempt.value("started", false) ? 1 : 0;
  }
  return runs;
}

json Fleet::Put(const std::string& kind, const std::string& name,
                const json& value, int version) {
  HttpRequest request;
  request.method = "PUT";
  request.url = absl::StrCat(this->StoreUrl(), "/objects/", kind, "/", name);
  request.headers = {
      version == 0 ? HttpHeader{"If-None-Match", "*"}
                   : HttpHeader{"If-Match", absl::StrCat("\"", version, "\"")}};
  request.body = value.dump();
  return JsonOf(Call(this->client, request));
}

void Fleet::Mark(const std::string& host, const std::string& mark, int version,
                 bool handover) {
  this->Put("marks", host,
            {{"host", host},
             {"mark", mark},
             {"handover", handover},
             {"operation", host + mark},
             {"set_by", "test"},
             {"unix_ms", 1}},
            version);
}

std::string Fleet::TemplateYaml(int max_output_tokens) const {
  return absl::StrCat(
      "name: reports\n"
      "models: [{model: reconcile, adapter: \"\", version: \"7\"}]\n"
      "urgency: normal\n"
      "delivery: ",
      this->plan.whole_delivery ? "whole" : "streamed", "\n",
      "not_repeatable: ", this->plan.not_repeatable, "\n",
      "limits: {max_output_tokens: ", max_output_tokens,
      ", deadline_ms: 50000}\n"
      "workspaces:\n"
      "  - {workspace: makati, key_sha256: [\"",
      Sha256(kKey), "\"]}\n", "  - {workspace: pasig, key_sha256: [\"",
      Sha256(kOtherKey), "\"]}\n");
}

json Fleet::PutTemplate(const std::string& yaml, int version) {
  return this->Put("templates", "reports",
                   {{"operation", absl::StrCat("test-", version)},
                    {"author", "test"},
                    {"unix_ms", 1},
                    {"yaml", yaml}},
                   version);
}

void Fleet::PutHostList() {
  json list = json::array();
  for (int n = 0; n < this->plan.hosts; ++n) {
    list.push_back({{"name", absl::StrCat("entry-", n)},
                    {"role", "entry"},
                    {"address", "127.0.0.1"},
                    {"port", this->host_ports[n]},
                    {"control_port", this->control_ports[n]},
                    {"zone", absl::StrCat("hall-", n % 3)},
                    {"region", "manila"},
                    {"state", "live"}});
  }
  for (int n = 0; n < this->plan.engines; ++n) {
    const auto link = this->engine_links.find(n);
    list.push_back(
        {{"name", absl::StrCat("engine", n + 1)},
         {"role", "engine"},
         {"address", "127.0.0.1"},
         {"port", link == this->engine_links.end() ? this->engine_ports[n]
                                                   : link->second},
         {"zone", absl::StrCat("hall-", n % 3)},
         {"region", "manila"},
         {"state", "live"},
         {"checks_fence", this->plan.check_fence}});
  }
  for (int n = 0; n < this->plan.backends; ++n) {
    list.push_back({{"name", absl::StrCat("backend-", n)},
                    {"role", "backend"},
                    {"address", "127.0.0.1"},
                    {"port", this->backend_ports[n]},
                    {"zone", "hall-0"},
                    {"region", "manila"},
                    {"service", "rounds"},
                    {"state", "live"}});
  }
  HttpRequest request;
  request.method = "PUT";
  request.url = Local(this->host_list->Port()) + "/standin/hosts";
  request.body = json{{"hosts", list}}.dump();
  Call(this->client, request);
}

}  // namespace meadowthread::tests
