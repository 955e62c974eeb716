// Streams of events: cut without changing a byte, however the bytes arrive.
#include <string>
#include <vector>

#include "engine/sse_parser.h"
#include "fuzz/fuzz_input.h"
#include "relay/sse_event_splitter.h"

namespace meadowthread {
namespace {

constexpr std::size_t kEventLimit = 64;

struct Cut {
  bool fits = true;
  std::vector<RawSseEvent> events;
  std::string rest;
};

Cut CutAll(std::string_view text, std::size_t step) {
  Cut cut;
  SseEventSplitter cutter(kEventLimit);
  for (std::size_t at = 0; cut.fits && at < text.size(); at += step) {
    cut.fits = cutter.Feed(text.substr(at, step), &cut.events);
  }
  cut.rest = cutter.Rest();
  return cut;
}

std::string Joined(const Cut& cut) {
  std::string joined;
  for (const RawSseEvent& event : cut.events) {
    joined += event.bytes;
  }
  return joined + cut.rest;
}

class Nothing final : public SseSink {
 public:
  void OnSseEvent(const SseEvent&) override {}
};

}  // namespace
}  // namespace meadowthread

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using meadowthread::CutAll;
  using meadowthread::fuzz::Require;
  const std::string_view text = meadowthread::fuzz::TextOf(data, size);
  const auto whole = CutAll(text, size + 1);
  const auto pieces = CutAll(text, 1);
  if (whole.fits && pieces.fits) {
    Require(Joined(whole) == text && Joined(pieces) == text,
            "cutting changed a byte");
    Require(whole.events.size() == pieces.events.size(),
            "pieces are cut otherwise than the whole");
  }
  meadowthread::Nothing nothing;
  meadowthread::SseParser parser(meadowthread::kEventLimit);
  parser.Feed(text, nothing);
  return 0;
}
