#ifndef MEADOWTHREAD_NET_SERVER_CONNECTION_H_
#define MEADOWTHREAD_NET_SERVER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_server.h"
#include "net/message_reader.h"
#include "net/response_writer.h"
#include "net/stream_socket.h"

namespace meadowthread::detail {

/// @brief The server's interface to its connections.
class ServerContext {
 public:
  virtual ~ServerContext() = default;

  virtual const ServerLimits& Limits() const = 0;
  virtual std::int64_t NowMs() const = 0;
  virtual HttpService& Service() = 0;

  /// @brief Whether connections close after their current response.
  virtual bool IsClosing() const = 0;

  /// @brief Reserves memory for the body of an unfinished request.
  /// @return false if that would exceed the limit for all connections
  virtual bool ReserveBytes(std::int64_t bytes) = 0;
  virtual void ReleaseBytes(std::int64_t bytes) = 0;

  /// @brief Counts a connection that was broken before its response was
  /// delivered.
  virtual void CountInterruptedResponse() = 0;

  /// @brief Removes an ended connection; it is destroyed later in the turn of
  /// the event loop.
  virtual void RemoveConnection(StreamSocketHandler* connection) = 0;
};

/// @brief The server side of one client connection: reads a request, passes it
/// to the service, sends the response and reads the next request.
class ServerConnection final
    : public StreamSocketHandler,
      public std::enable_shared_from_this<ServerConnection> {
 public:
  /// @param[in] context outlives the connection
  ServerConnection(ServerContext& context,
                   std::unique_ptr<StreamSocket> socket);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Begin();

  ///////////////////////////
  // Called by ResponseWriter
  ///////////////////////////

  /// @brief Sends the head of a response.
  /// @return whether the body is sent in chunks
  bool SendHead(const ResponseHead& head);
  void Send(std::string_view bytes);
  /// @brief Ends a complete response: reads the next request, or closes.
  void EndResponse();
  /// @brief Ends the connection so that the client can't take the response for
  /// complete.
  void EndIncomplete();
  bool SendsBody(int http_status) const;
  /// @brief Whether the response has a Content-Length.
  bool KnowsLength() const { return this->length_known; }
  std::int64_t PendingBytes() const;
  bool IsClosed() const { return this->phase == Phase::kClosed; }
  void SetOnClosed(std::function<void()> told);
  void SetOnDrained(std::function<void()> told);
  /// @brief Sets the request id for log lines about this response.
  void SetRequestId(std::string_view request) { this->request_id = request; }

  ///////////////////////
  // Called by the server
  ///////////////////////

  /// @brief Breaks the connection immediately.
  /// @param[in] why logged if a response is lost
  void Abort(std::string_view why);

  /// @brief Ends the connection if one of its timeouts has passed.
  void CheckTimeouts(std::int64_t now_ms);

  /// @brief Closes the connection unless a request is being read or handled.
  void CloseIfIdle();

  /// @brief Whether a request has begun to arrive or a response is not yet
  /// delivered.
  bool HasUndelivered() const;

  /// @brief Closes the connection when the server shuts down; the kernel still
  /// delivers what it has accepted.
  void CloseForShutdown();

  // StreamSocketHandler
  void OnBytes(std::string_view bytes) override;
  void OnDrained() override;
  bool OnFinished() override;
  void OnEnded(SocketEnd end) override;

 private:
  enum class Phase {
    kReading,     ///< waits for a request or for the rest of one
    kResponding,  ///< the service is handling a request
    kClosing,     ///< the last response is being delivered
    kClosed,
  };
  struct Rejection;

  void ApplyHeadLimit();
  void ProcessRequests(ReadState state);
  void ProcessInput(ReadState state);
  void CheckHead();
  void CheckBodySize();
  void ReserveBody();
  void Serve();
  void ReadNextRequest();
  void Reject(const Rejection& rejection);
  void CloseAfterResponse();
  void LogInterruptedResponse(std::string_view why) const;
  std::int64_t StalledMs(std::int64_t now_ms, const SocketBacklog& left);
  static bool IsClientGone(std::int64_t stalled_ms, const SocketBacklog& left);
  void CheckDelivery(std::int64_t now_ms);
  void End();

  ServerContext& context;
  std::unique_ptr<StreamSocket> socket;
  MessageReader reader;
  Phase phase = Phase::kReading;
  std::string body;
  std::int64_t reserved_bytes = 0;
  std::string peer;
  std::string request_id;
  bool is_processing = false;  ///< within ProcessRequests
  /// State of the next request, whose bytes have arrived while the one before
  /// was handled; nullopt: none.
  std::optional<ReadState> next_request;
  bool head_taken = false;
  bool is_head_request = false;
  bool is_http_1_0 = false;
  bool close_after = false;
  bool length_known = false;
  bool ends_by_close = false;
  bool paused = false;
  std::int64_t begun_ms =
      -1;  ///< when the first byte of the current request came; -1: none
  std::int64_t idle_since_ms = 0;  ///< since when the connection is idle
  std::int64_t progress_ms = 0;    ///< when the client last acknowledged bytes
  std::int64_t acknowledged =
      0;  ///< bytes acknowledged by the client at the last check
  bool all_delivered = true;  ///< whether all was delivered at the last check
  std::function<void()> on_closed;
  std::function<void()> on_drained;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_NET_SERVER_CONNECTION_H_
