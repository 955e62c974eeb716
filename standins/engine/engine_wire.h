#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_WIRE_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_WIRE_H_

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "engine/generation.h"
#include "engine/order_log.h"
#include "engine/prefix_cache.h"
#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief Parses the body of a start request; none if a field is missing or
/// invalid.
std::optional<GenerationSpec> ParseStart(std::string_view body);

/// @brief Parses an order; none if it is malformed.
std::optional<Order> ParseOrder(std::string_view body);

/// @brief Parses the command-line value `model[/adapter[/version]],...`.
std::vector<ModelRef> ParseModels(std::string_view text);

/// @brief The JSON form of a list of models.
nlohmann::json ModelsJson(std::span<const ModelRef> models);

/// @brief The JSON form of a list of cache events.
nlohmann::json CacheEventsJson(std::span<const CacheEvent> events);

/// @brief The name under which the record shows an answer.
std::string_view OrderAnswerName(OrderAnswer answer);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_WIRE_H_
