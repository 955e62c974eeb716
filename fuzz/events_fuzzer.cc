// Fuzzes the splitter and the parser of server-sent events: splitting must
// preserve every byte and not depend on how the bytes arrive.
#include <string>
#include <vector>

#include "engine/sse_parser.h"
#include "fuzz/fuzz_input.h"
#include "relay/sse_event_splitter.h"

namespace meadowthread {
namespace {

constexpr std::size_t kEventLimit = 64;

struct SplitResult {
  bool fits = true;
  std::vector<RawSseEvent> events;
  std::string rest;
};

SplitResult SplitEvents(std::string_view text, std::size_t step) {
  SplitResult split;
  SseEventSplitter splitter(kEventLimit);
  for (std::size_t at = 0; split.fits && at < text.size(); at += step) {
    split.fits = splitter.Feed(text.substr(at, step), &split.events);
  }
  split.rest = splitter.Rest();
  return split;
}

std::string Joined(const SplitResult& split) {
  std::string joined;
  for (const RawSseEvent& event : split.events) {
    joined += event.bytes;
  }
  return joined + split.rest;
}

class DiscardingSink final : public SseSink {
 public:
  void OnSseEvent(const SseEvent&) override {}
};

}  // namespace
}  // namespace meadowthread

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using meadowthread::SplitEvents;
  using meadowthread::fuzz::Require;
  const std::string_view text = meadowthread::fuzz::TextOf(data, size);
  const auto whole = SplitEvents(text, size + 1);
  const auto pieces = SplitEvents(text, 1);
  if (whole.fits && pieces.fits) {
    Require(Joined(whole) == text && Joined(pieces) == text,
            "splitting into events changed a byte");
    Require(whole.events.size() == pieces.events.size(),
            "the number of events depends on how the bytes arrive");
  }
  meadowthread::DiscardingSink sink;
  meadowthread::SseParser parser(meadowthread::kEventLimit);
  parser.Feed(text, sink);
  return 0;
}
