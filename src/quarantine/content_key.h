#ifndef MEADOWTHREAD_QUARANTINE_CONTENT_KEY_H_
#define MEADOWTHREAD_QUARANTINE_CONTENT_KEY_H_

#include <string>
#include <string_view>

namespace meadowthread {

/// @brief The parts of a request that are the same in every retry of it.
struct RequestContent {
  std::string_view workspace;  ///< of the caller; empty: none
  std::string_view http_host;  ///< host name in the request; empty: none
  std::string_view target;     ///< path and query, byte for byte
  std::string_view body;
};

/// @brief Hash of a request's content: the same for every retry, on every host.
///
/// It is cryptographic, so that a caller can't craft a body whose key is that
/// of another workspace's request.
///
/// @return 32 hexadecimal digits: the first 128 bits of a SHA-256
/// @complexity linear in the body
std::string ContentKeyOf(const RequestContent& content);

/// @brief Key of a part of prompts in one workspace, in the form of a content
/// key; no content has the same one.
std::string PartKeyOf(std::string_view workspace, std::string_view part);

/// @brief Whether a text has the form of a content key.
bool IsContentKey(std::string_view text);

/// @brief Whether a text can be the ID of a part of prompts: 1 to 64 lower-case
/// hexadecimal digits.
bool IsPartId(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CONTENT_KEY_H_
