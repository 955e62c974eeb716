#include "placement/drain_tracker.h"

#include <limits>

#include "base/json_fields.h"
#include "nlohmann/json.hpp"
#include "placement/json_field_reader.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::string_view kStep = "ownership.drain-report";
constexpr std::int64_t kMaxValue = std::numeric_limits<std::int64_t>::max();

absl::StatusOr<DrainConfirmation> ReadConfirmation(const json& item) {
  detail::JsonFieldReader reader(item, kStep);
  DrainConfirmation confirmation;
  confirmation.object = reader.String("object");
  confirmation.version = reader.Int("version", 1, kMaxValue);
  if (!reader.Status().ok()) {
    return reader.Status();
  }
  return confirmation;
}

}  // namespace

std::string EncodeDrainReport(const DrainReport& report) {
  json drained = json::array();
  for (const DrainConfirmation& one : report.drained) {
    drained.push_back({{"object", one.object}, {"version", one.version}});
  }
  const json value = {{"half", report.deployment}, {"drained", drained}};
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<DrainReport> ParseDrainReport(std::string_view status_text) {
  const absl::StatusOr<json> object = ParseObject(status_text, kStep, "status");
  if (!object.ok()) {
    return object.status();
  }
  const auto part = object->find("ownership");
  if (part == object->end()) {
    return detail::InvalidFieldError(kStep, "ownership", "is missing");
  }
  detail::JsonFieldReader reader(*part, kStep);
  DrainReport report;
  report.deployment = reader.String("half");
  if (!reader.Status().ok()) {
    return reader.Status();
  }
  const auto drained = part->find("drained");
  if (drained == part->end() || !drained->is_array()) {
    return detail::InvalidFieldError(kStep, "drained", "is not a list");
  }
  for (const json& item : *drained) {
    const absl::StatusOr<DrainConfirmation> one = ReadConfirmation(item);
    if (!one.ok()) {
      return one.status();
    }
    report.drained.push_back(*one);
  }
  return report;
}

absl::Status DrainTracker::Begin(const OwnedId& id) {
  absl::Status status = this->view.MayStart(id);
  if (status.ok()) {
    ++this->in_flight[id];
  }
  return status;
}

void DrainTracker::End(const OwnedId& id) {
  const auto found = this->in_flight.find(id);
  if (found == this->in_flight.end()) {
    return;
  }
  --found->second;
  if (found->second == 0) {
    this->in_flight.erase(found);
  }
}

DrainReport DrainTracker::Report() const {
  DrainReport report;
  report.deployment = this->view.Settings().deployment;
  for (const DrainingObject& one : this->view.Draining()) {
    if (!this->in_flight.contains(one.id)) {
      report.drained.push_back({OwnershipObjectName(one.id), one.version});
    }
  }
  return report;
}

}  // namespace meadowthread
