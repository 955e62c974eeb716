#include "configuration/operator_change.h"

#include <array>
#include <memory>
#include <utility>

#include "configuration/conditional_change.h"
#include "configuration/mark_edit.h"
#include "configuration/template_document.h"
#include "configuration/template_edit.h"

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 6> kOutcomeNames = {
    "accepted", "unchanged", "conflict", "invalid", "not_applied", "unknown"};

ChangeResult InvalidResult(std::vector<TemplateProblem> problems) {
  ChangeResult result;
  result.outcome = ChangeOutcome::kInvalid;
  result.message = "rejected: nothing was written";
  result.problems = std::move(problems);
  return result;
}

}  // namespace

std::string_view ChangeOutcomeName(ChangeOutcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

OperatorChanges::OperatorChanges(ObjectStore& store, Scheduler& scheduler,
                                 const ChangeOptions& options)
    : store(store), scheduler(scheduler), options(options) {}

void OperatorChanges::PutTemplate(const TemplateChange& change,
                                  const ChangeDone& done) {
  ParsedTemplate parsed = ParseTemplate(change.yaml, 0);
  if (!parsed.IsValid()) {
    done(InvalidResult(std::move(parsed.problems)));
    return;
  }
  TemplateEntry entry;
  entry.operation = change.operation;
  entry.author = change.author;
  entry.unix_ms = change.unix_ms;
  entry.yaml = change.yaml;
  const auto conditional = std::make_shared<ConditionalChange>(
      this->store, this->scheduler, this->options,
      std::make_unique<TemplateEdit>(parsed.document.name, entry), done);
  conditional->Start(change.base_version);
}

void OperatorChanges::PutMark(const MarkDocument& mark,
                              const ChangeDone& done) {
  const auto conditional = std::make_shared<ConditionalChange>(
      this->store, this->scheduler, this->options,
      std::make_unique<MarkEdit>(mark), done);
  conditional->Start(std::nullopt);
}

void OperatorChanges::PutZone(const MarkDocument& mark,
                              const ChangeDone& done) {
  const auto conditional = std::make_shared<ConditionalChange>(
      this->store, this->scheduler, this->options,
      std::make_unique<MarkEdit>(mark, kEmptiedZonesKind), done);
  conditional->Start(std::nullopt);
}

}  // namespace meadowthread
