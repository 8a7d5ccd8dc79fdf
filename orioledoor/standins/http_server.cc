// Accepts requests through evhttp and passes them to the handler as exchanges.
#include "orioledoor/standins/http_server.h"

#include <arpa/inet.h>
#include <event2/http.h>
#include <netinet/in.h>

#include <cstdlib>
#include <iostream>
#include <utility>

#include "orioledoor/standins/loop.h"

namespace orioledoor::standins {
namespace {

// evhttp's default of 50 s would close the connection of a waiting watch or
// of a long operation.
constexpr int IdleTimeoutSeconds = 3600;

} // namespace

HttpServer::HttpServer(Loop &Events, std::uint16_t Port, Handler OnRequest)
    : Events(Events), OnRequest(std::move(OnRequest)),
      Http(evhttp_new(Events.base())) {
  evhttp_set_timeout(this->Http, IdleTimeoutSeconds);
  evhttp_set_allowed_methods(
      this->Http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST |
                      EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH | EVHTTP_REQ_DELETE);
  evhttp_set_gencb(
      this->Http,
      [](evhttp_request *Request, void *Argument) {
        auto *Self = static_cast<HttpServer *>(Argument);
        Self->OnRequest(std::make_shared<Exchange>(
            Self->Events, Self->connectionOf(Request), Request));
      },
      this);
  evhttp_bound_socket *Bound =
      evhttp_bind_socket_with_handle(this->Http, "127.0.0.1", Port);
  if (!Bound) {
    std::cerr << "port " << Port << " of 127.0.0.1 cannot be bound\n";
    std::exit(1);
  }
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(evhttp_bound_socket_get_fd(Bound),
              reinterpret_cast<sockaddr *>(&Address), &Size);
  this->Port = ntohs(Address.sin_port);
}

HttpServer::~HttpServer() { evhttp_free(this->Http); }

ServerConnection &HttpServer::connectionOf(evhttp_request *Request) {
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  std::unique_ptr<ServerConnection> &Entry = this->Connections[Connection];
  if (!Entry) {
    Entry = std::make_unique<ServerConnection>();
    evhttp_connection_set_closecb(
        Connection,
        [](evhttp_connection *Closed, void *Self) {
          static_cast<HttpServer *>(Self)->closed(Closed);
        },
        this);
  }
  return *Entry;
}

void HttpServer::closed(evhttp_connection *Connection) {
  auto Node = this->Connections.extract(Connection);
  if (!Node.empty() && Node.mapped()->Current)
    Node.mapped()->Current->closed();
}

} // namespace orioledoor::standins
