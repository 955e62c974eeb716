#ifndef MEADOWTHREAD_BENCH_ORACLE_H_
#define MEADOWTHREAD_BENCH_ORACLE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "driver.h"
#include "policy/chooser.h"

namespace meadowthread::bench {

/// @brief The limit: true lengths, true engine states, no lag. Sends work
/// where the memory holds all to its end, to the engine with the most room.
class OracleChooser final : public EngineChooser {
 public:
  explicit OracleChooser(const TrueState& truth) : truth(truth) {}

  Decision Choose(const WorkItem& work, const FleetState& fleet,
                  std::int64_t now_ms, std::uint64_t random) override;
  std::string_view Name() const override { return "oracle"; }

 private:
  struct Need {
    std::int64_t held = 0;
    std::int64_t left = 0;
  };

  static std::int64_t Peak(std::vector<Need>& needs);

  const TrueState& truth;
};

}  // namespace meadowthread::bench

#endif  // MEADOWTHREAD_BENCH_ORACLE_H_
