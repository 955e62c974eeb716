#ifndef MEADOWTHREAD_NET_QT_SCHEDULER_H_
#define MEADOWTHREAD_NET_QT_SCHEDULER_H_

#include <QObject>

#include "base/scheduler.h"

namespace meadowthread {

/// @brief Runs delayed tasks on Qt's event loop; pending tasks are dropped when
/// the scheduler is destroyed.
class QtScheduler final : public Scheduler {
 public:
  void After(std::int64_t delay_ms, std::function<void()> task) override;

 private:
  QObject context;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_QT_SCHEDULER_H_
