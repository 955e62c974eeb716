#include "policy/work_item.h"

namespace meadowthread {

std::string_view UrgencyName(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return "urgent";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kBatch:
      return "batch";
  }
  return "normal";
}

}  // namespace meadowthread
