#ifndef MEADOWTHREAD_POLICY_SERVER_NOTICE_H_
#define MEADOWTHREAD_POLICY_SERVER_NOTICE_H_

#include <cstdint>

namespace meadowthread {

/// @brief What one answer of a server says about the requests to come.
struct ServerNotice {
  enum class Backoff {
    kNone,       ///< it asks for no backoff
    kAsked,      ///< it wants no request from this host for `backoff_ms`
    kMalformed,  ///< it asks for something that is not a time
  };
  Backoff backoff = Backoff::kNone;
  std::int64_t backoff_ms = 0;
  bool is_leaving = false;  ///< it will stop, and is to get no new requests

  friend bool operator==(const ServerNotice&, const ServerNotice&) = default;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_SERVER_NOTICE_H_
