#include "relay/sse_event_splitter.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "base/absl_view.h"

namespace meadowthread {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data:";

// Returns the offset just after the blank line that ends the first event; lines
// end in LF or CRLF.
std::size_t EndOfEvent(std::string_view text) {
  for (std::size_t at = text.find('\n'); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at + 1 < text.size() && text[at + 1] == '\n') {
      return at + 2;
    }
    if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

RawSseEvent EventOf(std::string_view event) {
  RawSseEvent read;
  read.bytes = std::string(event);
  std::size_t begin = 0;
  while (begin < event.size()) {
    const std::size_t end = event.find('\n', begin);
    const std::string_view line = event.substr(begin, end - begin);
    if (line.starts_with(kIdField)) {
      const std::string_view value = line.substr(kIdField.size());
      if (!absl::SimpleAtoi(absl::StripAsciiWhitespace(AbslView(value)),
                            &read.id)) {
        read.id = -1;
      }
    }
    read.has_data = read.has_data || line.starts_with(kDataField);
    if (end == std::string_view::npos) {
      break;
    }
    begin = end + 1;
  }
  return read;
}

}  // namespace

bool SseEventSplitter::Feed(std::string_view bytes,
                            std::vector<RawSseEvent>* events) {
  this->rest.append(bytes);
  std::size_t begin = 0;
  const std::string_view all = this->rest;
  for (std::size_t size = EndOfEvent(all); size != std::string_view::npos;
       size = EndOfEvent(all.substr(begin))) {
    events->push_back(EventOf(all.substr(begin, size)));
    begin += size;
  }
  this->rest.erase(0, begin);
  return this->rest.size() <= this->limit_bytes;
}

}  // namespace meadowthread
