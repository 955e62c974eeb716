#include "cli/operator_options.h"

#include <cstdlib>

#include "base/error.h"

namespace meadowthread {
namespace {

constexpr int kDefaultTimeoutMs = 5000;

std::string Environment(const char* name) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? "" : value;
}

std::string WithoutLastSlash(std::string url) {
  if (url.ends_with('/')) {
    url.pop_back();
  }
  return url;
}

absl::Status Missing(std::string_view field, std::string_view message) {
  ErrorDetail detail;
  detail.id = ErrorId::kFieldMissing;
  detail.step = "arguments";
  detail.field = std::string(field);
  return MakeError(absl::StatusCode::kInvalidArgument, detail, message);
}

}  // namespace

PlatformOptions::PlatformOptions(TCLAP::CmdLine& line)
    : object_api("", "object-api",
                 "the object API (default: from --settings, then from the "
                 "environment variable MEADOWTHREAD_OBJECT_API)",
                 false, "", "URL", line),
      host_list("", "host-list",
                "the host list (default: from --settings, then from the "
                "environment variable MEADOWTHREAD_HOST_LIST)",
                false, "", "URL", line),
      settings("", "settings", "a host's settings file, which names both",
               false, "", "FILE", line),
      timeout_ms("", "timeout-ms",
                 "how long to wait for an answer (default: 5000)", false,
                 kDefaultTimeoutMs, "MS", line) {}

absl::StatusOr<PlatformAddress> PlatformOptions::Address() {
  PlatformAddress address;
  address.object_api = this->object_api.getValue();
  address.host_list = this->host_list.getValue();
  address.timeout_ms = this->timeout_ms.getValue();
  if (this->settings.isSet()) {
    const ParsedSettings parsed = LoadSettings(this->settings.getValue());
    if (!parsed.IsValid()) {
      return parsed.Status();
    }
    this->deployment = parsed.settings.half;
    const PlatformSettings& platform = parsed.settings.platform;
    address.object_api =
        address.object_api.empty() ? platform.object_api : address.object_api;
    address.host_list =
        address.host_list.empty() ? platform.host_list : address.host_list;
  }
  if (address.object_api.empty()) {
    address.object_api = Environment("MEADOWTHREAD_OBJECT_API");
  }
  if (address.host_list.empty()) {
    address.host_list = Environment("MEADOWTHREAD_HOST_LIST");
  }
  if (address.object_api.empty()) {
    return Missing("--object-api",
                   "the object API is not given: use --object-api URL, "
                   "--settings FILE or MEADOWTHREAD_OBJECT_API");
  }
  address.object_api = WithoutLastSlash(address.object_api);
  return address;
}

AuthorOption::AuthorOption(TCLAP::CmdLine& line)
    : argument("", "author",
               "who makes the change (default: the environment variable USER)",
               false, "", "NAME", line) {}

absl::StatusOr<std::string> AuthorOption::Author() {
  std::string author = this->argument.getValue();
  if (author.empty()) {
    author = Environment("USER");
  }
  if (author.empty()) {
    return Missing("--author",
                   "the author of the change is not given: use --author NAME");
  }
  return author;
}

}  // namespace meadowthread
