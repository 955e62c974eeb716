#ifndef MEADOWTHREAD_NET_SERVER_CONNECTION_H_
#define MEADOWTHREAD_NET_SERVER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_server.h"
#include "net/message_reader.h"
#include "net/response_writer.h"
#include "net/stream_socket.h"

namespace meadowthread::detail {

/// @brief What a connection needs of its server.
class ConnectionHost {
 public:
  virtual ~ConnectionHost() = default;

  virtual const ServerLimits& Limits() const = 0;
  virtual std::int64_t NowMs() const = 0;
  virtual HttpService& Service() = 0;

  /// @brief Whether connections end after their present answer.
  virtual bool IsClosing() const = 0;

  /// @brief Counts bytes held for unfinished requests.
  /// @return false where no more may be held
  virtual bool Hold(std::int64_t bytes) = 0;
  virtual void Release(std::int64_t bytes) = 0;

  /// @brief A connection is broken with an answer on it.
  virtual void NoteCut() = 0;

  /// @brief The connection is over; it is destroyed later in the turn.
  virtual void Forget(StreamSocketHandler* connection) = 0;
};

/// @brief One caller's connection: reads a request, has it answered, reads the
/// next one.
class ServerConnection final
    : public StreamSocketHandler,
      public std::enable_shared_from_this<ServerConnection> {
 public:
  /// @param[in] host outlives the connection
  ServerConnection(ConnectionHost& host, std::unique_ptr<StreamSocket> socket);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Begin();

  ////////////////////
  // For its writer
  ////////////////////

  /// @brief Sends an answer's head.
  /// @return whether the body is sent in chunks
  bool SendHead(const ResponseHead& head);
  void Send(std::string_view bytes);
  /// @brief The answer is whole: on to the next request, or close.
  void AnswerDone();
  /// @brief Ends the connection so that the answer can't look whole.
  void BreakOff();
  bool SendsBody(int http_status) const;
  /// @brief Whether the answer's length was announced.
  bool KnowsLength() const { return this->length_known; }
  std::int64_t PendingBytes() const;
  bool IsClosed() const { return this->phase == Phase::kOver; }
  void SetClosedTold(std::function<void()> told);
  void SetDrainedTold(std::function<void()> told);
  /// @brief Whose answer it is, for logs.
  void NameAnswer(std::string_view request) { this->answer_name = request; }

  ////////////////////
  // For its server
  ////////////////////

  /// @brief Breaks the connection at once.
  /// @param[in] why for the log, where an answer is lost by it
  void Abort(std::string_view why);

  /// @brief Ends the connection where a time limit has passed.
  void CheckTime(std::int64_t now_ms);

  /// @brief Closes it unless a request is being read or answered.
  void CloseIfIdle();

  /// @brief Whether its caller may still get something: a request was begun, or
  /// an answer to one is not delivered.
  bool IsOwed() const;

  /// @brief Ends it with the process: the kernel delivers what it holds.
  void EndWithProcess();

  // StreamSocketHandler
  void OnBytes(std::string_view bytes) override;
  void OnDrained() override;
  bool OnFinished() override;
  void OnEnded(SocketEnd end) override;

 private:
  enum class Phase {
    kReading,    ///< waits for a request, or for its rest
    kAnswering,  ///< a request was handed to the service
    kEnding,     ///< the last answer is on its way out
    kOver,
  };
  struct Refusal;

  void Take(ReadState state);
  void TakeHead();
  void CheckBodySize();
  void Serve();
  void ReadNext();
  void Refuse(const Refusal& refusal);
  void CloseAfterAnswer();
  void LogCut(std::string_view why) const;
  std::int64_t RestMs(std::int64_t now_ms, const SocketBacklog& left);
  static bool IsGone(std::int64_t rest_ms, const SocketBacklog& left);
  void CheckDelivery(std::int64_t now_ms);
  void End();

  ConnectionHost& host;
  std::unique_ptr<StreamSocket> socket;
  MessageReader reader;
  Phase phase = Phase::kReading;
  std::string body;
  std::int64_t held = 0;
  std::string peer;
  std::string answer_name;
  bool head_taken = false;
  bool is_head_request = false;
  bool is_old_version = false;
  bool close_after = false;
  bool length_known = false;
  bool ends_by_close = false;
  bool paused = false;
  std::int64_t begun_ms = -1;    ///< first byte of the present request
  std::int64_t resting_ms = 0;   ///< since when no request is there
  std::int64_t progress_ms = 0;  ///< when the caller last took any bytes
  std::int64_t taken = 0;        ///< by the caller, when last looked at
  bool has_all = true;           ///< the caller, when last looked at
  std::function<void()> closed_told;
  std::function<void()> drained_told;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_NET_SERVER_CONNECTION_H_
