#include "net/qt_scheduler.h"

#include <QTimer>
#include <chrono>
#include <utility>

namespace meadowthread {

void QtScheduler::After(std::int64_t delay_ms, std::function<void()> task) {
  QTimer::singleShot(std::chrono::milliseconds(delay_ms), Qt::PreciseTimer,
                     &this->context, std::move(task));
}

}  // namespace meadowthread
