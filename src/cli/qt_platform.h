#ifndef MEADOWTHREAD_CLI_QT_PLATFORM_H_
#define MEADOWTHREAD_CLI_QT_PLATFORM_H_

#include <memory>

#include "cli/platform.h"

namespace meadowthread {

/// @brief Connects to the platform over HTTP, using Qt's event loop.
class QtPlatformConnector final : public PlatformConnector {
 public:
  std::unique_ptr<Platform> Connect(const PlatformAddress& address) override;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_QT_PLATFORM_H_
