#ifndef MEADOWTHREAD_CLI_DOCUMENT_CHECK_H_
#define MEADOWTHREAD_CLI_DOCUMENT_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief What an operator writes.
enum class DocumentKind { kSettings, kRelaySettings, kTemplate, kNeither };

/// @brief The kind's name in output.
std::string_view DocumentKindName(DocumentKind kind);

/// @brief One fault of a document of any kind.
struct DocumentProblem {
  int line = 0;  ///< from 1; 0: the document as a whole
  std::string field;
  std::string message;

  friend bool operator==(const DocumentProblem&,
                         const DocumentProblem&) = default;
};

/// @brief What a document is and what is wrong with it.
struct CheckedDocument {
  DocumentKind kind = DocumentKind::kNeither;
  std::vector<DocumentProblem> problems;  ///< all of them, by line
};

/// @brief Tells a document's kind by its top fields and checks it whole.
CheckedDocument CheckDocument(std::string_view text);

/// @brief Checks a document as a template, whatever its fields.
CheckedDocument CheckTemplate(std::string_view text);

/// @brief Problems as JSON.
nlohmann::ordered_json ProblemsJson(
    const std::vector<DocumentProblem>& problems);

/// @brief Problems as lines for a person, `FILE:LINE: FIELD MESSAGE`.
std::string ProblemLines(std::string_view file,
                         const std::vector<DocumentProblem>& problems);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_DOCUMENT_CHECK_H_
