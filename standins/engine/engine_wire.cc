#include "engine/engine_wire.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "engine/prompt.h"

namespace meadowthread::standins {
namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultOrphanTimeoutMs = 30'000;

ModelRef ParseModel(const json& source) {
  return {source.value("model", ""), source.value("adapter", ""),
          source.value("version", "")};
}

GenerationSpec ParseSpec(const json& body) {
  GenerationSpec spec;
  spec.request = body.at("request").get<std::string>();
  spec.workspace = body.value("workspace", "");
  spec.model = ParseModel(body);
  spec.priority = body.value("priority", std::int64_t{0});
  spec.deadline_ms = body.value("deadline_unix_ms", std::int64_t{0});
  spec.orphan_timeout_ms =
      body.value("orphan_timeout_ms", kDefaultOrphanTimeoutMs);
  if (spec.orphan_timeout_ms <= 0) {
    spec.orphan_timeout_ms = kDefaultOrphanTimeoutMs;
  }
  const std::int64_t max_tokens = body.value("max_tokens", std::int64_t{0});
  ApplyPrompt(body.at("prompt").get<std::string>(), max_tokens, &spec);
  return spec;
}

Order ParseOrderBody(const json& body) {
  Order order;
  order.holder = body.at("holder").get<std::string>();
  order.fence = body.at("fence").get<std::int64_t>();
  order.deadline_ms = body.value("deadline_unix_ms", std::int64_t{0});
  const json& desired = body.at("desired");
  order.role = desired.value("role", "");
  for (const json& model : desired.at("models")) {
    order.models.push_back(ParseModel(model));
  }
  return order;
}

}  // namespace

std::optional<GenerationSpec> ParseStart(std::string_view body) {
  try {
    return ParseSpec(json::parse(body));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<Order> ParseOrder(std::string_view body) {
  try {
    return ParseOrderBody(json::parse(body));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::vector<ModelRef> ParseModels(std::string_view text) {
  std::vector<ModelRef> models;
  const std::vector<std::string> names =
      absl::StrSplit(std::string(text), ',', absl::SkipEmpty());
  for (const std::string& name : names) {
    std::vector<std::string> parts = absl::StrSplit(name, '/');
    parts.resize(3);
    models.push_back({parts[0], parts[1], parts[2]});
  }
  return models;
}

json ModelsJson(std::span<const ModelRef> models) {
  json list = json::array();
  for (const ModelRef& model : models) {
    list.push_back({{"model", model.model},
                    {"adapter", model.adapter},
                    {"version", model.version}});
  }
  return list;
}

json CacheEventsJson(std::span<const CacheEvent> events) {
  json list = json::array();
  for (const CacheEvent& event : events) {
    const bool stored = event.kind == CacheEventKind::kStored;
    list.push_back(
        {{"seq", event.seq},
         {"kind", stored ? "stored" : "evicted"},
         {"prefix", absl::StrCat(absl::Hex(event.prefix, absl::kZeroPad16))}});
  }
  return {{"events", std::move(list)}};
}

std::string_view OrderAnswerName(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kApplied:
      return "applied";
    case OrderAnswer::kStaleFence:
      return "stale_fence";
    case OrderAnswer::kDeadlinePassed:
      return "deadline_passed";
  }
  return "unknown";
}

}  // namespace meadowthread::standins
