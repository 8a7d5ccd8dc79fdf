// evhttp connections, of which each carries one call at a time.
#include "orioledoor/store/internal/http_call_pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/socket.h>

#include <utility>

namespace orioledoor::internal {
namespace {

// Idle connections kept for reuse; a node rarely has more calls open.
constexpr std::size_t MaxIdle = 4;

bool isConnected(evhttp_connection *Connection) {
  evutil_socket_t Socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  sockaddr_storage Peer{};
  socklen_t Size = sizeof(Peer);
  return Socket >= 0 &&
         getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Size) == 0;
}

std::string contentOf(evbuffer *Buffer) {
  std::string Text(evbuffer_get_length(Buffer), '\0');
  evbuffer_copyout(Buffer, Text.data(), Text.size());
  return Text;
}

} // namespace

struct HttpCallPool::Call {
  HttpCallPool *Pool;
  std::uint64_t Id;
  Callback OnResult;
  ConnectionPtr Connection;
  EventPtr Timer;
};

HttpCallPool::HttpCallPool(event_base *Base, DeferredQueue &Later,
                           std::string_view Host, std::uint16_t Port,
                           Duration Timeout)
    : Base(Base), Later(Later), Host(Host), Port(Port), Timeout(Timeout) {}

HttpCallPool::~HttpCallPool() = default;

ConnectionPtr HttpCallPool::takeConnection(Use Wanted) {
  if (Wanted == Use::Kept && !this->Idle.empty()) {
    ConnectionPtr Connection = std::move(this->Idle.back());
    this->Idle.pop_back();
    return Connection;
  }
  return ConnectionPtr(evhttp_connection_base_bufferevent_new(
      this->Base, nullptr, nullptr, this->Host.c_str(), this->Port));
}

void HttpCallPool::post(std::string_view Path, std::string_view Json,
                        Callback OnResult, Use Connection) {
  std::uint64_t Id = ++this->LastId;
  Call &Open =
      *this->Calls
           .emplace(Id, new Call{this, Id, std::move(OnResult),
                                 this->takeConnection(Connection), nullptr})
           .first->second;
  Open.Timer.reset(evtimer_new(
      this->Base,
      [](evutil_socket_t, short, void *Argument) {
        auto *Late = static_cast<Call *>(Argument);
        Late->Pool->timedOut(*Late);
      },
      &Open));
  armTimer(Open.Timer.get(), this->Timeout);
  evhttp_request *Request = newJsonRequest(
      this->Host, this->Port, Json,
      [](evhttp_request *Answer, void *Argument) {
        auto *Ended = static_cast<Call *>(Argument);
        Ended->Pool->answered(*Ended, Answer);
      },
      &Open);
  if (evhttp_make_request(Open.Connection.get(), Request, EVHTTP_REQ_POST,
                          std::string(Path).c_str()) != 0 &&
      this->Calls.contains(Id))
    this->finish(Open, {}, false);
}

void HttpCallPool::answered(Call &Open, evhttp_request *Request) {
  // evhttp reports a failure to connect by a request with code 0, and a later
  // failure by no request.
  if (!Request)
    return this->finish(Open, {Transport::Broken, 0, {}}, false);
  int Code = evhttp_request_get_response_code(Request);
  if (Code == 0)
    return this->finish(Open, {Transport::NotSent, 0, {}}, false);
  this->finish(Open,
               {Transport::Answered, Code,
                contentOf(evhttp_request_get_input_buffer(Request))},
               true);
}

void HttpCallPool::timedOut(Call &Open) {
  bool Connected = isConnected(Open.Connection.get());
  // Connections that went silent are not offered to the next calls.
  this->Idle.clear();
  this->finish(Open,
               {Connected ? Transport::TimedOut : Transport::NotSent, 0, {}},
               false);
}

void HttpCallPool::finish(Call &Open, HttpResult Result, bool Reusable) {
  // A call that timed out may still be answered in the same turn of the loop.
  auto Node = this->Calls.extract(Open.Id);
  if (Node.empty())
    return;
  Open.Timer.reset();
  // The connection is idle or freed only after its callback has returned.
  this->Later.push([this, Ended = std::shared_ptr(std::move(Node.mapped())),
                    Result = std::move(Result), Reusable]() mutable {
    if (Reusable && this->Idle.size() < MaxIdle)
      this->Idle.push_back(std::move(Ended->Connection));
    Ended->Connection.reset();
    Ended->OnResult(std::move(Result));
  });
}

evhttp_request *newJsonRequest(std::string_view Host, std::uint16_t Port,
                               std::string_view Json,
                               void (*Done)(evhttp_request *, void *),
                               void *Argument) {
  evhttp_request *Request = evhttp_request_new(Done, Argument);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  std::string Peer = std::string(Host) + ':' + std::to_string(Port);
  evhttp_add_header(Headers, "Host", Peer.c_str());
  evhttp_add_header(Headers, "Content-Type", "application/json");
  evbuffer_add(evhttp_request_get_output_buffer(Request), Json.data(),
               Json.size());
  return Request;
}

} // namespace orioledoor::internal
