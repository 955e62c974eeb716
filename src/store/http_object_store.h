#ifndef MEADOWTHREAD_STORE_HTTP_OBJECT_STORE_H_
#define MEADOWTHREAD_STORE_HTTP_OBJECT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/http_client.h"
#include "store/object_store.h"

namespace meadowthread {

/// @brief Largest value that the object API accepts, in bytes; callers check it
/// before they write.
inline constexpr std::size_t kMaxObjectBytes = std::size_t{1024} * 1024;

/// @brief Address of the object API, and timeouts and size limits of its calls.
struct HttpObjectStoreOptions {
  std::string
      base_url;  ///< such as http://192.0.2.7:8080, without a trailing slash
  std::int64_t connect_timeout_ms = 1000;
  std::int64_t read_timeout_ms = 3000;
  std::int64_t write_timeout_ms = 3000;
  /// Added to a watch's wait time for the timeout of its HTTP call.
  std::int64_t watch_margin_ms = 3000;
  /// Largest response to a list or a watch.
  std::size_t list_limit_bytes = std::size_t{256} * 1024 * 1024;
};

/// @brief Client of the object API over HTTP (docs/INTERFACES.md, section 2).
///
/// It never retries a call; only the caller knows whether that is safe.
class HttpObjectStore final : public ObjectStore {
 public:
  /// @param[in] client must outlive the store and its calls
  HttpObjectStore(HttpClient& client, HttpObjectStoreOptions options);

  void Get(std::string_view kind, std::string_view name,
           const GetDone& done) override;
  void Put(std::string_view kind, std::string_view name, std::string_view value,
           std::int64_t expected_version, const PutDone& done) override;
  void Delete(std::string_view kind, std::string_view name,
              std::int64_t expected_version, const PutDone& done) override;
  void List(std::string_view kind, std::int64_t since,
            const ListDone& done) override;
  void Watch(std::string_view kind, std::int64_t since, std::int64_t wait_ms,
             const ListDone& done) override;

 private:
  HttpRequest ReadRequest(std::string_view path, std::int64_t timeout_ms) const;
  HttpRequest WriteRequest(std::string_view method, std::string_view path,
                           std::int64_t expected_version) const;
  void FetchList(const HttpRequest& request, std::string_view step,
                 std::string_view kind, const ListDone& done);
  void FetchWrite(const HttpRequest& request, std::string_view step,
                  std::string_view peer, const PutDone& done);

  HttpClient& client;
  HttpObjectStoreOptions options;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_HTTP_OBJECT_STORE_H_
