#include "engine/generation.h"

namespace meadowthread::standins {

std::string_view StateName(GenerationState state) {
  switch (state) {
    case GenerationState::kWaiting:
      return "waiting";
    case GenerationState::kRunning:
      return "running";
    case GenerationState::kFinished:
      return "finished";
    case GenerationState::kCancelled:
      return "cancelled";
    case GenerationState::kOrphaned:
      return "orphaned";
    case GenerationState::kLost:
      return "lost";
  }
  return "unknown";
}

}  // namespace meadowthread::standins
