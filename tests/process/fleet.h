#ifndef MEADOWTHREAD_TESTS_PROCESS_FLEET_H_
#define MEADOWTHREAD_TESTS_PROCESS_FLEET_H_

#include <QCoreApplication>
#include <QTemporaryDir>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/pooled_client.h"
#include "nlohmann/json.hpp"
#include "process/caller.h"
#include "process/process.h"

namespace meadowthread::tests {

/// @brief What a test fleet consists of.
struct FleetPlan {
  int hosts = 2;
  int engines = 2;
  int backends = 0;
  int token_ms = 2;
  int kv_tokens = 200'000;
  int report_lag_ms = 50;
  int host_list_lag_ms = 0;
  bool whole_delivery = false;
  bool check_fence = true;
  bool placement = false;
  std::string not_repeatable = "{requests: keyed, key_form: opaque}";
  std::string half;  ///< further lines of the hosts' settings
};

inline constexpr char kKey[] = "makati-key";
inline constexpr char kOtherKey[] = "pasig-key";

/// @brief Stand-ins and entry hosts as separate processes on loopback.
class Fleet {
 public:
  explicit Fleet(const FleetPlan& plan);

  /// @brief Starts the platform's stand-ins and engines, puts the template.
  void StartPlatform();
  /// @brief Starts an entry host; does not wait for it to be ready.
  void StartHost(int n);
  /// @brief StartPlatform and every host, waited for until ready.
  void Start();

  std::string HostUrl(int n) const;
  std::string ControlUrl(int n) const;
  std::string EngineUrl(int n) const;
  std::string BackendUrl(int n) const;
  std::string StoreUrl() const;
  /// @brief From now on hosts read and are given other ports than these have.
  void SetStorePort(int host, int port) { this->store_links[host] = port; }
  void ReachEngineBy(int n, int port) { this->engine_links[n] = port; }
  Process& Host(int n) { return *this->hosts.at(n); }
  Process& Engines() { return *this->engines; }
  PooledClient& Client() { return this->client; }

  bool IsReady(int n);
  nlohmann::json Status(int n);

  /// @brief Sets faults of a stand-in.
  void SetFaults(const std::string& url, const nlohmann::json& faults);
  nlohmann::json Record(const std::string& url);
  /// @brief All attempts that any engine ran or refused.
  std::vector<nlohmann::json> Attempts();
  /// @brief Attempts that ran, of one request.
  int RunsOf(const std::string& request);
  int TotalRuns();

  /// @brief Writes an object with the condition that it is absent, or that the
  /// version stands.
  nlohmann::json Put(const std::string& kind, const std::string& name,
                     const nlohmann::json& value, int version = 0);
  void Mark(const std::string& host, const std::string& mark, int version = 0,
            bool handover = false);
  std::string TemplateYaml(int max_output_tokens = 100'000) const;
  nlohmann::json PutTemplate(const std::string& yaml, int version = 0);
  void PutHostList();

 private:
  std::string SettingsOf(int n) const;

  FleetPlan plan;
  QTemporaryDir folder;
  std::vector<int> host_ports;
  std::vector<int> control_ports;
  PooledClient client;
  std::unique_ptr<Process> store;
  std::unique_ptr<Process> host_list;
  std::unique_ptr<Process> engines;
  std::vector<std::unique_ptr<Process>> backends;
  std::vector<std::unique_ptr<Process>> hosts;
  std::vector<int> engine_ports;
  std::vector<int> backend_ports;
  std::map<int, int> store_links;
  std::map<int, int> engine_links;
};

/// @brief A Qt application for one test.
class TestApplication {
 public:
  TestApplication() : application(this->count, this->arguments) {}

 private:
  int count = 1;
  char name[5] = "test";
  char* arguments[2] = {this->name, nullptr};
  QCoreApplication application;
};

}  // namespace meadowthread::tests

#endif  // MEADOWTHREAD_TESTS_PROCESS_FLEET_H_
