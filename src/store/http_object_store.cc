#include "store/http_object_store.h"

#include <utility>

#include "store/object_responses.h"
#include "store/percent_encoding.h"

namespace meadowthread {
namespace {

std::string ObjectPath(std::string_view kind, std::string_view name) {
  return "/objects/" + PercentEncoded(kind) + "/" + PercentEncoded(name);
}

std::string PeerOf(std::string_view kind, std::string_view name) {
  return std::string(kind) + "/" + std::string(name);
}

HttpHeader Condition(std::int64_t expected_version) {
  if (expected_version == 0) {
    return {"If-None-Match", "*"};
  }
  return {"If-Match", "\"" + std::to_string(expected_version) + "\""};
}

}  // namespace

HttpObjectStore::HttpObjectStore(HttpClient& client,
                                 HttpObjectStoreOptions options)
    : client(client), options(std::move(options)) {}

void HttpObjectStore::Get(std::string_view kind, std::string_view name,
                          const GetDone& done) {
  const HttpRequest request =
      this->ReadRequest(ObjectPath(kind, name), this->options.read_timeout_ms);
  Fetch(this->client, request, kMaxObjectBytes,
        [kind = std::string(kind), name = std::string(name),
         done](const FetchResult& fetched) {
          done(ParseGetResponse(fetched, kind, name));
        });
}

void HttpObjectStore::Put(std::string_view kind, std::string_view name,
                          std::string_view value, std::int64_t expected_version,
                          const PutDone& done) {
  HttpRequest request =
      this->WriteRequest("PUT", ObjectPath(kind, name), expected_version);
  request.headers.push_back({"Content-Type", "application/octet-stream"});
  request.body = std::string(value);
  this->FetchWrite(request, "put", PeerOf(kind, name), done);
}

void HttpObjectStore::Delete(std::string_view kind, std::string_view name,
                             std::int64_t expected_version,
                             const PutDone& done) {
  const HttpRequest request =
      this->WriteRequest("DELETE", ObjectPath(kind, name), expected_version);
  this->FetchWrite(request, "delete", PeerOf(kind, name), done);
}

void HttpObjectStore::List(std::string_view kind, std::int64_t since,
                           const ListDone& done) {
  const std::string path =
      "/objects/" + PercentEncoded(kind) + "?since=" + std::to_string(since);
  this->FetchList(this->ReadRequest(path, this->options.read_timeout_ms),
                  "list", kind, done);
}

void HttpObjectStore::Watch(std::string_view kind, std::int64_t since,
                            std::int64_t wait_ms, const ListDone& done) {
  const std::string path = "/watch/" + PercentEncoded(kind) +
                           "?since=" + std::to_string(since) +
                           "&wait_ms=" + std::to_string(wait_ms);
  const std::int64_t timeout_ms = wait_ms + this->options.watch_margin_ms;
  this->FetchList(this->ReadRequest(path, timeout_ms), "watch", kind, done);
}

HttpRequest HttpObjectStore::ReadRequest(std::string_view path,
                                         std::int64_t timeout_ms) const {
  HttpRequest request;
  request.url = this->options.base_url + std::string(path);
  request.connect_timeout_ms = this->options.connect_timeout_ms;
  request.total_timeout_ms = timeout_ms;
  return request;
}

HttpRequest HttpObjectStore::WriteRequest(std::string_view method,
                                          std::string_view path,
                                          std::int64_t expected_version) const {
  HttpRequest request = this->ReadRequest(path, this->options.write_timeout_ms);
  request.method = std::string(method);
  request.headers.push_back(Condition(expected_version));
  // If the HTTP client resent a write that had taken effect, the second request
  // would find the new version and report a conflict.
  request.send_once = true;
  return request;
}

void HttpObjectStore::FetchList(const HttpRequest& request,
                                std::string_view step, std::string_view kind,
                                const ListDone& done) {
  Fetch(this->client, request, this->options.list_limit_bytes,
        [step = std::string(step), kind = std::string(kind),
         done](const FetchResult& fetched) {
          done(ParseListResponse(fetched, step, kind));
        });
}

void HttpObjectStore::FetchWrite(const HttpRequest& request,
                                 std::string_view step, std::string_view peer,
                                 const PutDone& done) {
  Fetch(this->client, request, kMaxObjectBytes,
        [step = std::string(step), peer = std::string(peer),
         done](const FetchResult& fetched) {
          done(ParseWriteResponse(fetched, step, peer));
        });
}

}  // namespace meadowthread
