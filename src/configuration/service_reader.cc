#include "configuration/service_reader.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "configuration/template_document.h"

namespace meadowthread {
namespace detail {

bool IsModelName(std::string_view text) {
  constexpr std::size_t kMaxLength = 128;
  constexpr std::string_view kPunctuation = "._:/-";
  if (text.empty() || text.size() > kMaxLength) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), [&](unsigned char letter) {
    return absl::ascii_isalnum(letter) ||
           kPunctuation.find(static_cast<char>(letter)) !=
               std::string_view::npos;
  });
}

}  // namespace detail
namespace {

constexpr std::array<std::string_view, 3> kUrgencyNames = {"urgent", "normal",
                                                           "batch"};
constexpr std::array<std::string_view, 2> kDeliveryNames = {"streamed",
                                                            "whole"};
constexpr std::array<std::string_view, 3> kClaimNames = {"none", "keyed",
                                                         "all"};
constexpr std::array<std::string_view, 2> kKeyFormNames = {"timed", "opaque"};
constexpr std::array<std::string_view, 3> kModelFields = {"model", "adapter",
                                                          "version"};
constexpr std::array<std::string_view, 3> kNotRepeatableFields = {
    "requests", "services", "key_form"};
constexpr std::array<std::string_view, 3> kServiceFields = {
    "service", "methods", "path_prefix"};
constexpr std::array<std::string_view, 7> kLimitFields = {
    "requests_per_second", "tokens_per_second", "concurrent",
    "max_output_tokens",   "max_prompt_tokens", "queue_ms",
    "deadline_ms"};
constexpr double kMaxRate = 1e9;
constexpr std::int64_t kMaxCount = 1'000'000'000;

// `words` must be in the order of the enumerators.
template <class Enum>
void ReadEnum(YamlReader& reader, const YamlField& field,
              std::span<const std::string_view> words, Enum* value) {
  const std::optional<std::size_t> index = reader.OneOf(field, words);
  if (index.has_value()) {
    *value = static_cast<Enum>(*index);
  }
}

void ReadModelName(YamlReader& reader, const YamlField& field,
                   bool may_be_empty, std::string* value) {
  const std::optional<std::string> text = reader.Text(field);
  if (!text.has_value() || (may_be_empty && text->empty())) {
    return;
  }
  if (!detail::IsModelName(*text)) {
    reader.Report(field,
                  absl::StrCat("'", *text,
                               "' may hold only letters, digits and . _ : / -, "
                               "1 to 128 of them"));
    return;
  }
  *value = *text;
}

ModelVersion ReadModel(YamlReader& reader, const YamlField& field) {
  ModelVersion model;
  if (!reader.CheckMap(field, kModelFields)) {
    return model;
  }
  ReadModelName(reader, reader.RequiredMember(field, "model"), false,
                &model.model);
  ReadModelName(reader, reader.Member(field, "adapter"), true, &model.adapter);
  ReadModelName(reader, reader.RequiredMember(field, "version"), false,
                &model.version);
  return model;
}

std::vector<ModelVersion> ReadModels(YamlReader& reader,
                                     const YamlField& root) {
  std::vector<ModelVersion> models;
  std::set<std::string> seen;
  const YamlField list = reader.RequiredMember(root, "models");
  for (const YamlField& item : reader.Items(list)) {
    const ModelVersion model = ReadModel(reader, item);
    // Callers select by model name only, so each model may be listed once.
    if (!model.model.empty() && !seen.insert(model.model).second) {
      reader.ReportUnconditionally(
          reader.Member(item, "model"),
          absl::StrCat("'", model.model, "' is given twice"));
    }
    models.push_back(model);
  }
  return models;
}

std::vector<std::string> ReadMethods(YamlReader& reader,
                                     const YamlField& field) {
  constexpr std::size_t kMaxMethodLength = 16;
  std::vector<std::string> methods;
  for (const YamlField& item : reader.Items(field)) {
    const std::optional<std::string> method = reader.Text(item);
    if (!method.has_value()) {
      continue;
    }
    const bool is_method =
        !method->empty() && method->size() <= kMaxMethodLength &&
        std::all_of(method->begin(), method->end(), [](unsigned char letter) {
          return absl::ascii_isupper(letter);
        });
    if (!is_method) {
      reader.Report(item, absl::StrCat("'", *method,
                                       "' is not an HTTP method such as POST"));
    }
    methods.push_back(*method);
  }
  return methods;
}

NonRepeatableCalls ReadCalls(YamlReader& reader, const YamlField& field) {
  NonRepeatableCalls calls;
  if (!reader.CheckMap(field, kServiceFields)) {
    return calls;
  }
  const YamlField service = reader.RequiredMember(field, "service");
  calls.service = reader.Text(service).value_or("");
  if (!calls.service.empty() && !IsName(calls.service)) {
    reader.Report(service, absl::StrCat("'", calls.service,
                                        "' is not a valid service name"));
  }
  calls.methods = ReadMethods(reader, reader.Member(field, "methods"));
  const YamlField prefix = reader.Member(field, "path_prefix");
  calls.path_prefix = reader.Text(prefix).value_or(calls.path_prefix);
  if (!calls.path_prefix.starts_with('/')) {
    reader.Report(prefix, "does not start with '/'");
  }
  return calls;
}

NonRepeatableRequests ReadNotRepeatable(YamlReader& reader,
                                        const YamlField& field) {
  NonRepeatableRequests rules;
  if (!field.IsPresent() || !reader.CheckMap(field, kNotRepeatableFields)) {
    return rules;
  }
  ReadEnum(reader, reader.Member(field, "requests"), kClaimNames,
           &rules.requests);
  ReadEnum(reader, reader.Member(field, "key_form"), kKeyFormNames,
           &rules.key_form);
  for (const YamlField& item : reader.Items(reader.Member(field, "services"))) {
    rules.services.push_back(ReadCalls(reader, item));
  }
  return rules;
}

ServiceLimits ReadLimits(YamlReader& reader, const YamlField& field) {
  ServiceLimits limits;
  if (!field.IsPresent() || !reader.CheckMap(field, kLimitFields)) {
    return limits;
  }
  const auto rate = [&](std::string_view name) {
    return reader.Number(reader.Member(field, name), 0, kMaxRate).value_or(0);
  };
  const auto count = [&](std::string_view name) {
    return reader.Integer(reader.Member(field, name), 0, kMaxCount).value_or(0);
  };
  limits.requests_per_second = rate("requests_per_second");
  limits.tokens_per_second = rate("tokens_per_second");
  limits.concurrent = count("concurrent");
  limits.max_output_tokens = count("max_output_tokens");
  limits.max_prompt_tokens = count("max_prompt_tokens");
  limits.queue_ms = count("queue_ms");
  limits.deadline_ms = count("deadline_ms");
  return limits;
}

}  // namespace

WorkspaceService ReadService(YamlReader& reader, const YamlField& root) {
  WorkspaceService service;
  service.models = ReadModels(reader, root);
  ReadEnum(reader, reader.Member(root, "urgency"), kUrgencyNames,
           &service.urgency);
  ReadEnum(reader, reader.Member(root, "delivery"), kDeliveryNames,
           &service.delivery);
  service.not_repeatable =
      ReadNotRepeatable(reader, reader.Member(root, "not_repeatable"));
  service.limits = ReadLimits(reader, reader.Member(root, "limits"));
  return service;
}

}  // namespace meadowthread
