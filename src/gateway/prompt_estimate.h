#ifndef MEADOWTHREAD_GATEWAY_PROMPT_ESTIMATE_H_
#define MEADOWTHREAD_GATEWAY_PROMPT_ESTIMATE_H_

#include <cstdint>
#include <string_view>

namespace meadowthread {

/// @brief Estimates the number of tokens of a prompt from its length. Only
/// engines have a tokenizer.
std::int64_t EstimateTokens(std::string_view prompt);

/// @brief Hash of the prompt's prefix, by which engines report prompts in their
/// KV cache (docs/INTERFACES.md, cache events).
std::uint64_t PrefixHash(std::string_view prompt);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_PROMPT_ESTIMATE_H_
