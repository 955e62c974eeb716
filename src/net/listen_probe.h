#ifndef MEADOWTHREAD_NET_LISTEN_PROBE_H_
#define MEADOWTHREAD_NET_LISTEN_PROBE_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <string_view>

namespace meadowthread {

/// @brief Result of a test connection.
enum class ListenProbeResult {
  kListens,
  kRefused,  ///< the machine is up, but no process listens on the port
  kSilent,   ///< no reply within the time limit
};

/// @brief The state's name in log lines.
std::string_view ListenProbeResultName(ListenProbeResult state);

/// @brief Checks whether a process listens on an address by opening a
/// connection and closing it immediately, without sending anything.
class ListenProbe {
 public:
  using Done = std::function<void(ListenProbeResult)>;

  virtual ~ListenProbe() = default;

  /// @param[in] address IP:PORT
  /// @param[in] limit_ms longest wait
  /// @param[in] done called once, never from within Ask
  virtual void Ask(std::string_view address, std::int64_t limit_ms,
                   const Done& done) = 0;
};

/// @brief A ListenProbe that uses Qt's sockets.
class QtListenProbe final : public ListenProbe {
 public:
  void Ask(std::string_view address, std::int64_t limit_ms,
           const Done& done) override;

 private:
  QObject owner;  ///< parent of the pending checks; its destruction drops them
                  ///< without a callback
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_LISTEN_PROBE_H_
