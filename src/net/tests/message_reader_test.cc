// Tests that MessageReader gives the same result however the bytes are split
// into reads.
#include "net/message_reader.h"

#include <criterion/criterion.h>

#include <string>

namespace meadowthread {
namespace {

constexpr std::size_t kLimit = 64;

/// @brief The final state after feeding the message in pieces of `step` bytes.
ReadState Read(MessageKind kind, const std::string& text, std::size_t step) {
  MessageReader reader(kind, kLimit);
  ReadState state = ReadState::kMore;
  for (std::size_t at = 0; at < text.size() && state == ReadState::kMore;
       at += step) {
    state = reader.Feed(std::string_view{text}.substr(at, step));
  }
  return state;
}

// Found by fuzzing: bytes after a complete request were taken for an overlong
// chunk header, and a valid request was rejected.
Test(a_whole_request, stands_whatever_follows_it_in_the_same_bytes) {
  const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string both = request + std::string(1'000, 'x');
  cr_assert(Read(MessageKind::kRequest, both, both.size()) ==
            ReadState::kWhole);
  cr_assert(Read(MessageKind::kRequest, both, 1) == ReadState::kWhole);
}

// Found by fuzzing: the limit on trailers applied only if they came in several
// reads.
Test(overlong_trailers, are_refused_in_one_piece_and_in_many) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  for (const std::size_t length : {std::size_t{100}, std::size_t{1'000}}) {
    const std::string answer =
        head + "T: " + std::string(length, 'x') + "\r\n\r\n";
    for (const std::size_t step : {answer.size(), std::size_t{1}}) {
      cr_assert(Read(MessageKind::kResponse, answer, step) ==
                ReadState::kMalformed);
    }
  }
  const std::string proper = head + "T: short\r\n\r\n";
  for (const std::size_t step : {proper.size(), std::size_t{1}}) {
    cr_assert(Read(MessageKind::kResponse, proper, step) == ReadState::kWhole);
  }
}

Test(overlong_extensions_of_a_chunk, are_refused_in_one_piece_and_in_many) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;e=" +
      std::string(100, 'x') + "\r\na\r\n0\r\n\r\n";
  for (const std::size_t step : {answer.size(), std::size_t{1}}) {
    cr_assert(Read(MessageKind::kResponse, answer, step) ==
              ReadState::kMalformed);
  }
}

}  // namespace
}  // namespace meadowthread
