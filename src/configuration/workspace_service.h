#ifndef MEADOWTHREAD_CONFIGURATION_WORKSPACE_SERVICE_H_
#define MEADOWTHREAD_CONFIGURATION_WORKSPACE_SERVICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/served_model.h"
#include "claims/claim_types.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief How responses are delivered to the caller.
enum class Delivery {
  kStreamed,  ///< token by token
  kWhole,     ///< in one response when the generation is complete
};

/// @brief Which generation requests need a claim before they are sent to an
/// engine; a claim ensures that a request runs at most once.
enum class GenerationClaims {
  kNone,
  kKeyed,  ///< those with an Idempotency-Key
  kAll,    ///< all; requests must carry an Idempotency-Key
};

/// @brief The model that an engine must have loaded to serve a workspace.
using ModelVersion = ServedModel;

/// @brief Calls to a plain service that must not be repeated.
struct NonRepeatableCalls {
  std::string service;
  std::vector<std::string> methods;  ///< upper case; empty: all
  std::string path_prefix = "/";     ///< starts with a slash

  friend bool operator==(const NonRepeatableCalls&,
                         const NonRepeatableCalls&) = default;
};

/// @brief Which requests must never be repeated.
struct NonRepeatableRequests {
  GenerationClaims requests = GenerationClaims::kNone;
  std::vector<NonRepeatableCalls> services;
  KeyForm key_form = KeyForm::kTimed;

  friend bool operator==(const NonRepeatableRequests&,
                         const NonRepeatableRequests&) = default;
};

/// @brief Limits of a workspace, over all hosts together; 0: no limit.
struct ServiceLimits {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  std::int64_t concurrent = 0;
  std::int64_t max_output_tokens = 0;
  std::int64_t max_prompt_tokens = 0;
  std::int64_t queue_ms = 0;
  std::int64_t deadline_ms = 0;

  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

/// @brief The service that one template defines for one workspace, with the
/// parameters substituted.
struct WorkspaceService {
  std::string workspace;
  std::string template_name;
  std::int64_t template_version = 0;
  std::vector<ModelVersion> models;
  Urgency urgency = Urgency::kNormal;
  Delivery delivery = Delivery::kStreamed;
  NonRepeatableRequests not_repeatable;
  ServiceLimits limits;
  double weight = 1;  ///< relative share among workspaces

  friend bool operator==(const WorkspaceService&,
                         const WorkspaceService&) = default;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_WORKSPACE_SERVICE_H_
