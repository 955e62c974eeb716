#ifndef MEADOWTHREAD_CONFIGURATION_SERVICE_CATALOG_H_
#define MEADOWTHREAD_CONFIGURATION_SERVICE_CATALOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "configuration/replicated_view.h"
#include "configuration/template_document.h"
#include "configuration/template_object.h"

namespace meadowthread {

/// @brief An invalid template, or one that conflicts with another template.
struct CatalogProblem {
  std::string template_name;
  std::int64_t version = 0;           ///< the version with the problem
  std::int64_t in_force_version = 0;  ///< 0: no version is in force
  std::string message;
};

/// @brief A template's version in force on this host.
struct TemplateInForce {
  std::string name;
  std::int64_t version = 0;
};

/// @brief Whether a call to a plain service needs an Idempotency-Key.
struct RepeatRule {
  bool needs_key = false;
  KeyForm key_form = KeyForm::kTimed;
};

/// @brief Index of the templates in force, for lookups by workspace, model and
/// API key.
///
/// Is updated by a view's changes. If a template cannot be read or is invalid,
/// its last valid version stays in force; other templates aren't affected. If
/// templates conflict, the one whose name sorts first wins, on every host.
class ServiceCatalog {
 public:
  using ServicePtr = std::shared_ptr<const WorkspaceService>;
  using Listener = std::function<void()>;

  /// @param[in] view must outlive this object, and must not be updated after
  /// this object is destroyed
  explicit ServiceCatalog(ReplicatedView& view);
  ServiceCatalog(const ServiceCatalog&) = delete;
  ServiceCatalog& operator=(const ServiceCatalog&) = delete;

  /// @brief Calls `listener` after each change of a template.
  void AddListener(const Listener& listener);

  /// @brief The workspace that an API key belongs to; empty if there is none.
  /// @param[in] key_sha256 the key's SHA-256 in lower-case hex
  std::string_view WorkspaceOfKey(std::string_view key_sha256) const;

  /// @brief The service for a workspace's requests for a model, or null.
  /// Holders of the pointer keep their version when the template changes.
  ServicePtr Find(std::string_view workspace, std::string_view model) const;

  /// @brief All services of a workspace, by template name.
  std::vector<ServicePtr> ServicesOf(std::string_view workspace) const;

  /// @brief Whether a call to a plain service needs an Idempotency-Key, which
  /// is so if any template of the workspace requires it.
  /// @param[in] path as received; it is normalized before matching
  RepeatRule RepeatRuleFor(std::string_view workspace, std::string_view service,
                           std::string_view method,
                           std::string_view path) const;

  /// @brief All workspaces that have a service, by name.
  std::vector<std::string> Workspaces() const;

  /// @brief All models that templates in force need, in ascending order.
  std::vector<ModelVersion> Models() const;

  /// @brief All templates in force, by name.
  std::vector<TemplateInForce> TemplatesInForce() const;

  /// @brief All invalid templates and conflicts, by template name.
  std::vector<CatalogProblem> Problems() const;

 private:
  using DocumentPtr = std::shared_ptr<const TemplateDocument>;

  /// Refers to one workspace's service in a document.
  struct ServiceRef {
    DocumentPtr document;
    std::size_t index = 0;

    const WorkspaceService& Service() const {
      return this->document->services[this->index];
    }
  };
  struct Entry {
    DocumentPtr document;  ///< in force; null: no valid version is known
    std::int64_t in_force_version = 0;
    std::int64_t faulty_version = 0;  ///< 0: the newest version is valid
    std::string fault;
  };

  void OnViewChange(const ViewChange& change);
  void Update(const StoredObject& object);
  void PutInForce(Entry* entry, const TemplateObject& object,
                  std::string_view name);
  void Index(const DocumentPtr& document);
  void Unindex(const DocumentPtr& document);
  void AddConflicts(std::vector<CatalogProblem>* problems) const;

  std::map<std::string, Entry, std::less<>> entries;
  std::map<std::string, std::vector<ServiceRef>, std::less<>> by_workspace;
  std::unordered_map<std::string, std::vector<ServiceRef>> by_key;
  std::map<ModelVersion, std::size_t> model_uses;
  std::vector<Listener> listeners;
};

namespace detail {

/// @brief Normalizes a path: removes the query, decodes percent-encoding, and
/// resolves empty, `.` and `..` segments.
std::string NormalizePath(std::string_view path);

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_SERVICE_CATALOG_H_
