// What servers answer: the same answer is read however its bytes arrive, and an
// answer that ends early never looks whole.
#include <string>

#include "fuzz/fuzz_input.h"
#include "net/message_reader.h"

namespace meadowthread {
namespace {

constexpr std::size_t kHeadLimit = 512;

struct Reading {
  ReadState state = ReadState::kMore;
  int http_status = 0;
  std::string body;
};

Reading Read(std::string_view text, std::size_t step) {
  MessageReader reader(MessageKind::kAnswer, kHeadLimit);
  reader.ExpectNoBody(false);
  Reading reading;
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
                  "an answer that ended early looks whole");
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
      "pieces are whole where the whole is not");
  meadowthread::fuzz::Require(
      !both || (whole.http_status == pieces.http_status &&
                whole.body == pieces.body),
      "pieces are read otherwise than the whole");
  return 0;
}
