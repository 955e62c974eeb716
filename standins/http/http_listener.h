#ifndef MEADOWTHREAD_STANDINS_HTTP_HTTP_LISTENER_H_
#define MEADOWTHREAD_STANDINS_HTTP_HTTP_LISTENER_H_

#include <QAbstractHttpServer>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/http_exchange.h"

namespace meadowthread::standins {

/// @brief What answers the requests of one listener.
class HttpService {
 public:
  virtual ~HttpService() = default;

  /// @brief Answers now or keeps the exchange and answers later.
  virtual void Handle(const Request& request, const ExchangePtr& exchange) = 0;
};

/// @brief One listening port on Qt's HTTP server.
class HttpListener final : public QAbstractHttpServer {
 public:
  /// @param[in] service outlives the listener
  explicit HttpListener(HttpService* service) : service(service) {}

  /// @brief Listens and prints the line `ready role=... name=... port=...`.
  /// @param[in] port 0: any free one
  /// @return the port, 0 where it cannot be had
  std::uint16_t Listen(const std::string& address, std::uint16_t port,
                       std::string_view role, std::string_view name);

 protected:
  bool handleRequest(const QHttpServerRequest& request,
                     QTcpSocket* socket) override;
  void missingHandler(const QHttpServerRequest& request,
                      QTcpSocket* socket) override;

 private:
  HttpService* service;
  /// The latest request of each connection.
  std::unordered_map<QTcpSocket*, std::weak_ptr<HttpExchange>> latest;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_HTTP_LISTENER_H_
