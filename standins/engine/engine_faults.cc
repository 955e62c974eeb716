#include "engine/engine_faults.h"

namespace meadowthread::standins {

void EngineFaults::Merge(const nlohmann::json& change) {
  this->duplicate_every =
      change.value("duplicate_every", this->duplicate_every);
  this->reorder_every = change.value("reorder_every", this->reorder_every);
  this->drop_every = change.value("drop_every", this->drop_every);
  this->late_ms = change.value("late_ms", this->late_ms);
  this->reject = change.value("reject", this->reject);
  if (change.contains("refuse_after_read")) {
    this->refuse_after_read = change.value("refuse_after_read", 0);
    this->run = false;
  }
  this->run = change.value("run", this->run);
  this->stall = change.value("stall", this->stall);
}

}  // namespace meadowthread::standins
