#ifndef MEADOWTHREAD_TESTS_SOAK_FAULT_ROUND_H_
#define MEADOWTHREAD_TESTS_SOAK_FAULT_ROUND_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "soak/draw.h"
#include "soak/soak_caller.h"
#include "soak/verdict.h"
#include "soak/world.h"

namespace meadowthread::soak {

/// @brief State that is kept over the rounds of a seed.
struct SoakState {
  World& world;
  Draw draw;
  int sent = 0;  ///< requests so far
  std::set<int> lengths;
  bool second_key = true;
  /// Requests of which an answer stated that they have not run.
  std::vector<SoakCaller::Exchange> refused;
  std::vector<std::string> events;      ///< what was done, for the output
  std::vector<std::string> violations;  ///< of promises to callers
  int whole = 0;
  int not_run = 0;
  int excused = 0;
};

/// @brief Sends requests, injects faults, and checks the answers when all of
/// them have ended.
class FaultRound {
 public:
  /// @param[in] course outlives the round
  explicit FaultRound(SoakState& state) : state(state) {}

  void Play();
  /// @brief A round without faults, in which every host must serve.
  void PlayQuiet();

 private:
  enum class Fault {
    kStop,
    kStopSeries,
    kKill,
    kPause,
    kReload,
    kCallerLink,
    kEngineLink,
    kStoreLink,
    kDrainEngine,
    kKillEngine,
    kLoseAnswers,
    kKeys,
  };
  // Drawn from; what stands twice is drawn twice as often.
  static constexpr Fault kFaults[] = {
      Fault::kStop,        Fault::kStopSeries,  Fault::kKill,
      Fault::kPause,       Fault::kReload,      Fault::kCallerLink,
      Fault::kEngineLink,  Fault::kStoreLink,   Fault::kDrainEngine,
      Fault::kKillEngine,  Fault::kLoseAnswers, Fault::kLoseAnswers,
      Fault::kLoseAnswers, Fault::kKeys,        Fault::kKeys};

  SentRequest Next(Draw& draw, int host, bool by_link, int small_in);
  void AddCaller(int host);
  void AddSmallCallers();
  void InjectFaults();
  void Inject(Fault fault);
  void BreakLinkOf(Fault fault, int host);
  void BreakLink(FaultProxy& link, const std::string& name, bool* broken);
  void LoseAnswers(FaultProxy& link, const std::string& name);
  void Stop(int host);
  void ChangeKeys();
  void EndEngine(int engine, bool killed);
  bool IsUnaffected(int host);
  void RestartEnded();
  void WaitUntilReady();
  void CheckAnswers();
  bool Until(const std::function<bool()>& done, int limit_ms);
  void LetPass(int bytes);
  std::size_t Bytes() const;
  bool AreOver() const;
  void AddUnfinished();
  void AddEvent(const std::string& what);
  void AddViolation(const std::string& what);

  SoakState& state;
  std::vector<std::unique_ptr<SoakCaller>> callers;
  FaultEffects effects;
  std::vector<FaultProxy*> to_reset;
  std::set<int> store_links_hit;
  std::set<int> paused_hosts;
  std::set<int> ended_engines;
  std::map<std::string, std::string> logs_before;
};

/// @brief Checks the promises that last until the end of a seed.
void CheckLastingPromises(SoakState& state);

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_FAULT_ROUND_H_
