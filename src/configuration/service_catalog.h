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

/// @brief A template that is not, or not wholly, in force.
struct CatalogProblem {
  std::string template_name;
  std::int64_t version = 0;           ///< the version at fault
  std::int64_t in_force_version = 0;  ///< 0: none is in force
  std::string message;
};

/// @brief A template's version in force on this host.
struct TemplateInForce {
  std::string name;
  std::int64_t version = 0;
};

/// @brief Whether a call of a plain service may be repeated.
struct CallRule {
  bool needs_key = false;
  KeyForm key_form = KeyForm::kTimed;
};

/// @brief What the accepted templates say, ready to be looked up.
///
/// Follows a view. A template that cannot be read or is invalid is not put in
/// force: its last valid version stays, and the others are untouched. Where
/// templates clash, the one with the lowest name wins on every host alike.
class ServiceCatalog {
 public:
  using ServicePtr = std::shared_ptr<const WorkspaceService>;
  using Listener = std::function<void()>;

  /// @param[in] view outlives this, and this outlives what feeds the view
  explicit ServiceCatalog(ReplicatedView& view);
  ServiceCatalog(const ServiceCatalog&) = delete;
  ServiceCatalog& operator=(const ServiceCatalog&) = delete;

  /// @brief Calls `listener` after each change of what is in force.
  void AddListener(const Listener& listener);

  /// @brief The workspace that a key belongs to; empty where there is none.
  /// @param[in] key_sha256 the key's SHA-256 in lower-case hex
  std::string_view WorkspaceOfKey(std::string_view key_sha256) const;

  /// @brief What serves a workspace's requests for a model, or null. It stays
  /// valid for those who hold it, also when the template changes.
  ServicePtr Find(std::string_view workspace, std::string_view model) const;

  /// @brief All that serves a workspace, by template name.
  std::vector<ServicePtr> ServicesOf(std::string_view workspace) const;

  /// @brief Whether a call of a plain service needs an Idempotency-Key: where
  /// any template of the workspace says so.
  /// @param[in] path as it came, in any spelling that a server may accept
  CallRule RuleOf(std::string_view workspace, std::string_view service,
                  std::string_view method, std::string_view path) const;

  /// @brief All workspaces that are served anything, by name.
  std::vector<std::string> Workspaces() const;

  /// @brief All models that any template in force needs, ascending.
  std::vector<ModelVersion> Models() const;

  /// @brief All templates in force, by name.
  std::vector<TemplateInForce> InForce() const;

  /// @brief All faults and clashes, by template name.
  std::vector<CatalogProblem> Problems() const;

 private:
  using DocumentPtr = std::shared_ptr<const TemplateDocument>;

  /// One workspace's place in a document.
  struct Place {
    DocumentPtr document;
    std::size_t index = 0;

    const WorkspaceService& Service() const {
      return this->document->services[this->index];
    }
  };
  struct Entry {
    DocumentPtr document;  ///< null: no valid version is known
    std::int64_t in_force_version = 0;
    std::int64_t faulty_version = 0;  ///< 0: the newest is in force
    std::string fault;
  };

  void Follow(const ViewChange& change);
  void Update(const StoredObject& object);
  void PutInForce(Entry* entry, const TemplateObject& object,
                  std::string_view name);
  void Index(const DocumentPtr& document);
  void Unindex(const DocumentPtr& document);
  void AddClashes(std::vector<CatalogProblem>* problems) const;

  std::map<std::string, Entry, std::less<>> entries;
  std::map<std::string, std::vector<Place>, std::less<>> by_workspace;
  std::unordered_map<std::string, std::vector<Place>> by_key;
  std::map<ModelVersion, std::size_t> model_uses;
  std::vector<Listener> listeners;
};

namespace detail {

/// @brief A path as a server may understand it: without query, decoded, without
/// empty, `.` and `..` segments.
std::string NormalPath(std::string_view path);

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_SERVICE_CATALOG_H_
