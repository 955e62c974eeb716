#ifndef MEADOWTHREAD_CONFIGURATION_WORKSPACE_SERVICE_H_
#define MEADOWTHREAD_CONFIGURATION_WORKSPACE_SERVICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/served_model.h"
#include "claims/claim_types.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief How answers reach the caller.
enum class Delivery {
  kStreamed,  ///< token by token
  kWhole,     ///< once the generation is whole
};

/// @brief Which generations need a claim before they are sent.
enum class GenerationClaims {
  kNone,
  kKeyed,  ///< those that carry an Idempotency-Key
  kAll,    ///< all, and the key is required
};

/// @brief What an engine must have loaded to serve a workspace.
using ModelVersion = ServedModel;

/// @brief Calls of a plain service that may not be repeated.
struct NotRepeatableCalls {
  std::string service;
  std::vector<std::string> methods;  ///< upper case; empty: all
  std::string path_prefix = "/";     ///< starts with a slash

  friend bool operator==(const NotRepeatableCalls&,
                         const NotRepeatableCalls&) = default;
};

/// @brief Which requests may never be repeated.
struct NotRepeatable {
  GenerationClaims requests = GenerationClaims::kNone;
  std::vector<NotRepeatableCalls> services;
  KeyForm key_form = KeyForm::kTimed;

  friend bool operator==(const NotRepeatable&, const NotRepeatable&) = default;
};

/// @brief Limits of a workspace over all hosts; 0: no limit.
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

/// @brief What one template gives one workspace, its parameters filled in.
struct WorkspaceService {
  std::string workspace;
  std::string template_name;
  std::int64_t template_version = 0;
  std::vector<ModelVersion> models;
  Urgency urgency = Urgency::kNormal;
  Delivery delivery = Delivery::kStreamed;
  NotRepeatable not_repeatable;
  ServiceLimits limits;
  double weight = 1;  ///< its share against other workspaces

  friend bool operator==(const WorkspaceService&,
                         const WorkspaceService&) = default;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_WORKSPACE_SERVICE_H_
