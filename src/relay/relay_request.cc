#include "relay/relay_request.h"

#include <algorithm>

#include "quarantine/content_key.h"

namespace meadowthread {

std::string_view ExecutionRuleName(ExecutionRule rule) {
  switch (rule) {
    case ExecutionRule::kRepeatable:
      return "repeatable";
    case ExecutionRule::kOnce:
      return "once";
    case ExecutionRule::kStream:
      return "stream";
  }
  return "once";
}

std::int64_t MaxOutputTokens(const RelayRequest& request) {
  return request.generation.has_value() ? request.generation->max_output_tokens
                                        : 0;
}

Urgency UrgencyOf(const RelayTerms& terms) {
  if (terms.urgency <= 0) {
    return Urgency::kUrgent;
  }
  return terms.urgency == 1 ? Urgency::kNormal : Urgency::kBatch;
}

std::string ContentKeyOf(const RelayRequest& request, const RelayTerms& terms) {
  return ContentKeyOf(
      {terms.workspace, request.host, request.target, request.body});
}

std::int64_t DeadlineMs(const RelayRequest& request, const RelayTerms& terms,
                        std::int64_t default_limit_ms) {
  std::int64_t limit_ms =
      terms.timeout_ms > 0 ? terms.timeout_ms : default_limit_ms;
  if (request.allowed_ms > 0) {
    limit_ms = std::min(limit_ms, request.allowed_ms);
  }
  return request.begun_ms + limit_ms;
}

}  // namespace meadowthread
