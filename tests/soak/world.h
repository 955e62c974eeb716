#ifndef MEADOWTHREAD_TESTS_SOAK_WORLD_H_
#define MEADOWTHREAD_TESTS_SOAK_WORLD_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "process/process.h"
#include "soak/fault_proxy.h"
#include "soak/sent_request.h"

namespace meadowthread::soak {

inline constexpr int kHosts = 3;
inline constexpr int kEngines = 3;

/// @brief The processes of one program's run with the links between them.
class World {
 public:
  virtual ~World() = default;

  /// @brief Starts everything and waits until every host serves.
  /// @return false where a host does not come up
  virtual bool Start() = 0;
  /// @brief Starts a host that is not running; waits for nothing.
  virtual void StartHost(int n) = 0;
  virtual tests::Process& Host(int n) = 0;
  virtual bool IsReady(int n) = 0;

  /// @brief What a request is on the wire, to its host's own port or, by its
  /// link, to the link's.
  virtual HttpRequest RequestOf(const SentRequest& sent) const = 0;
  virtual Outcome OutcomeOf(const SentRequest& sent, const Answer& answer) = 0;

  /// @brief A request that ends each engine which begins to run it: the same
  /// content each time.
  virtual HttpRequest GuiltyRequest(int host, const std::string& id) const = 0;
  /// @brief Requests that back ends were asked to begin so far.
  virtual int Starts() = 0;

  /// @brief About what one event or token of a stream takes on the wire.
  virtual int EventBytes() const = 0;

  /// @brief What a caller's kernel is to hold: little enough that a long answer
  /// waits in its host.
  virtual int ReceiveBytes() const = 0;

  /// @brief Reads what the back ends saw so far.
  virtual void ReadRecord() = 0;
  virtual Runs RunsOf(const SentRequest& sent) const = 0;
  /// @brief Whether back ends may see one request begin once at most.
  virtual bool RunsOnce(RequestKind kind) const = 0;

  /// @brief The configuration with or without the second key.
  virtual void PutKeys(bool second) = 0;
  /// @brief The status of a small request with the second key.
  virtual int StatusWithSecondKey(int host) = 0;

  virtual bool TakesReloads() const = 0;
  /// @brief Whether a second stop cuts streams, which their callers resume.
  virtual bool HandsOver() const = 0;
  /// @brief Whether engines can be drained and killed one by one.
  virtual bool EnginesEnd() const = 0;
  /// @brief An engine announces that it leaves.
  virtual void DrainEngine(int n) = 0;
  /// @brief An engine is gone at once.
  virtual void KillEngine(int n) = 0;
  /// @brief Another engine takes the place of one that was drained or killed.
  virtual void ReplaceEngine(int n) = 0;
  /// @brief Its name in what the back ends saw.
  virtual std::string EngineName(int n) const = 0;

  /// @brief Servers of plain calls whose entries can be taken away.
  virtual int PlainServers() const { return 0; }
  /// @brief A plain server leaves by its entry's removal and serves on.
  virtual void RemoveEntry(int /*server*/) {}
  virtual void ListAgain(int /*server*/) {}
  /// @brief Requests that a plain server began so far.
  virtual int RunsAtPlain(int /*server*/) { return 0; }
  /// @brief The availability zone of a plain server, which no other is in.
  virtual void EmptyZone(int /*server*/) {}
  virtual void TakeBackZone(int /*server*/) {}
  /// @brief The store answers nobody, or everybody again.
  virtual void SetStoreDown(bool /*is_down*/) {}

  /// @brief Whether the store can go back to a copy.
  virtual bool CanRestoreStore() const { return false; }
  virtual void KeepStoreCopy() {}
  virtual void RestoreStore() {}

  /// @brief Links to back ends: engines first, then others.
  int BackEndLinks() const {
    return static_cast<int>(this->engine_links.size());
  }
  FaultProxy& CallerLink(int host) { return *this->caller_links.at(host); }
  FaultProxy& StoreLink(int host) { return *this->store_links.at(host); }
  FaultProxy& EngineLink(int engine) { return *this->engine_links.at(engine); }
  void HealLinks();

  /// @brief What hosts wrote before the ones that run now.
  std::map<std::string, std::string> Logs();

 protected:
  /// @brief Keeps the log of a host that is about to be replaced.
  void KeepLog(int n);

  std::vector<std::unique_ptr<FaultProxy>> caller_links;
  std::vector<std::unique_ptr<FaultProxy>> store_links;
  std::vector<std::unique_ptr<FaultProxy>> engine_links;

 private:
  std::map<std::string, std::string> old_logs;
};

std::unique_ptr<World> MakeRelayWorld();
std::unique_ptr<World> MakeServeWorld();

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_WORLD_H_
