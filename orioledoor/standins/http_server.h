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

#include "orioledoor/standins/exchange.h"

struct evhttp;
struct evhttp_bound_socket;

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

private:
  Loop &Events;
  Handler OnRequest;
  evhttp *Http;
  std::uint16_t Port = 0;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_HTTP_SERVER_H
