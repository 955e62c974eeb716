#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_WIRE_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_WIRE_H_

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "engine/generation.h"
#include "engine/order_book.h"
#include "engine/prefix_cache.h"
#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief Reads the body of a start; none where a field is missing or wrong.
std::optional<GenerationSpec> ParseStart(std::string_view body);

/// @brief Reads an order; none where it is malformed.
std::optional<Order> ParseOrder(std::string_view body);

/// @brief Reads `model[/adapter[/version]],...` from the command line.
std::vector<ModelRef> ParseModels(std::string_view text);

/// @brief Models as the interface shows them.
nlohmann::json ModelsJson(std::span<const ModelRef> models);

/// @brief Cache events as the interface shows them.
nlohmann::json CacheEventsJson(std::span<const CacheEvent> events);

/// @brief The answer's name in the record.
std::string_view OrderAnswerName(OrderAnswer answer);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_WIRE_H_
