#ifndef MEADOWTHREAD_TESTS_SOAK_ROUND_H_
#define MEADOWTHREAD_TESTS_SOAK_ROUND_H_

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

/// @brief What lasts over the rounds of a seed.
struct Course {
  World& world;
  Draw draw;
  int asked = 0;  ///< requests so far
  std::set<int> lengths;
  bool second_key = true;
  /// All that was promised never to run.
  std::vector<SoakCaller::Exchange> refused;
  std::vector<std::string> story;       ///< what was done, for people
  std::vector<std::string> complaints;  ///< broken promises
  int whole = 0;
  int not_run = 0;
  int excused = 0;
};

/// @brief Callers ask, faults strike, all of it ends; then it is judged.
class Round {
 public:
  /// @param[in] course outlives the round
  explicit Round(Course& course) : course(course) {}

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

  Asked Next(Draw& draw, int host, bool by_link, int small_in);
  void AddCaller(int host);
  void AddSmallCallers();
  void StrikeAll();
  void Strike(Fault fault);
  void StrikeLinkOf(Fault fault, int host);
  void StrikeLink(FaultProxy& link, const std::string& name, bool* broken);
  void LoseAnswers(FaultProxy& link, const std::string& name);
  void Stop(int host);
  void ChangeKeys();
  void EndEngine(int engine, bool killed);
  bool IsUndisturbed(int host);
  void RestartEnded();
  void WaitForReturn();
  void Judge();
  bool Until(const std::function<bool()>& done, int limit_ms);
  void LetPass(int bytes);
  std::size_t Bytes() const;
  bool AreOver() const;
  void TellUnended();
  void Tell(const std::string& what);
  void Complain(const std::string& what);

  Course& course;
  std::vector<std::unique_ptr<SoakCaller>> callers;
  Disturbed disturbed;
  std::vector<FaultProxy*> to_reset;
  std::set<int> store_links_hit;
  std::set<int> paused_hosts;
  std::set<int> ended_engines;
  std::map<std::string, std::string> logs_before;
};

/// @brief The seed's promises that last until its end.
void JudgeCourse(Course& course);

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_ROUND_H_
