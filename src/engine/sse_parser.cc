#include "engine/sse_parser.h"

namespace meadowthread {
namespace {

std::string_view FieldValue(std::string_view line, std::size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return value;
}

}  // namespace

bool SseParser::Feed(std::string_view bytes, SseSink& sink) {
  // Only lines split over several calls are copied into `partial`.
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      this->partial.append(bytes);
      break;
    }
    const std::string_view piece = bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    if (this->partial.empty()) {
      this->ParseLine(piece, sink);
    } else {
      this->partial.append(piece);
      const std::string line = std::move(this->partial);
      this->partial.clear();
      this->ParseLine(line, sink);
    }
    if (this->event.data.size() > this->limit_bytes) {
      return false;
    }
  }
  return this->partial.size() <= this->limit_bytes;
}

void SseParser::ParseLine(std::string_view line, SseSink& sink) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (this->has_data) {
      sink.OnSseEvent(this->event);
    }
    this->event.name.clear();
    this->event.data.clear();
    this->has_data = false;
    return;
  }
  const std::size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return;
  }
  const std::string_view field = line.substr(0, colon);
  if (field == "event") {
    this->event.name = FieldValue(line, colon);
  } else if (field == "data") {
    if (this->has_data) {
      this->event.data.push_back('\n');
    }
    this->event.data.append(FieldValue(line, colon));
    this->has_data = true;
  }
}

}  // namespace meadowthread
