#ifndef MEADOWTHREAD_STANDINS_ENGINE_PROMPT_H_
#define MEADOWTHREAD_STANDINS_ENGINE_PROMPT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "engine/generation.h"

namespace meadowthread::standins {

/// @brief Fixes a generation's output by its prompt: `[tokens=N]` fixes the
/// length, `[echo-generation]` puts the generation's id into each token,
/// `[ends-engine]` ends the engine that begins it.
/// @param[in] max_tokens 0: no limit
void ApplyPrompt(std::string_view prompt, std::int64_t max_tokens,
                 GenerationSpec* spec);

/// @brief Appends the token at an index, `w<index> `.
void AppendToken(const Generation& generation, std::int64_t index,
                 std::string* out);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_PROMPT_H_
