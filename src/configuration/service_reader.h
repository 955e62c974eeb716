#ifndef MEADOWTHREAD_CONFIGURATION_SERVICE_READER_H_
#define MEADOWTHREAD_CONFIGURATION_SERVICE_READER_H_

#include <string_view>

#include "configuration/workspace_service.h"
#include "configuration/yaml_reader.h"

namespace meadowthread {

/// @brief Reads the service that a template defines, with parameters
/// substituted from the reader's scope.
/// @param[in] root the document
/// @return the service, with workspace, template and weight not yet set
WorkspaceService ReadService(YamlReader& reader, const YamlField& root);

namespace detail {

/// @brief Whether a text is a valid name of a model, an adapter or a version.
bool IsModelName(std::string_view text);

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_SERVICE_READER_H_
