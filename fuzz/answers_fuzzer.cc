// Fuzzes the parser of HTTP responses: the result must not depend on how the
// bytes are split, and a truncated response must never count as complete.
#include <string>

#include "fuzz/fuzz_input.h"
#include "net/message_reader.h"

namespace meadowthread {
namespace {

constexpr std::size_t kHeadLimit = 512;

struct ParseResult {
  ReadState state = ReadState::kMore;
  int http_status = 0;
  std::string body;
};

ParseResult Read(std::string_view text, std::size_t step) {
  MessageReader reader(MessageKind::kResponse, kHeadLimit);
  reader.ExpectNoBody(false);
  ParseResult reading;
  for (std::size_t at = 0; at < text.size(); at += step) {
    reading.state = reader.Feed(text.substr(at, step));
    reading.body += reader.TakeBody();
    if (reading.state != ReadState::kMore) {
      break;
    }
  }
  if (reading.state == ReadState::kMore) {
    const bool until_close =
        reader.Head() != nullptr && reader.Head()->until_close;
    reading.state = reader.FeedEnd();
    reading.body += reader.TakeBody();
    fuzz::Require(reading.state != ReadState::kWhole || until_close,
                  "a truncated response counts as complete");
  }
  if (reader.Head() != nullptr) {
    reading.http_status = reader.Head()->http_status;
  }
  return reading;
}

}  // namespace
}  // namespace meadowthread

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using meadowthread::Read;
  const std::string_view text = meadowthread::fuzz::TextOf(data, size);
  const auto whole = Read(text, size + 1);
  const auto pieces = Read(text, 1);
  const bool both = whole.state == meadowthread::ReadState::kWhole &&
                    pieces.state == meadowthread::ReadState::kWhole;
  meadowthread::fuzz::Require(
      (whole.state == meadowthread::ReadState::kWhole) ==
          (pieces.state == meadowthread::ReadState::kWhole),
      "whether the response is complete depends on the split");
  meadowthread::fuzz::Require(
      !both || (whole.http_status == pieces.http_status &&
                whole.body == pieces.body),
      "the parsed response depends on the split");
  return 0;
}
