#ifndef MEADOWTHREAD_ENGINE_ENGINE_MESSAGES_H_
#define MEADOWTHREAD_ENGINE_ENGINE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "policy/engine_view.h"

namespace meadowthread {

/// @brief Name and URL of an engine.
struct EngineAddress {
  std::string engine;
  std::string base_url;  ///< e.g. "http://10.0.0.7:9100"
};

/// @brief Parameters of a generation sent to an engine.
struct GenerationRequest {
  std::string attempt;  ///< unique id of the attempt
  std::string workspace;
  ServedModel model;
  std::string prompt;
  std::int64_t max_tokens = 0;
  int priority = 1;  ///< 0 is most urgent
  std::int64_t deadline_unix_ms = 0;
  /// The engine ends the generation when it has had no reader for this long.
  std::int64_t orphan_timeout_ms = 0;
};

/// @brief One token of a generation.
struct TokenEvent {
  std::string generation;
  std::int64_t index = 0;
  std::string text;
};

/// @brief Regular completion of a generation.
struct GenerationFinish {
  std::string generation;
  std::int64_t count = 0;  ///< tokens in the whole generation
  std::string reason;      ///< "stop" or "length"
};

/// @brief Encodes the JSON body of a generation request (docs/INTERFACES.md,
/// section 1).
std::string EncodeGenerationRequest(const GenerationRequest& request);

/// @brief Decodes a load report. An error names the field and the engine.
absl::StatusOr<LoadReport> DecodeLoadReport(std::string_view body,
                                            std::string_view engine);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ENGINE_ENGINE_MESSAGES_H_
