#ifndef MEADOWTHREAD_ANSWER_RESUME_TOKEN_H_
#define MEADOWTHREAD_ANSWER_RESUME_TOKEN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "engine/engine_messages.h"

namespace meadowthread {

/// @brief Which API's response format the caller gets: chat completions or text
/// completions.
enum class CompletionApi { kChat, kCompletion };

/// @brief The contents of a resume token. With it, any host can continue the
/// caller's interrupted answer.
struct ResumeTokenClaims {
  std::string request;
  std::string workspace;
  std::string caller;  ///< digest of the caller's API key
  EngineAddress engine;
  std::string generation;
  std::string model;
  CompletionApi form = CompletionApi::kChat;
  std::int64_t created_unix_s = 0;
  std::int64_t expires_unix_ms = 0;

  friend bool operator==(const ResumeTokenClaims& a,
                         const ResumeTokenClaims& b) {
    return a.request == b.request && a.workspace == b.workspace &&
           a.caller == b.caller && a.engine.engine == b.engine.engine &&
           a.engine.base_url == b.engine.base_url &&
           a.generation == b.generation && a.model == b.model &&
           a.form == b.form && a.created_unix_s == b.created_unix_s &&
           a.expires_unix_ms == b.expires_unix_ms;
  }
};

/// @brief Signs and verifies resume tokens (HMAC-SHA256).
class ResumeTokenCodec {
 public:
  /// @param[in] keys the first one signs; signatures by any of them are
  /// accepted, so that a key can be replaced host by host
  explicit ResumeTokenCodec(std::vector<std::string> keys);

  /// @brief The signed token for `claims`, in characters allowed in a header.
  std::string Sign(const ResumeTokenClaims& claims) const;

  /// @brief Checks signature, workspace, caller and expiry.
  /// @return the claims, or kResumeTokenInvalid / kResumeTokenExpired
  absl::StatusOr<ResumeTokenClaims> Verify(std::string_view token,
                                           std::string_view workspace,
                                           std::string_view caller,
                                           std::int64_t now_unix_ms) const;

 private:
  bool HasValidSignature(std::string_view payload,
                         std::string_view signature) const;

  std::vector<std::string> keys;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ANSWER_RESUME_TOKEN_H_
