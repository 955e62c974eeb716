#include "objects/object_faults.h"

namespace meadowthread::standins {

void ObjectFaults::Merge(const nlohmann::json& change) {
  this->down = change.value("down", this->down);
  this->hang = change.value("hang", this->hang);
  this->watch_stall = change.value("watch_stall", this->watch_stall);
  this->slow_ms = change.value("slow_ms", this->slow_ms);
  this->stale_reads_ms = change.value("stale_reads_ms", this->stale_reads_ms);
  this->lose_answers = change.value("lose_answers", this->lose_answers);
  this->lose_requests = change.value("lose_requests", this->lose_requests);
  this->delay_writes = change.value("delay_writes", this->delay_writes);
  this->delay_writes_ms =
      change.value("delay_writes_ms", this->delay_writes_ms);
}

WriteFate ObjectFaults::NextWrite() {
  if (this->lose_requests > 0) {
    --this->lose_requests;
    return WriteFate::kRequestLost;
  }
  if (this->lose_answers > 0) {
    --this->lose_answers;
    return WriteFate::kAnswerLost;
  }
  if (this->delay_writes > 0) {
    --this->delay_writes;
    return WriteFate::kDelayed;
  }
  return WriteFate::kNormal;
}

}  // namespace meadowthread::standins
