// One evhttp connection a call in flight; idle ones are kept for reuse.
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

constexpr std::size_t MaxAnswerHeaderBytes = 64U << 10;
// The store's largest value is 1 MB, a third more in base64; a watch event
// carries two of them.
constexpr std::size_t MaxAnswerBodyBytes = 8U << 20;
// What an answer may have beside its body, which may have as much again. evhttp
// bounds heads and bodies, but neither the lines between chunks, which it scans
// from their begin with each read, nor the number of interim answers.
constexpr std::size_t MaxFramingBytes = 4 * MaxAnswerHeaderBytes;
// What all open calls may hold together; VMs have 160 MB and more.
constexpr std::size_t MaxOpenBytes = 48U << 20;
constexpr std::size_t MaxIdlePerEndpoint = 256;
// Shorter than the idle timeouts that servers commonly have (5 s and more), so
// that a call is rarely written to a connection that is being closed.
constexpr Duration MaxIdleTime = std::chrono::seconds(4);

std::string nameOf(const Endpoint &To) {
  return To.Host + ":" + std::to_string(To.Port);
}

} // namespace

struct HttpClient::Impl {
  struct Connection {
    Impl *Client = nullptr;
    evhttp_connection *Http = nullptr;
    std::string Name;
    // The call in flight; 0 while idle.
    std::uint64_t CallId = 0;
    // Set when the first byte is about to be written.
    bool Started = false;
    // Bytes left for the network.
    bool Written = false;
    // NotAfter had come when the first byte was due; the sending half was
    // shut down before it.
    bool Expired = false;
    // TCP_NODELAY is set.
    bool Tuned = false;
    // The head of the answer came.
    bool Answering = false;
    // evhttp's request of the call in flight, until its end is reported.
    const evhttp_request *Request = nullptr;
    // Bytes of the answer to the call in flight.
    std::size_t Received = 0;
    std::optional<Instant> NotAfter;
    Instant CalledAt;
    // Meaningful once Started is set.
    Instant StartedAt;
    Instant IdleSince;
  };

  struct OpenCall {
    Connection *On = nullptr;
    Callback Done;
    internal::EventPtr Timer;
    Instant Deadline;
    bool Fresh = false;
    bool Head = false;
    // What the answer must repeat; see HttpCall::EchoHeader.
    requests::Header Echo;
    // From evhttp's error callback.
    std::optional<evhttp_request_error> Error;
  };

  // A result that waits for the loop's next turn.
  struct EndedCall {
    std::uint64_t Id = 0;
    Callback Done;
    HttpResult Result;
  };

  struct TimerContext {
    Impl *Client;
    std::uint64_t Id;
  };

  event_base *Base;
  HttpClientCounters Counters;
  std::uint64_t NextId = 1;
  std::unordered_map<std::uint64_t, OpenCall> Calls;
  std::unordered_map<std::uint64_t, TimerContext> Contexts;
  // The most recently used connection is last.
  std::unordered_map<std::string, std::vector<std::unique_ptr<Connection>>>
      Idle;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Busy;
  // Connections to be freed and results to be delivered outside of evhttp's
  // callbacks.
  std::vector<std::unique_ptr<Connection>> Garbage;
  std::deque<EndedCall> Results;
  // Calls whose answers take more memory than they may.
  std::vector<std::uint64_t> TooLarge;
  // Invariant: the sum of Received over Busy.
  std::size_t OpenBytes = 0;
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
    for (auto &Entry : this->Busy)
      evhttp_connection_free(Entry.second->Http);
    for (auto &Entry : this->Idle)
      for (auto &Each : Entry.second)
        evhttp_connection_free(Each->Http);
    for (auto &Each : this->Garbage)
      evhttp_connection_free(Each->Http);
  }

  void defer() { event_active(this->DeferredEvent.get(), 0, 0); }

  void runDeferred() {
    for (std::uint64_t Id : std::exchange(this->TooLarge, {}))
      this->fail(Id, TargetFailure::Truncated, "the answer is too large");
    for (auto &Each : std::exchange(this->Garbage, {}))
      evhttp_connection_free(Each->Http);
    // A callback may cancel calls whose results follow, and start calls that
    // fail at once; their results wait for the next turn.
    for (std::size_t Left = this->Results.size();
         Left > 0 && !this->Results.empty(); --Left) {
      EndedCall Next = std::move(this->Results.front());
      this->Results.pop_front();
      Next.Done(std::move(Next.Result));
    }
  }

  // Connections ---------------------------------------------------------------

  // Sees every change of the bytes to be written.
  static void onOutput(evbuffer *, const evbuffer_cb_info *Info,
                       void *Context) {
    auto *On = static_cast<Connection *>(Context);
    if (Info->n_added > 0 && !std::exchange(On->Started, true)) {
      On->StartedAt = readClock();
      bufferevent *Stream = evhttp_connection_get_bufferevent(On->Http);
      int Descriptor = bufferevent_getfd(Stream);
      // On a fresh connection this is the call that also writes; on a reused
      // one the write follows in the same turn of the loop.
      if (On->NotAfter && On->StartedAt >= *On->NotAfter) {
        On->Expired = true;
        shutdown(Descriptor, SHUT_RDWR);
        return;
      }
      if (!std::exchange(On->Tuned, true))
        internal::tuneConnection(Descriptor);
    }
    // A reset also drains the buffer; it then counts as written, which errs on
    // the side of "unknown".
    if (Info->n_deleted > 0 && !On->Expired)
      On->Written = true;
  }

  // Sees every change of the bytes that came.
  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Context) {
    auto *On = static_cast<Connection *>(Context);
    if (Info->n_added == 0 || !On->Request)
      return;
    On->Received += Info->n_added;
    On->Client->OpenBytes += Info->n_added;
    On->Client->boundAnswers(*On);
  }

  static bool hasTooMuchFraming(const Connection &Of) {
    // A part of a body that is not whole yet stays in the input.
    std::size_t Body = Of.Request->body_size;
    if (Of.Request->ntoread > 0)
      Body += evbuffer_get_length(
          bufferevent_get_input(evhttp_connection_get_bufferevent(Of.Http)));
    return Of.Received > MaxFramingBytes + 2 * Body;
  }

  // Gives up the call on Of if its answer is too large, or the call with the
  // largest answer if all together are.
  void boundAnswers(const Connection &Of) {
    const Connection *Largest = &Of;
    if (!hasTooMuchFraming(Of)) {
      if (this->OpenBytes <= MaxOpenBytes)
        return;
      Largest = std::ranges::max_element(this->Busy, {}, [](const auto &Entry) {
                  return Entry.first->Received;
                })->first;
    }
    if (std::ranges::find(this->TooLarge, Largest->CallId) !=
        this->TooLarge.end())
      return;
    this->TooLarge.push_back(Largest->CallId);
    this->defer();
  }

  std::unique_ptr<Connection> openConnection(const Endpoint &To) {
    auto Added = std::make_unique<Connection>();
    Added->Client = this;
    Added->Name = nameOf(To);
    Added->Http = evhttp_connection_base_new(this->Base, nullptr,
                                             To.Host.c_str(), To.Port);
    if (!Added->Http)
      return nullptr;
    evhttp_connection_set_max_headers_size(Added->Http, MaxAnswerHeaderBytes);
    evhttp_connection_set_max_body_size(Added->Http, MaxAnswerBodyBytes);
    evhttp_connection_set_retries(Added->Http, 0);
    evhttp_connection_set_closecb(
        Added->Http,
        [](evhttp_connection *, void *Context) {
          static_cast<Connection *>(Context)->Tuned = false;
        },
        Added.get());
    evbuffer_add_cb(
        bufferevent_get_output(evhttp_connection_get_bufferevent(Added->Http)),
        onOutput, Added.get());
    evbuffer_add_cb(
        bufferevent_get_input(evhttp_connection_get_bufferevent(Added->Http)),
        onInput, Added.get());
    ++this->Counters.Connections;
    return Added;
  }

  std::unique_ptr<Connection> takeConnection(const HttpCall &Call) {
    if (Call.FreshConnection)
      return this->openConnection(Call.To);
    auto Found = this->Idle.find(nameOf(Call.To));
    Instant Now = readClock();
    while (Found != this->Idle.end() && !Found->second.empty()) {
      std::unique_ptr<Connection> Last = std::move(Found->second.back());
      Found->second.pop_back();
      if (Now - Last->IdleSince < MaxIdleTime)
        return Last;
      this->discard(std::move(Last));
    }
    return this->openConnection(Call.To);
  }

  void discard(std::unique_ptr<Connection> Old) {
    this->Garbage.push_back(std::move(Old));
    this->defer();
  }

  // Takes the connection of a call that ended out of use.
  void release(Connection *On, bool Reusable) {
    auto Found = this->Busy.find(On);
    std::unique_ptr<Connection> Freed = std::move(Found->second);
    this->Busy.erase(Found);
    Freed->CallId = 0;
    Freed->Request = nullptr;
    this->OpenBytes -= std::exchange(Freed->Received, 0);
    auto &Kept = this->Idle[Freed->Name];
    if (!Reusable || Kept.size() >= MaxIdlePerEndpoint) {
      this->discard(std::move(Freed));
      return;
    }
    Freed->IdleSince = readClock();
    Kept.push_back(std::move(Freed));
  }

  // Calls ---------------------------------------------------------------------

  void finish(std::uint64_t Id, HttpResult Result, bool Reusable) {
    auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end())
      return;
    if (Result.Failure)
      ++this->Counters.Failures;
    Connection *On = Found->second.On;
    if (On && On->Started)
      Result.SentAfter = On->StartedAt - On->CalledAt;
    this->Results.push_back(
        {Id, std::move(Found->second.Done), std::move(Result)});
    bool Fresh = Found->second.Fresh;
    this->Calls.erase(Found);
    this->Contexts.erase(Id);
    if (On)
      this->release(On, Reusable && !Fresh);
    this->defer();
  }

  void fail(std::uint64_t Id, TargetFailure IfWritten, std::string Detail) {
    auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end())
      return;
    const Connection *On = Found->second.On;
    HttpResult Result;
    Result.Failure = On && On->Written ? IfWritten : TargetFailure::NotSent;
    Result.Detail = On && On->Expired ? "permission ended before the call"
                                      : std::move(Detail);
    this->finish(Id, std::move(Result), false);
  }

  static void onError(evhttp_request_error Error, void *Context) {
    auto *On = static_cast<Connection *>(Context);
    auto Found = On->Client->Calls.find(On->CallId);
    if (Found != On->Client->Calls.end())
      Found->second.Error = Error;
  }

  static void onAnswer(evhttp_request *Request, void *Context) {
    auto *On = static_cast<Connection *>(Context);
    On->Client->handle(*On, Request);
  }

  static int onHead(evhttp_request *, void *Context) {
    static_cast<Connection *>(Context)->Answering = true;
    return 0;
  }

  void handle(Connection &On, evhttp_request *Request) {
    auto Found = this->Calls.find(On.CallId);
    if (Found == this->Calls.end())
      return;
    if (!Request || evhttp_request_get_response_code(Request) == 0) {
      this->handleFailure(On, Found->second.Error);
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
    std::string Wrong =
        this->findFault(On, *Headers, Answer, Found->second.Head);
    if (!Wrong.empty()) {
      this->fail(On.CallId, TargetFailure::Truncated, std::move(Wrong));
      return;
    }
    const char *Wish = evhttp_find_header(Headers, "Connection");
    bool Reusable = !(Wish && internal::equalNames(Wish, "close")) &&
                    !this->hasBytesLeft(On);
    this->finish(On.CallId, std::move(Result), Reusable);
  }

  // Empty if the answer has the length that it states. Keeps the length of the
  // answer to a HEAD request among its headers.
  std::string findFault(const Connection &On, const evkeyvalq &Headers,
                        requests::HttpAnswer &Answer, bool Head) {
    if (internal::hasAmbiguousFraming(Headers))
      return "the framing of the answer is ambiguous";
    const char *Length = evhttp_find_header(&Headers, "Content-Length");
    if (Head && Length)
      Answer.Headers.push_back({"Content-Length", Length});
    bool HasBody = !Head && Answer.Status >= 200 && Answer.Status != 204 &&
                   Answer.Status != 304;
    if (HasBody && Length &&
        std::string_view(Length) != std::to_string(Answer.Body.size()))
      return "the answer states " + std::string(Length) + " bytes and has " +
             std::to_string(Answer.Body.size());
    const requests::Header &Echo = this->Calls.at(On.CallId).Echo;
    const requests::Header *Echoed =
        Echo.Name.empty() ? nullptr
                          : internal::findHeader(Answer.Headers, Echo.Name);
    if (Echoed && Echoed->Value != Echo.Value)
      return "the answer belongs to another request";
    // Without the echo nothing shows which of the bytes are the answer.
    if (!Echoed && hasBytesLeft(On))
      return "bytes follow the answer";
    return {};
  }

  // Bytes after a whole answer belong to no request; the connection is not
  // used again.
  static bool hasBytesLeft(const Connection &On) {
    evbuffer *Input =
        bufferevent_get_input(evhttp_connection_get_bufferevent(On.Http));
    return evbuffer_get_length(Input) != 0;
  }

  void handleFailure(Connection &On,
                     std::optional<evhttp_request_error> Error) {
    bool Malformed = Error && *Error == EVREQ_HTTP_INVALID_HEADER;
    bool TooLong = Error && *Error == EVREQ_HTTP_DATA_TOO_LONG;
    std::string Detail = TooLong        ? "the answer is too large"
                         : Malformed    ? "the answer is malformed"
                         : On.Answering ? "the answer is truncated"
                         : On.Written ? "the connection ended before the answer"
                                      : "the connection was refused";
    this->fail(On.CallId,
               TooLong || Malformed || On.Answering
                   ? TargetFailure::Truncated
                   : TargetFailure::ConnectionLost,
               std::move(Detail));
  }

  static void onTimeout(evutil_socket_t, short, void *Context) {
    TimerContext Own = *static_cast<TimerContext *>(Context);
    OpenCall &Open = Own.Client->Calls.at(Own.Id);
    Instant Now = readClock();
    if (!Open.On->Started) {
      Own.Client->fail(Own.Id, TargetFailure::NotSent,
                       "no connection within the time allowed");
    } else if (Now < Open.Deadline) {
      setTimer(Open, Open.Deadline - Now);
    } else {
      Own.Client->fail(Own.Id, TargetFailure::TimedOut,
                       "no answer within the time allowed");
    }
  }

  static void setTimer(const OpenCall &Open, Duration After) {
    timeval Limit =
        internal::toTimeval(std::max<std::int64_t>(After.count(), 0));
    evtimer_add(Open.Timer.get(), &Limit);
  }

  std::uint64_t call(const HttpCall &Call, Callback Done) {
    std::uint64_t Id = this->NextId++;
    ++this->Counters.Calls;
    OpenCall &Open = this->Calls[Id];
    Open.Done = std::move(Done);
    Open.Fresh = Call.FreshConnection;
    Open.Head = Call.Method == "HEAD";
    if (!Call.EchoHeader.empty())
      if (const requests::Header *Sent =
              internal::findHeader(Call.Headers, Call.EchoHeader))
        Open.Echo = *Sent;
    std::optional<evhttp_cmd_type> Command = internal::commandOf(Call.Method);
    if (!Command) {
      this->fail(Id, TargetFailure::NotSent, "the method is not supported");
      return Id;
    }
    std::unique_ptr<Connection> Taken = this->takeConnection(Call);
    if (!Taken) {
      this->fail(Id, TargetFailure::NotSent, "no connection could be made");
      return Id;
    }
    Connection *On = Taken.get();
    this->Busy[On] = std::move(Taken);
    Open.On = On;
    On->CallId = Id;
    On->Started = On->Written = On->Expired = On->Answering = false;
    On->NotAfter = Call.NotAfter;
    On->CalledAt = readClock();
    TimerContext &Context = this->Contexts[Id] = {this, Id};
    Open.Timer.reset(evtimer_new(this->Base, onTimeout, &Context));
    Open.Deadline = On->CalledAt + Call.Timeout;
    setTimer(Open, std::min(Call.Timeout,
                            Call.ConnectTimeout.value_or(Call.Timeout)));

    evhttp_request *Request = evhttp_request_new(onAnswer, On);
    On->Request = Request;
    evhttp_request_set_error_cb(Request, onError);
    evhttp_request_set_header_cb(Request, onHead);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
    evhttp_add_header(Headers, "Host",
                      Call.Host.empty() ? On->Name.c_str() : Call.Host.c_str());
    internal::addHeaders(*Headers, Call.Headers);
    if (Call.FreshConnection)
      evhttp_add_header(Headers, "Connection", "close");
    if (!Call.Body.empty())
      evbuffer_add(evhttp_request_get_output_buffer(Request), Call.Body.data(),
                   Call.Body.size());
    if (evhttp_make_request(On->Http, Request, *Command, Call.Target.c_str()) !=
        0)
      this->fail(Id, TargetFailure::ConnectionLost,
                 "no connection could be made");
    return Id;
  }

  void cancel(std::uint64_t Id) {
    auto Found = this->Calls.find(Id);
    if (Found == this->Calls.end()) {
      std::erase_if(this->Results,
                    [Id](const EndedCall &Each) { return Each.Id == Id; });
      return;
    }
    Connection *On = Found->second.On;
    this->Calls.erase(Found);
    this->Contexts.erase(Id);
    if (On)
      this->release(On, false);
  }
};

HttpClient::HttpClient(event_base *Base) : Own(std::make_unique<Impl>(Base)) {}

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::call(const HttpCall &Call, Callback Done) {
  return this->Own->call(Call, std::move(Done));
}

void HttpClient::cancel(std::uint64_t Id) { this->Own->cancel(Id); }

void HttpClient::dropIdle(const Endpoint &To) {
  auto Found = this->Own->Idle.find(nameOf(To));
  if (Found == this->Own->Idle.end())
    return;
  for (auto &Each : std::exchange(Found->second, {}))
    this->Own->discard(std::move(Each));
}

std::size_t HttpClient::openCalls() const { return this->Own->Calls.size(); }

const HttpClientCounters &HttpClient::counters() const {
  return this->Own->Counters;
}

} // namespace orioledoor::wire
