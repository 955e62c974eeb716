#ifndef MEADOWTHREAD_NET_LISTEN_CHECK_H_
#define MEADOWTHREAD_NET_LISTEN_CHECK_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <string_view>

namespace meadowthread {

/// @brief What became of a connection that was only tried.
enum class ListenState {
  kListens,
  kRefused,  ///< the machine answers, and no process takes connections there
  kSilent,   ///< nothing answered in time
};

/// @brief The state's name in log lines.
std::string_view ListenStateName(ListenState state);

/// @brief Finds out whether a process takes connections, by one that is closed
/// at once. Nothing is asked of the process.
class ListenCheck {
 public:
  using Done = std::function<void(ListenState)>;

  virtual ~ListenCheck() = default;

  /// @param[in] address IP:PORT
  /// @param[in] limit_ms longest wait
  /// @param[in] done told once, later
  virtual void Ask(std::string_view address, std::int64_t limit_ms,
                   const Done& done) = 0;
};

/// @brief By Qt's sockets.
class QtListenCheck final : public ListenCheck {
 public:
  void Ask(std::string_view address, std::int64_t limit_ms,
           const Done& done) override;

 private:
  QObject owner;  ///< of the sockets: what is not over ends with it, untold
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_LISTEN_CHECK_H_
