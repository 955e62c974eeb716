#ifndef MEADOWTHREAD_STANDINS_ENGINE_PROMPT_H_
#define MEADOWTHREAD_STANDINS_ENGINE_PROMPT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "engine/generation.h"

namespace meadowthread::standins {

/// @brief Derives a generation's parameters from its prompt: `[tokens=N]` sets
/// the output length, `[echo-generation]` puts the generation's id into each
/// token, `[ends-engine]` crashes the engine that starts it. Without
/// `[tokens=N]` the length depends on the prompt's hash.
/// @param[in] max_tokens 0: no limit
void ApplyPrompt(std::string_view prompt, std::int64_t max_tokens,
                 GenerationSpec* spec);

/// @brief Appends the text of the token at `index`: `w<index> `, or
/// `w<index>@<generation id> ` if the generation echoes its id.
void AppendToken(const Generation& generation, std::int64_t index,
                 std::string* out);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_PROMPT_H_
