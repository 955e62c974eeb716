#ifndef MEADOWTHREAD_STANDINS_HTTP_HTTP_LISTENER_H_
#define MEADOWTHREAD_STANDINS_HTTP_HTTP_LISTENER_H_

#include <QAbstractHttpServer>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/http_exchange.h"

namespace meadowthread::standins {

/// @brief Handles the requests of one listener.
class HttpService {
 public:
  virtual ~HttpService() = default;

  /// @brief Answers the request, at once or later through `exchange`.
  virtual void Handle(const Request& request, const ExchangePtr& exchange) = 0;
};

/// @brief Listens on one port, with Qt's HTTP server.
class HttpListener final : public QAbstractHttpServer {
 public:
  /// @param[in] service must outlive the listener
  explicit HttpListener(HttpService* service) : service(service) {}

  /// @brief Listens and prints the line `ready role=... name=... port=...`.
  /// @param[in] port 0: any free port
  /// @return the port; 0 if it could not be bound
  std::uint16_t Listen(const std::string& address, std::uint16_t port,
                       std::string_view role, std::string_view name);

 protected:
  bool handleRequest(const QHttpServerRequest& request,
                     QTcpSocket* socket) override;
  void missingHandler(const QHttpServerRequest& request,
                      QTcpSocket* socket) override;

 private:
  HttpService* service;
  /// Exchange of the latest request on each connection.
  std::unordered_map<QTcpSocket*, std::weak_ptr<HttpExchange>> latest;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_HTTP_LISTENER_H_
