// Implements HttpClient. Each call in flight uses one evhttp connection; idle
// connections are kept for reuse.
#include "orioledoor/wire/http_client.h"

#include <algorithm>
#include <deque>
#include <ranges>
#include <unordered_map>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <sys/socket.h>

#include "orioledoor/wire/internal/event_ptr.h"
#include "orioledoor/wire/internal/http_connection_setup.h"
#include "orioledoor/wire/internal/http_headers.h"

namespace orioledoor::wire {
namespace {

using requests::TargetFailure;

// Statuses of answers that end an exchange.
constexpr int MinFinalStatus = 200;
constexpr int MaxFinalStatus = 599;
constexpr std::size_t MaxResponseHeaderBytes = 64U << 10;
// The largest value in the store is 1 MB, a third more in base64, and a watch
// event carries two values.
constexpr std::size_t MaxResponseBodyBytes = 8U << 20;
// Maximum bytes of a response beside its body; framing may add as many bytes
// again as the body has. evhttp limits the headers and the body, but neither
// the size of the lines between chunks, which it scans from their start with
// every read, nor the number of interim responses.
constexpr std::size_t MaxFramingBytes = 4 * MaxResponseHeaderBytes;
// Maximum bytes that the responses of all open calls may hold together. VMs
// have 160 MB of memory and more.
constexpr std::size_t MaxBufferedBytes = 48U << 20;
constexpr std::size_t MaxIdleConnectionsPerServer = 256;
// Shorter than the idle timeouts that servers commonly have (5 s and more), so
// that a call is rarely written to a connection that the server is closing.
constexpr Duration MaxIdleTime = std::chrono::seconds(4);

std::string formatAuthority(const Endpoint &Server) {
  return Server.Host + ":" + std::to_string(Server.Port);
}

} // namespace

struct HttpClient::Impl {
  struct Connection {
    Impl *Client = nullptr;
    evhttp_connection *Http = nullptr;
    std::string Authority;
    // The call in flight; 0 while the connection is idle.
    std::uint64_t CallId = 0;
    // The first byte of the request is about to be written.
    bool WriteStarted = false;
    // Bytes of the request were written to the socket.
    bool Written = false;
    // NotAfter had passed when the first byte was due; the socket was shut down
    // before anything was written.
    bool Expired = false;
    // The socket options are set.
    bool SocketConfigured = false;
    // The headers of the response were received.
    bool HeadersReceived = false;
    // The evhttp request of the call in flight, until evhttp reports its end.
    const evhttp_request *Request = nullptr;
    // Bytes of the response to the call in flight.
    std::size_t ReceivedBytes = 0;
    std::optional<Instant> NotAfter;
    Instant CalledAt;
    // Valid once WriteStarted is set.
    Instant WriteStartedAt;
    Instant IdleSince;
  };

  struct CallState {
    Connection *Conn = nullptr;
    Callback OnDone;
    internal::EventPtr Timer;
    Instant Deadline;
    bool UsesFreshConnection = false;
    bool IsHead = false;
    // The header that the response must repeat; see HttpCall::EchoHeader.
    requests::Header ExpectedEcho;
    std::string FinalHeader;
    // Set by the error callback of evhttp.
    std::optional<evhttp_request_error> Error;
  };

  // A result to be delivered in the next iteration of the event loop.
  struct CompletedCall {
    std::uint64_t Id = 0;
    Callback OnDone;
    HttpResult Result;
  };

  struct TimerContext {
    Impl *Client;
    std::uint64_t Id;
  };

  event_base *Base;
  HttpClientCounters Counters;
  std::uint64_t NextId = 1;
  std::unordered_map<std::uint64_t, CallState> Calls;
  std::unordered_map<std::uint64_t, TimerContext> TimerContexts;
  // Idle connections by authority; the most recently used one is last.
  std::unordered_map<std::string, std::vector<std::unique_ptr<Connection>>>
      IdleConnections;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> BusyConnections;
  // Connections to be freed and results to be delivered outside the callbacks
  // of evhttp.
  std::vector<std::unique_ptr<Connection>> ConnectionsToFree;
  std::deque<CompletedCall> CompletedCalls;
  // Calls whose responses exceed the memory limits.
  std::vector<std::uint64_t> OversizedCalls;
  // Invariant: the sum of ReceivedBytes over BusyConnections.
  std::size_t BufferedBytes = 0;
  internal::EventPtr DeferredEvent;

  explicit Impl(event_base *Base) : Base(Base) {
    this->DeferredEvent.reset(event_new(
        Base, -1, 0,
        [](evutil_socket_t, short, void *Self) {
          static_cast<Impl *>(Self)->runDeferred();
        },
        this));
  }

  ~Impl() {
    for (auto &Entry : this->BusyConnections)
      evhttp_connection_free(Entry.second->Http);
    for (auto &Entry : this->IdleConnections)
      for (auto &Conn : Entry.second)
        evhttp_connection_free(Conn->Http);
    for (auto &Conn : this->ConnectionsToFree)
      evhttp_connection_free(Conn->Http);
  }

  void scheduleDeferred() { event_active(this->DeferredEvent.get(), 0, 0); }

  void runDeferred() {
    for (std::uint64_t Id : std::exchange(this->OversizedCalls, {}))
      this->failCall(Id, TargetFailure::Truncated, "the answer is too large");
    for (auto &Conn : std::exchange(this->ConnectionsToFree, {}))
      evhttp_connection_free(Conn->Http);
    // A callback may cancel calls whose results are still queued, and may start
    // calls that fail immediately; the results of the latter wait for the next
    // iteration.
    for (std::size_t Remaining = this->CompletedCalls.size();
         Remaining > 0 && !this->CompletedCalls.empty(); --Remaining) {
      CompletedCall Next = std::move(this->CompletedCalls.front());
      this->CompletedCalls.pop_front();
      Next.OnDone(std::move(Next.Result));
    }
  }

  // Connections ---------------------------------------------------------------

  // Invoked for every change of the output buffer of a connection.
  static void onOutput(evbuffer *, const evbuffer_cb_info *Info,
                       void *Context) {
    auto *Conn = static_cast<Connection *>(Context);
    if (Info->n_added > 0 && !std::exchange(Conn->WriteStarted, true)) {
      Conn->WriteStartedAt = readClock();
      bufferevent *Stream = evhttp_connection_get_bufferevent(Conn->Http);
      int Descriptor = bufferevent_getfd(Stream);
      // On a new connection the write happens in this call; on a reused one it
      // follows in the same iteration of the event loop.
      if (Conn->NotAfter && Conn->WriteStartedAt >= *Conn->NotAfter) {
        Conn->Expired = true;
        shutdown(Descriptor, SHUT_RDWR);
        return;
      }
      if (!std::exchange(Conn->SocketConfigured, true))
        internal::configureSocket(Descriptor);
    }
    // A connection reset also drains the buffer. It then counts as written,
    // which errs on the side of an unknown outcome.
    if (Info->n_deleted > 0 && !Conn->Expired)
      Conn->Written = true;
  }

  // Invoked for every change of the input buffer of a connection.
  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Context) {
    auto *Conn = static_cast<Connection *>(Context);
    if (Info->n_added == 0 || !Conn->Request)
      return;
    Conn->ReceivedBytes += Info->n_added;
    Conn->Client->BufferedBytes += Info->n_added;
    Conn->Client->enforceResponseLimits(*Conn);
  }

  static bool exceedsFramingLimit(const Connection &Conn) {
    // The received part of an incomplete body is still in the input buffer.
    std::size_t BodyBytes = Conn.Request->body_size;
    if (Conn.Request->ntoread > 0)
      BodyBytes += evbuffer_get_length(
          bufferevent_get_input(evhttp_connection_get_bufferevent(Conn.Http)));
    return Conn.ReceivedBytes > MaxFramingBytes + 2 * BodyBytes;
  }

  // Schedules the failure of the call on Conn if its response is too large, or
  // of the call with the largest response if all responses together are.
  void enforceResponseLimits(const Connection &Conn) {
    const Connection *Largest = &Conn;
    if (!exceedsFramingLimit(Conn)) {
      if (this->BufferedBytes <= MaxBufferedBytes)
        return;
      Largest = std::ranges::max_element(this->BusyConnections, {},
                                         [](const auto &Entry) {
                                           return Entry.first->ReceivedBytes;
                                         })
                    ->first;
    }
    if (std::ranges::find(this->OversizedCalls, Largest->CallId) !=
        this->OversizedCalls.end())
      return;
    this->OversizedCalls.push_back(Largest->CallId);
    this->scheduleDeferred();
  }

  std::unique_ptr<Connection> openConnection(const Endpoint &Server) {
    auto Conn = std::make_unique<Connection>();
    Conn->Client = this;
    Conn->Authority = formatAuthority(Server);
    Conn->Http = evhttp_connection_base_new(this->Base, nullptr,
                                            Server.Host.c_str(), Server.Port);
    if (!Conn->Http)
      return nullptr;
    evhttp_connection_set_max_headers_size(Conn->Http, MaxResponseHeaderBytes);
    evhttp_connection_set_max_body_size(Conn->Http, MaxResponseBodyBytes);
    evhttp_connection_set_retries(Conn->Http, 0);
    evhttp_connection_set_closecb(
        Conn->Http,
        [](evhttp_connection *, void *Context) {
          static_cast<Connection *>(Context)->SocketConfigured = false;
        },
        Conn.get());
    evbuffer_add_cb(
        bufferevent_get_output(evhttp_connection_get_bufferevent(Conn->Http)),
        onOutput, Conn.get());
    evbuffer_add_cb(
        bufferevent_get_input(evhttp_connection_get_bufferevent(Conn->Http)),
        onInput, Conn.get());
    ++this->Counters.Connections;
    return Conn;
  }

  std::unique_ptr<Connection> acquireConnection(const HttpCall &Call) {
    if (Call.FreshConnection)
      return this->openConnection(Call.Server);
    auto Found = this->IdleConnections.find(formatAuthority(Call.Server));
    Instant Now = readClock();
    while (Found != this->IdleConnections.end() && !Found->second.empty()) {
      std::unique_ptr<Connection> Last = std::move(Found->second.back());
      Found->second.pop_back();
      if (Now - Last->IdleSince < MaxIdleTime)
        return Last;
      this->discardConnection(std::move(Last));
    }
    return this->openConnection(Call.Server);
  }

  void discardConnection(std::unique_ptr<Connection> Discarded) {
    this->ConnectionsToFree.push_back(std::move(Discarded));
    this->scheduleDeferred();
  }

  // Discards the connection of a call that was given up. A request that its
  // server has not received yet, for example because it is late to accept the
  // connection, must not arrive any more.
  void abortConnection(Connection *Conn) {
    bufferevent *Stream = evhttp_connection_get_bufferevent(Conn->Http);
    if (int Descriptor = bufferevent_getfd(Stream); Descriptor >= 0)
      internal::resetOnClose(Descriptor);
    this->releaseConnection(Conn, false);
  }

  // Marks the connection of a finished call as idle, or discards it.
  void releaseConnection(Connection *Conn, bool Reusable) {
    auto Found = this->BusyConnections.find(Conn);
    std::unique_ptr<Connection> Released = std::move(Found->second);
    this->BusyConnections.erase(Found);
    Released->CallId = 0;
    Released->Request = nullptr;
    this->BufferedBytes -= std::exchange(Released->ReceivedBytes, 0);
    auto &Pool = this->IdleConnections[Released->Authority];
    if (!Reusable || Pool.size() >= MaxIdleConnectionsPerServer) {
      this->discardConnection(std::move(Released));
      return;
    }
    Released->IdleSince = readClock();
    Pool.push_back(std::move(Released));
  }

  // Calls ---------------------------------------------------------------------

  void completeCall(std::uint64_t Id, HttpResult Result, bool Reusable) {
    auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end())
      return;
    if (Result.Failure)
      ++this->Counters.Failures;
    Connection *Conn = Found->second.Conn;
    if (Conn && Conn->WriteStarted)
      Result.SentAfter = Conn->WriteStartedAt - Conn->CalledAt;
    this->CompletedCalls.push_back(
        {Id, std::move(Found->second.OnDone), std::move(Result)});
    bool UsesFreshConnection = Found->second.UsesFreshConnection;
    bool Failed = this->CompletedCalls.back().Result.Failure.has_value();
    this->Calls.erase(Found);
    this->TimerContexts.erase(Id);
    if (Conn && Failed)
      this->abortConnection(Conn);
    else if (Conn)
      this->releaseConnection(Conn, Reusable && !UsesFreshConnection);
    this->scheduleDeferred();
  }

  void failCall(std::uint64_t Id, TargetFailure FailureIfWritten,
                std::string Detail) {
    auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end())
      return;
    const Connection *Conn = Found->second.Conn;
    HttpResult Result;
    Result.Failure =
        Conn && Conn->Written ? FailureIfWritten : TargetFailure::NotSent;
    Result.Detail = Conn && Conn->Expired ? "permission ended before the call"
                                          : std::move(Detail);
    this->completeCall(Id, std::move(Result), false);
  }

  static void onError(evhttp_request_error Error, void *Context) {
    auto *Conn = static_cast<Connection *>(Context);
    auto Found = Conn->Client->Calls.find(Conn->CallId);
    if (Found != Conn->Client->Calls.end())
      Found->second.Error = Error;
  }

  static void onResponse(evhttp_request *Request, void *Context) {
    auto *Conn = static_cast<Connection *>(Context);
    Conn->Client->handleResponse(*Conn, Request);
  }

  static int onResponseHeaders(evhttp_request *, void *Context) {
    static_cast<Connection *>(Context)->HeadersReceived = true;
    return 0;
  }

  void handleResponse(Connection &Conn, evhttp_request *Request) {
    auto Found = this->Calls.find(Conn.CallId);
    if (Found == this->Calls.end())
      return;
    if (!Request || evhttp_request_get_response_code(Request) == 0) {
      this->handleConnectionError(Conn, Found->second.Error);
      return;
    }
    HttpResult Result;
    requests::HttpAnswer &Answer = Result.Answer;
    Answer.Status = evhttp_request_get_response_code(Request);
    const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
    Answer.Headers = internal::endToEndHeaders(*Headers);
    evbuffer *Body = evhttp_request_get_input_buffer(Request);
    Answer.Body.resize(evbuffer_get_length(Body));
    evbuffer_remove(Body, Answer.Body.data(), Answer.Body.size());
    std::string Fault =
        this->validateResponse(Conn, *Headers, Answer, Found->second.IsHead);
    if (!Fault.empty()) {
      this->failCall(Conn.CallId, TargetFailure::Truncated, std::move(Fault));
      return;
    }
    const char *ConnectionHeader = evhttp_find_header(Headers, "Connection");
    bool Reusable = !(ConnectionHeader &&
                      internal::equalsIgnoreCase(ConnectionHeader, "close")) &&
                    !isFinal(Found->second, Answer) &&
                    !this->hasUnreadInput(Conn);
    this->completeCall(Conn.CallId, std::move(Result), Reusable);
  }

  // Returns whether the connection is not used again after this response.
  static bool isFinal(const CallState &Call,
                      const requests::HttpAnswer &Answer) {
    return !Call.FinalHeader.empty() &&
           internal::findHeader(Answer.Headers, Call.FinalHeader);
  }

  // Returns what is wrong with a response, or an empty string if it is complete
  // and belongs to the call. Adds the length that the response to a HEAD
  // request states to its headers.
  std::string validateResponse(const Connection &Conn, const evkeyvalq &Headers,
                               requests::HttpAnswer &Answer, bool IsHead) {
    // evhttp accepts any number as the status and takes provisional answers
    // other than 100 for the final one.
    if (Answer.Status < MinFinalStatus || Answer.Status > MaxFinalStatus)
      return "the answer has the status " + std::to_string(Answer.Status);
    if (internal::hasAmbiguousFraming(Headers))
      return "the framing of the answer is ambiguous";
    const char *ContentLength = evhttp_find_header(&Headers, "Content-Length");
    if (IsHead && ContentLength)
      Answer.Headers.push_back({"Content-Length", ContentLength});
    bool HasBody = !IsHead && Answer.Status >= 200 && Answer.Status != 204 &&
                   Answer.Status != 304;
    if (HasBody && ContentLength &&
        std::string_view(ContentLength) != std::to_string(Answer.Body.size()))
      return "the answer states " + std::string(ContentLength) +
             " bytes and has " + std::to_string(Answer.Body.size());
    const CallState &Call = this->Calls.at(Conn.CallId);
    const requests::Header &ExpectedEcho = Call.ExpectedEcho;
    const requests::Header *Echoed =
        ExpectedEcho.Name.empty()
            ? nullptr
            : internal::findHeader(Answer.Headers, ExpectedEcho.Name);
    if (Echoed && Echoed->Value != ExpectedEcho.Value)
      return "the answer belongs to another request";
    if (!Echoed && !ExpectedEcho.Name.empty())
      return "the answer does not say which request it belongs to";
    // Without the echoed header nothing shows which of the bytes belong to the
    // response.
    if (!Echoed && hasUnreadInput(Conn))
      return "bytes follow the answer";
    return {};
  }

  // Returns whether bytes follow a complete response. They belong to no
  // request, so the connection is not reused.
  static bool hasUnreadInput(const Connection &Conn) {
    evbuffer *Input =
        bufferevent_get_input(evhttp_connection_get_bufferevent(Conn.Http));
    return evbuffer_get_length(Input) != 0;
  }

  void handleConnectionError(Connection &Conn,
                             std::optional<evhttp_request_error> Error) {
    bool IsMalformed = Error && *Error == EVREQ_HTTP_INVALID_HEADER;
    bool IsTooLarge = Error && *Error == EVREQ_HTTP_DATA_TOO_LONG;
    std::string Detail = IsTooLarge             ? "the answer is too large"
                         : IsMalformed          ? "the answer is malformed"
                         : Conn.HeadersReceived ? "the answer is truncated"
                         : Conn.Written
                             ? "the connection ended before the answer"
                             : "the connection was refused";
    this->failCall(Conn.CallId,
                   IsTooLarge || IsMalformed || Conn.HeadersReceived
                       ? TargetFailure::Truncated
                       : TargetFailure::ConnectionLost,
                   std::move(Detail));
  }

  static void onTimeout(evutil_socket_t, short, void *Context) {
    TimerContext CallContext = *static_cast<TimerContext *>(Context);
    CallState &State = CallContext.Client->Calls.at(CallContext.Id);
    Instant Now = readClock();
    if (!State.Conn->WriteStarted) {
      CallContext.Client->failCall(CallContext.Id, TargetFailure::NotSent,
                                   "no connection within the time allowed");
    } else if (Now < State.Deadline) {
      setTimer(State, State.Deadline - Now);
    } else {
      CallContext.Client->failCall(CallContext.Id, TargetFailure::TimedOut,
                                   "no answer within the time allowed");
    }
  }

  static void setTimer(const CallState &State, Duration Timeout) {
    timeval Delay =
        internal::toTimeval(std::max<std::int64_t>(Timeout.count(), 0));
    evtimer_add(State.Timer.get(), &Delay);
  }

  std::uint64_t call(const HttpCall &Call, Callback OnDone) {
    std::uint64_t Id = this->NextId++;
    ++this->Counters.Calls;
    CallState &State = this->Calls[Id];
    State.OnDone = std::move(OnDone);
    State.UsesFreshConnection = Call.FreshConnection;
    State.IsHead = Call.Method == "HEAD";
    State.FinalHeader = Call.FinalHeader;
    if (!Call.EchoHeader.empty())
      if (const requests::Header *Sent =
              internal::findHeader(Call.Headers, Call.EchoHeader))
        State.ExpectedEcho = *Sent;
    std::optional<evhttp_cmd_type> Command = internal::parseMethod(Call.Method);
    if (!Command) {
      this->failCall(Id, TargetFailure::NotSent, "the method is not supported");
      return Id;
    }
    std::unique_ptr<Connection> Acquired = this->acquireConnection(Call);
    if (!Acquired) {
      this->failCall(Id, TargetFailure::NotSent, "no connection could be made");
      return Id;
    }
    Connection *Conn = Acquired.get();
    this->BusyConnections[Conn] = std::move(Acquired);
    State.Conn = Conn;
    Conn->CallId = Id;
    Conn->WriteStarted = Conn->Written = Conn->Expired = Conn->HeadersReceived =
        false;
    Conn->NotAfter = Call.NotAfter;
    Conn->CalledAt = readClock();
    TimerContext &Context = this->TimerContexts[Id] = {this, Id};
    State.Timer.reset(evtimer_new(this->Base, onTimeout, &Context));
    State.Deadline = Conn->CalledAt + Call.Timeout;
    setTimer(State, std::min(Call.Timeout,
                             Call.ConnectTimeout.value_or(Call.Timeout)));

    evhttp_request *Request = evhttp_request_new(onResponse, Conn);
    Conn->Request = Request;
    evhttp_request_set_error_cb(Request, onError);
    evhttp_request_set_header_cb(Request, onResponseHeaders);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
    evhttp_add_header(Headers, "Host",
                      Call.Host.empty() ? Conn->Authority.c_str()
                                        : Call.Host.c_str());
    internal::addHeaders(*Headers, Call.Headers);
    if (Call.FreshConnection)
      evhttp_add_header(Headers, "Connection", "close");
    // evhttp frames the body of some methods only.
    if (!Call.Body.empty()) {
      evhttp_add_header(Headers, "Content-Length",
                        std::to_string(Call.Body.size()).c_str());
      evbuffer_add(evhttp_request_get_output_buffer(Request), Call.Body.data(),
                   Call.Body.size());
    }
    if (evhttp_make_request(Conn->Http, Request, *Command,
                            Call.Target.c_str()) != 0)
      this->failCall(Id, TargetFailure::ConnectionLost,
                     "no connection could be made");
    return Id;
  }

  void cancel(std::uint64_t Id) {
    auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end()) {
      std::erase_if(this->CompletedCalls, [Id](const CompletedCall &Completed) {
        return Completed.Id == Id;
      });
      return;
    }
    Connection *Conn = Found->second.Conn;
    this->Calls.erase(Found);
    this->TimerContexts.erase(Id);
    if (Conn)
      this->abortConnection(Conn);
  }
};

HttpClient::HttpClient(event_base *Base)
    : Pimpl(std::make_unique<Impl>(Base)) {}

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::call(const HttpCall &Call, Callback OnDone) {
  return this->Pimpl->call(Call, std::move(OnDone));
}

void HttpClient::cancel(std::uint64_t Id) { this->Pimpl->cancel(Id); }

void HttpClient::closeIdleConnections(const Endpoint &Server) {
  auto Found = this->Pimpl->IdleConnections.find(formatAuthority(Server));
  if (Found == this->Pimpl->IdleConnections.end())
    return;
  for (auto &Conn : std::exchange(Found->second, {}))
    this->Pimpl->discardConnection(std::move(Conn));
}

std::size_t HttpClient::openCalls() const { return this->Pimpl->Calls.size(); }

const HttpClientCounters &HttpClient::counters() const {
  return this->Pimpl->Counters;
}

} // namespace orioledoor::wire
