#ifndef MEADOWTHREAD_POLICY_SERVER_NOTICE_H_
#define MEADOWTHREAD_POLICY_SERVER_NOTICE_H_

#include <cstdint>

namespace meadowthread {

/// @brief What one answer of a server says about the requests to come.
struct ServerNotice {
  enum class Rest {
    kNone,       ///< it asks for no rest
    kAsked,      ///< it wants no request from this host for `rest_ms`
    kMalformed,  ///< it asks for something that is not a time
  };
  Rest rest = Rest::kNone;
  std::int64_t rest_ms = 0;
  bool is_leaving = false;  ///< it will stop, and is to get no new requests

  friend bool operator==(const ServerNotice&, const ServerNotice&) = default;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_SERVER_NOTICE_H_
