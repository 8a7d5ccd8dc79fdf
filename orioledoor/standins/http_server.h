// An HTTP server on 127.0.0.1 for the stand-ins.
//
//   HttpServer Server(Events, 22001, [](std::shared_ptr<Exchange> Call) {
//     Call->reply(200, "{}");
//   });
#ifndef ORIOLEDOOR_STANDINS_HTTP_SERVER_H
#define ORIOLEDOOR_STANDINS_HTTP_SERVER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "orioledoor/standins/exchange.h"

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace orioledoor::standins {

// Not thread-safe.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  // Port 0 means any free port. Ends the process with a message if the port
  // is taken.
  HttpServer(Loop &Events, std::uint16_t Port, Handler OnRequest);
  // Closes all connections.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  std::uint16_t port() const { return this->Port; }

  // Open connections over which at least one request has arrived.
  std::size_t openConnections() const { return this->Connections.size(); }

private:
  ServerConnection &connectionOf(evhttp_request *Request);
  void closed(evhttp_connection *Connection);

  Loop &Events;
  Handler OnRequest;
  evhttp *Http;
  std::unordered_map<evhttp_connection *, std::unique_ptr<ServerConnection>>
      Connections;
  std::uint16_t Port = 0;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_HTTP_SERVER_H
