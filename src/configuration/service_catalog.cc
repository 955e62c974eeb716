#include "configuration/service_catalog.h"

#include <QtCore/QByteArray>
#include <QtCore/QUrl>
#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/log_line.h"

namespace meadowthread {
namespace detail {

std::string NormalizePath(std::string_view path) {
  const std::string_view plain = path.substr(0, path.find('?'));
  const QByteArray encoded(plain.data(), static_cast<qsizetype>(plain.size()));
  const std::string decoded =
      QByteArray::fromPercentEncoding(encoded).toStdString();
  std::vector<std::string> kept;
  for (const absl::string_view part :
       absl::StrSplit(decoded, '/', absl::SkipEmpty())) {
    if (part == "..") {
      kept.resize(kept.empty() ? 0 : kept.size() - 1);
    } else if (part != ".") {
      kept.emplace_back(part);
    }
  }
  std::string normal;
  for (const std::string& part : kept) {
    normal += "/" + part;
  }
  return normal.empty() ? "/" : normal;
}

}  // namespace detail
namespace {

// Sorted by template name, so that every host picks the same winner.
template <class ServiceRef>
void Insert(std::vector<ServiceRef>* refs, const ServiceRef& ref) {
  const auto at =
      std::find_if(refs->begin(), refs->end(), [&ref](const ServiceRef& other) {
        return other.document->name > ref.document->name;
      });
  refs->insert(at, ref);
}

template <class Refs, class DocumentPtr>
void Remove(Refs* index, const std::string& key, const DocumentPtr& document) {
  const auto found = index->find(key);
  if (found == index->end()) {
    return;
  }
  std::erase_if(found->second, [&document](const auto& ref) {
    return ref.document == document;
  });
  if (found->second.empty()) {
    index->erase(found);
  }
}

bool Matches(const NonRepeatableCalls& calls, std::string_view service,
             std::string_view method, std::string_view path) {
  const bool is_method = calls.methods.empty() ||
                         std::find(calls.methods.begin(), calls.methods.end(),
                                   method) != calls.methods.end();
  return calls.service == service && is_method &&
         path.starts_with(detail::NormalizePath(calls.path_prefix));
}

std::string Text(std::span<const TemplateProblem> problems) {
  return std::string(TemplateInvalid(problems).message());
}

// A template stored under another template's name would be in force twice, so
// the object's name must match.
ParsedTemplate ParseAs(std::string_view name, const TemplateEntry& entry) {
  ParsedTemplate parsed = ParseTemplate(entry.yaml, entry.version);
  if (parsed.IsValid() && parsed.document.name != name) {
    parsed.problems.push_back(
        {0, "name",
         absl::StrCat("is '", parsed.document.name, "' in the object '",
                      std::string(name), "'")});
  }
  return parsed;
}

}  // namespace

ServiceCatalog::ServiceCatalog(ReplicatedView& view) {
  for (const StoredObject* object : view.Live(kTemplatesKind)) {
    this->Update(*object);
  }
  view.AddListener(
      [this](const ViewChange& change) { this->OnViewChange(change); });
}

void ServiceCatalog::AddListener(const Listener& listener) {
  this->listeners.push_back(listener);
}

std::string_view ServiceCatalog::WorkspaceOfKey(
    std::string_view key_sha256) const {
  const auto found = this->by_key.find(std::string(key_sha256));
  return found == this->by_key.end()
             ? std::string_view()
             : found->second.front().Service().workspace;
}

ServiceCatalog::ServicePtr ServiceCatalog::Find(std::string_view workspace,
                                                std::string_view model) const {
  const auto found = this->by_workspace.find(workspace);
  if (found == this->by_workspace.end()) {
    return nullptr;
  }
  for (const ServiceRef& ref : found->second) {
    for (const ModelVersion& served : ref.Service().models) {
      if (served.model == model) {
        return ServicePtr(ref.document, &ref.Service());
      }
    }
  }
  return nullptr;
}

std::vector<ServiceCatalog::ServicePtr> ServiceCatalog::ServicesOf(
    std::string_view workspace) const {
  std::vector<ServicePtr> services;
  const auto found = this->by_workspace.find(workspace);
  if (found != this->by_workspace.end()) {
    for (const ServiceRef& ref : found->second) {
      services.emplace_back(ref.document, &ref.Service());
    }
  }
  return services;
}

RepeatRule ServiceCatalog::RepeatRuleFor(std::string_view workspace,
                                         std::string_view service,
                                         std::string_view method,
                                         std::string_view path) const {
  // Servers differ in how they interpret unusual spellings of a path. A call
  // that matches no rule here but reaches the marked resource there could be
  // run twice.
  const std::string normal = detail::NormalizePath(path);
  const std::string upper =
      absl::AsciiStrToUpper({method.data(), method.size()});
  for (const ServicePtr& each : this->ServicesOf(workspace)) {
    for (const NonRepeatableCalls& calls : each->not_repeatable.services) {
      if (Matches(calls, service, upper, normal)) {
        return RepeatRule{true, each->not_repeatable.key_form};
      }
    }
  }
  return RepeatRule{};
}

std::vector<std::string> ServiceCatalog::Workspaces() const {
  std::vector<std::string> names;
  for (const auto& [workspace, refs] : this->by_workspace) {
    names.push_back(workspace);
  }
  return names;
}

std::vector<ModelVersion> ServiceCatalog::Models() const {
  std::vector<ModelVersion> models;
  for (const auto& [model, uses] : this->model_uses) {
    models.push_back(model);
  }
  return models;
}

std::vector<TemplateInForce> ServiceCatalog::TemplatesInForce() const {
  std::vector<TemplateInForce> in_force;
  for (const auto& [name, entry] : this->entries) {
    if (entry.document != nullptr) {
      in_force.push_back({name, entry.in_force_version});
    }
  }
  return in_force;
}

std::vector<CatalogProblem> ServiceCatalog::Problems() const {
  std::vector<CatalogProblem> problems;
  for (const auto& [name, entry] : this->entries) {
    if (entry.faulty_version != 0) {
      problems.push_back(
          {name, entry.faulty_version, entry.in_force_version, entry.fault});
    }
  }
  this->AddConflicts(&problems);
  std::stable_sort(problems.begin(), problems.end(),
                   [](const CatalogProblem& left, const CatalogProblem& right) {
                     return left.template_name < right.template_name;
                   });
  return problems;
}

void ServiceCatalog::OnViewChange(const ViewChange& change) {
  if (change.kind != kTemplatesKind) {
    return;
  }
  for (const StoredObject& object : change.items) {
    this->Update(object);
  }
  for (const Listener& listener : this->listeners) {
    listener();
  }
}

void ServiceCatalog::Update(const StoredObject& object) {
  if (object.deleted) {
    const auto found = this->entries.find(object.name);
    if (found != this->entries.end()) {
      this->Unindex(found->second.document);
      this->entries.erase(found);
    }
    return;
  }
  Entry& entry = this->entries[object.name];
  const absl::StatusOr<TemplateObject> read =
      TemplateFromJson(object.value, object.version);
  entry.faulty_version = 0;
  entry.fault.clear();
  if (read.ok()) {
    this->PutInForce(&entry, *read, object.name);
  } else {
    entry.faulty_version = object.version;
    entry.fault = absl::StrCat(read.status().message());
  }
  LogLine line("template");
  line.Add("name", object.name)
      .Add("version", object.version)
      .Add("in_force", entry.in_force_version)
      .Add("fault", entry.fault)
      .Write();
}

void ServiceCatalog::PutInForce(Entry* entry, const TemplateObject& object,
                                std::string_view name) {
  ParsedTemplate parsed = ParseAs(name, object.current);
  std::int64_t version = object.current.version;
  if (!parsed.IsValid()) {
    entry->faulty_version = version;
    entry->fault = Text(parsed.problems);
    // A host that has just started, or missed some versions, falls back to the
    // last valid one in the history, which its peers have in force too.
    for (const TemplateEntry& earlier : object.history) {
      if (parsed.IsValid() || earlier.version <= entry->in_force_version) {
        break;
      }
      parsed = ParseAs(name, earlier);
      version = earlier.version;
    }
  }
  if (!parsed.IsValid()) {
    return;
  }
  this->Unindex(entry->document);
  entry->document =
      std::make_shared<const TemplateDocument>(std::move(parsed.document));
  entry->in_force_version = version;
  this->Index(entry->document);
}

void ServiceCatalog::Index(const DocumentPtr& document) {
  for (std::size_t i = 0; i < document->services.size(); ++i) {
    const ServiceRef ref = {document, i};
    Insert(&this->by_workspace[document->services[i].workspace], ref);
    for (const ModelVersion& model : document->services[i].models) {
      ++this->model_uses[model];
    }
    for (const std::string& key : document->keys[i].key_sha256) {
      Insert(&this->by_key[key], ref);
    }
  }
}

void ServiceCatalog::Unindex(const DocumentPtr& document) {
  if (document == nullptr) {
    return;
  }
  for (std::size_t i = 0; i < document->services.size(); ++i) {
    Remove(&this->by_workspace, document->services[i].workspace, document);
    for (const ModelVersion& model : document->services[i].models) {
      const auto uses = this->model_uses.find(model);
      if (--uses->second == 0) {
        this->model_uses.erase(uses);
      }
    }
    for (const std::string& key : document->keys[i].key_sha256) {
      Remove(&this->by_key, key, document);
    }
  }
}

void ServiceCatalog::AddConflicts(std::vector<CatalogProblem>* problems) const {
  const auto add = [problems](const ServiceRef& loser, const ServiceRef& winner,
                              std::string_view what) {
    const WorkspaceService& service = loser.Service();
    problems->push_back(
        {service.template_name, service.template_version,
         service.template_version,
         absl::StrCat(std::string(what), " of workspace '", service.workspace,
                      "' is taken from template '", winner.document->name,
                      "', whose name sorts first")});
  };
  for (const auto& [workspace, refs] : this->by_workspace) {
    std::map<std::string_view, const ServiceRef*> winners;
    for (const ServiceRef& ref : refs) {
      for (const ModelVersion& model : ref.Service().models) {
        const auto inserted = winners.emplace(model.model, &ref);
        if (!inserted.second) {
          add(ref, *inserted.first->second,
              absl::StrCat("model '", model.model, "'"));
        }
      }
    }
  }
  for (const auto& [key, refs] : this->by_key) {
    for (const ServiceRef& ref : refs) {
      if (ref.Service().workspace != refs.front().Service().workspace) {
        add(ref, refs.front(), "an API key");
      }
    }
  }
}

}  // namespace meadowthread
