#ifndef MEADOWTHREAD_POLICY_REQUESTED_BACKOFFS_H_
#define MEADOWTHREAD_POLICY_REQUESTED_BACKOFFS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "policy/string_map.h"

namespace meadowthread {

/// @brief The servers that have asked this host to back off, and those of which
/// other hosts tell that they have asked them.
///
/// A server that asked this host gets no requests until the backoff is over.
/// One that asked another host is used only where no other server can be.
class RequestedBackoffs {
 public:
  /// Called when a server asks this host for a backoff that ends later than one
  /// it has asked for before.
  using Listener =
      std::function<void(std::string_view server, std::int64_t backoff_ms)>;

  void SetListener(const Listener& callback) { this->listener = callback; }

  /// @brief A server has asked this host to back off. A shorter backoff does
  /// not end one that it asked for before.
  /// @param[in] server its key
  /// @param[in] now_ms monotonic, like all times here
  void Note(std::string_view server, std::int64_t backoff_ms,
            std::int64_t now_ms);

  /// @brief A server has asked another host to back off.
  /// @return whether that is news, to be passed on
  bool NoteTold(std::string_view server, std::int64_t backoff_ms,
                std::int64_t now_ms);

  /// @brief How long the server is to get no request from this host; 0: it may
  /// get one now.
  std::int64_t RemainingMs(std::string_view server, std::int64_t now_ms) const;

  /// @brief Whether the server has asked this or another host for a backoff
  /// that is not over.
  bool IsFull(std::string_view server, std::int64_t now_ms) const;

  /// @brief Whether a run that stopped elsewhere may be resumed at the server,
  /// which keeps room for it: at most one in a backoff.
  bool TakeResume(std::string_view server, std::int64_t now_ms);

  /// @brief Forgets a server that is gone.
  void Remove(std::string_view server);

  /// @brief Number of servers that are in backoff now.
  std::size_t Count(std::int64_t now_ms) const;

 private:
  struct Entry {
    std::int64_t until_ms = 0;
    std::int64_t told_until_ms = 0;
    bool resume_taken = false;
  };

  const Entry* Find(std::string_view server) const;

  Listener listener;
  StringMap<Entry> entries;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_REQUESTED_BACKOFFS_H_
