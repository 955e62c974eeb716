#ifndef MEADOWTHREAD_CLI_DOCUMENT_CHECK_H_
#define MEADOWTHREAD_CLI_DOCUMENT_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief The kinds of documents that operators write.
enum class DocumentKind { kSettings, kRelaySettings, kTemplate, kNeither };

/// @brief The name of the kind, as printed.
std::string_view DocumentKindName(DocumentKind kind);

/// @brief One problem found in a document of any kind.
struct DocumentProblem {
  int line = 0;  ///< counted from 1; 0: the whole document
  std::string field;
  std::string message;

  friend bool operator==(const DocumentProblem&,
                         const DocumentProblem&) = default;
};

/// @brief The kind of a document and the problems found in it.
struct CheckedDocument {
  DocumentKind kind = DocumentKind::kNeither;
  std::vector<DocumentProblem> problems;  ///< all problems, ordered by line
};

/// @brief Detects a document's kind from its top-level fields and validates it.
CheckedDocument CheckDocument(std::string_view text);

/// @brief Validates a document as a template, whatever its fields are.
CheckedDocument CheckTemplate(std::string_view text);

/// @brief Problems as JSON.
nlohmann::ordered_json ProblemsJson(
    const std::vector<DocumentProblem>& problems);

/// @brief Problems as text lines of the form `FILE:LINE: FIELD MESSAGE`.
std::string ProblemLines(std::string_view file,
                         const std::vector<DocumentProblem>& problems);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_DOCUMENT_CHECK_H_
