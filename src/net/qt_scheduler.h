#ifndef MEADOWTHREAD_NET_QT_SCHEDULER_H_
#define MEADOWTHREAD_NET_QT_SCHEDULER_H_

#include <QObject>

#include "base/scheduler.h"

namespace meadowthread {

/// @brief Tasks on Qt's event loop; dropped when the scheduler goes.
class QtScheduler final : public Scheduler {
 public:
  void After(std::int64_t delay_ms, std::function<void()> task) override;

 private:
  QObject context;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_QT_SCHEDULER_H_
