#include "net/message_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>
#include <variant>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "net/http_code.h"

namespace meadowthread {
namespace detail {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

/// @brief The parts of a message that the parser has collected.
struct ParsedMessage {
  MessageHead head;
  bool head_done = false;
  std::string body;
  int lengths = 0;    ///< Content-Length headers
  int encodings = 0;  ///< Transfer-Encoding headers
  std::string length;
  std::string encoding;
  std::size_t trailer_bytes = 0;
  std::size_t extension_bytes = 0;  ///< largest size of one chunk's extensions
};

std::string ToString(string_view text) { return {text.data(), text.size()}; }

/// @brief A Boost.Beast parser that collects the parts itself, because Beast's
/// message containers would add trailers to the headers.
template <bool IsRequest>
class CollectingParser final : public http::basic_parser<IsRequest> {
 public:
  explicit CollectingParser(ParsedMessage& parsed) : parsed(parsed) {
    this->eager(true);
    // The size limits are enforced by MessageReader and the connection, which
    // knows the current settings.
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->header_limit(std::numeric_limits<std::uint32_t>::max());
  }

 private:
  void on_request_impl(http::verb /*verb*/, string_view method,
                       string_view target, int version,
                       error_code& /*error*/) override {
    this->parsed.head.method = ToString(method);
    this->parsed.head.target = ToString(target);
    this->parsed.head.version = version;
  }

  void on_response_impl(int code, string_view /*reason*/, int version,
                        error_code& /*error*/) override {
    this->parsed.head.http_status = code;
    this->parsed.head.version = version;
  }

  void on_field_impl(http::field field, string_view name, string_view value,
                     error_code& /*error*/) override {
    if (this->parsed.head_done) {
      this->parsed.trailer_bytes += name.size() + value.size();
      return;
    }
    if (field == http::field::content_length) {
      ++this->parsed.lengths;
      this->parsed.length = ToString(value);
    } else if (field == http::field::transfer_encoding) {
      ++this->parsed.encodings;
      this->parsed.encoding = ToString(value);
    }
    this->parsed.head.headers.push_back({ToString(name), ToString(value)});
  }

  void on_header_impl(error_code& /*error*/) override {
    this->parsed.head_done = true;
  }

  void on_body_init_impl(
      const boost::optional<std::uint64_t>& /*content_length*/,
      error_code& /*error*/) override {}

  std::size_t on_body_impl(string_view body, error_code& /*error*/) override {
    this->parsed.body.append(body.data(), body.size());
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/, string_view extensions,
                            error_code& /*error*/) override {
    this->parsed.extension_bytes =
        std::max(this->parsed.extension_bytes, extensions.size());
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view body,
                                 error_code& /*error*/) override {
    this->parsed.body.append(body.data(), body.size());
    return body.size();
  }

  void on_finish_impl(error_code& /*error*/) override {}

  ParsedMessage& parsed;
};

/// @brief Holds a request or response parser and what it has collected.
class MessageParser {
 public:
  explicit MessageParser(MessageKind kind) {
    if (kind == MessageKind::kRequest) {
      this->parser.emplace<CollectingParser<true>>(this->parsed);
    } else {
      this->parser.emplace<CollectingParser<false>>(this->parsed);
    }
  }

  ParsedMessage& Parsed() { return this->parsed; }

  /// @brief Calls `use` with the active parser.
  template <class Use>
  auto VisitParser(Use use) {
    if (auto* request = std::get_if<CollectingParser<true>>(&this->parser)) {
      return use(*request);
    }
    return use(std::get<CollectingParser<false>>(this->parser));
  }

 private:
  ParsedMessage parsed;
  std::variant<std::monostate, CollectingParser<true>, CollectingParser<false>>
      parser;
};

}  // namespace detail

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Limit on the bytes of a message that the parser has not consumed, as a
// multiple of the head limit. Well above what the limits on extensions and
// trailers allow.
constexpr std::size_t kMaxPendingHeads = 4;
// Memory for unconsumed bytes that is kept between messages.
constexpr std::size_t kMaxKeptBytes = std::size_t{4} * 1024;

// Rejects bytes that HTTP implementations read differently: some accept a bare
// line feed as the end of a line, and some join a line that begins with a blank
// to the one before it.
std::string_view HeadProblem(std::string_view head) {
  for (std::size_t at = 0; at < head.size(); ++at) {
    const char byte = head[at];
    const bool after_return = at > 0 && head[at - 1] == '\r';
    if (byte == '\n' && !after_return) {
      return "a line feed without a carriage return";
    }
    if (byte != '\n' && after_return) {
      return "a carriage return without a line feed";
    }
    const bool begins_line = at > 0 && head[at - 1] == '\n';
    if (begins_line && (byte == ' ' || byte == '\t')) {
      return "a folded header line";
    }
    if (byte == '\0') {
      return "a zero byte";
    }
  }
  return {};
}

// No request asks for another protocol, so that no peer may switch to one.
bool IsStatusAllowed(int http_status) {
  return http_status >= http_code::kMin && http_status <= http_code::kMax &&
         http_status != http_code::kSwitchingProtocols;
}

bool IsPlainNumber(std::string_view text) {
  constexpr std::size_t kMaxDigits = 15;
  return !text.empty() && text.size() <= kMaxDigits &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

}  // namespace

MessageReader::MessageReader(MessageKind kind, std::size_t head_limit)
    : kind(kind),
      head_limit(head_limit),
      parser(std::make_unique<detail::MessageParser>(kind)) {}

MessageReader::~MessageReader() = default;

ReadState MessageReader::Feed(std::string_view bytes) {
  this->pending.append(bytes);
  return this->Parse();
}

ReadState MessageReader::Parse() {
  if (this->state != ReadState::kMore) {
    return this->state;
  }
  detail::ParsedMessage& got = this->parser->Parsed();
  if (!got.head_done) {
    this->state = this->CheckHeadBytes();
    if (this->state != ReadState::kMore ||
        this->pending.find(kHeadEnd) == std::string::npos) {
      return this->state;
    }
  }
  const bool had_head = got.head_done;
  detail::error_code error;
  const std::size_t taken = this->parser->VisitParser([&](auto& in_use) {
    return in_use.put(
        boost::asio::buffer(this->pending.data(), this->pending.size()), error);
  });
  this->pending.erase(0, taken);
  if (error && error != detail::http::error::need_more) {
    return this->Malformed(error.message());
  }
  if (got.head_done && !had_head) {
    this->state = this->CheckFraming();
  }
  // Checked here so that the limits don't depend on how the bytes were split
  // into reads.
  if (got.trailer_bytes > this->head_limit ||
      got.extension_bytes > this->head_limit) {
    return this->Malformed("chunk extensions or trailers are too long");
  }
  const bool done =
      this->parser->VisitParser([](auto& in_use) { return in_use.is_done(); });
  // In an incomplete message the unconsumed bytes are the start of a chunk's
  // size line or of the trailers. After a complete one they belong to the next
  // message.
  if (this->state == ReadState::kMore && !done &&
      this->pending.size() > kMaxPendingHeads * this->head_limit) {
    return this->Malformed("chunk extensions or trailers are too long");
  }
  if (this->state == ReadState::kMore && done) {
    this->state = ReadState::kWhole;
  }
  return this->state;
}

ReadState MessageReader::CheckHeadBytes() {
  // Clients may send an empty line before a request (RFC 9112, section 2.2).
  while (this->kind == MessageKind::kRequest &&
         this->pending.starts_with("\r\n")) {
    this->pending.erase(0, 2);
  }
  const std::size_t end = this->pending.find(kHeadEnd);
  const std::size_t size =
      end == std::string::npos ? this->pending.size() : end + kHeadEnd.size();
  if (size > this->head_limit) {
    this->problem = "the head is longer than its limit";
    return ReadState::kHeadTooLarge;
  }
  const std::string_view head{this->pending.data(), size};
  const std::string_view found = HeadProblem(head);
  return found.empty() ? ReadState::kMore : this->Malformed(found);
}

// With both Content-Length and Transfer-Encoding, or either of them twice, two
// implementations could disagree on where the message ends.
ReadState MessageReader::CheckFraming() {
  detail::ParsedMessage& got = this->parser->Parsed();
  MessageHead& head = got.head;
  if (this->kind == MessageKind::kResponse &&
      !IsStatusAllowed(head.http_status)) {
    return this->Malformed("a status that is none of an answer");
  }
  if (got.lengths > 1 || got.encodings > 1 ||
      (got.lengths > 0 && got.encodings > 0)) {
    return this->Malformed("more than one Content-Length or Transfer-Encoding");
  }
  // Boost.Beast would also accept a list of equal lengths.
  if (got.lengths > 0 && !IsPlainNumber(got.length)) {
    return this->Malformed("Content-Length is not a plain decimal number");
  }
  const bool chunked = absl::EqualsIgnoreCase(got.encoding, "chunked");
  if (got.encodings > 0 && (!chunked || head.version < 11)) {
    return this->Malformed("an unknown transfer encoding");
  }
  head.chunked = chunked;
  this->parser->VisitParser([&](auto& in_use) {
    head.keep_alive = in_use.keep_alive();
    head.until_close = in_use.need_eof();
    const auto length = in_use.content_length();
    if (got.lengths > 0 && length.has_value()) {
      head.content_length = *length;
    }
  });
  return this->state;
}

ReadState MessageReader::FeedEnd() {
  if (this->state != ReadState::kMore || !this->parser->Parsed().head_done) {
    return this->state;
  }
  detail::error_code error;
  this->parser->VisitParser([&](auto& in_use) { in_use.put_eof(error); });
  if (error) {
    return this->Malformed(error.message());
  }
  this->state = ReadState::kWhole;
  return this->state;
}

ReadState MessageReader::Malformed(std::string_view what) {
  this->problem = std::string(what);
  this->state = ReadState::kMalformed;
  return this->state;
}

const MessageHead* MessageReader::Head() const {
  const detail::ParsedMessage& got = this->parser->Parsed();
  return got.head_done ? &got.head : nullptr;
}

std::string MessageReader::TakeBody() {
  return std::exchange(this->parser->Parsed().body, {});
}

void MessageReader::ExpectNoBody(bool never_comes) {
  this->no_body = never_comes;
  this->Next();
}

std::size_t MessageReader::RestBytes() const {
  return this->state == ReadState::kWhole ? this->pending.size() : 0;
}

// An idle connection would otherwise keep the memory of its longest read.
void MessageReader::FreePending() {
  if (this->pending.empty() && this->pending.capacity() > kMaxKeptBytes) {
    this->pending = std::string();
  }
}

ReadState MessageReader::Next() {
  this->parser = std::make_unique<detail::MessageParser>(this->kind);
  if (this->no_body) {
    this->parser->VisitParser([](auto& in_use) { in_use.skip(true); });
  }
  this->state = ReadState::kMore;
  this->problem.clear();
  this->FreePending();
  return this->pending.empty() ? this->state : this->Parse();
}

}  // namespace meadowthread
