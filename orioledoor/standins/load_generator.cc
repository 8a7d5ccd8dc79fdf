// Uses evhttp client connections, each with at most one open request.
#include "orioledoor/standins/load_generator.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <sys/time.h>

#include <algorithm>
#include <ostream>
#include <string_view>
#include <utility>

#include "orioledoor/standins/json_poster.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::standins {
namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(1);
// The service answers at the caller's deadline at the latest; the connection
// waits this much longer, so that an answer at the deadline is counted by its
// status and not as a failed connection.
constexpr Duration AnswerGracePeriod = std::chrono::milliseconds(500);
// Avoids a busy loop on an entry node that refuses connections.
constexpr Duration ReconnectDelay = std::chrono::milliseconds(20);

std::string_view bufferText(evbuffer *Buffer) {
  return {reinterpret_cast<const char *>(evbuffer_pullup(Buffer, -1)),
          evbuffer_get_length(Buffer)};
}

bool hasField(std::string_view Body, std::string_view Field,
              const std::string &Value) {
  std::string Expected = '"' + std::string(Field) + "\":\"" + Value + '"';
  return Body.find(Expected) != std::string_view::npos;
}

} // namespace

struct LoadGenerator::Connection {
  Connection() = default;
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { evhttp_connection_free(this->Http); }

  LoadGenerator *Owner = nullptr;
  evhttp_connection *Http = nullptr;
  std::string Peer;
  // The open request: its due time, key and operation identifier.
  Instant Due;
  std::string Key;
  // Empty for a GET request.
  std::string Operation;
};

LoadGenerator::LoadGenerator(Loop &Events, const LoadOptions &Options,
                             LoadReport &Report, std::ostream *Operations)
    : Events(Events), Options(Options), Report(Report), Operations(Operations),
      Keys(Options.Keys, Options.Seed), Random(Options.Seed + 1),
      Body(Options.BodyBytes, 'x') {
  for (std::uint32_t Index = 0; Index < Options.Connections; ++Index) {
    auto Opened = std::make_unique<Connection>();
    Opened->Owner = this;
    Opened->Peer = Options.Entries[Index % Options.Entries.size()];
    auto [Host, Port] = splitPeer(Opened->Peer);
    Opened->Http = evhttp_connection_base_bufferevent_new(
        Events.base(), nullptr, nullptr, Host.c_str(), Port);
    Duration Limit = Options.Timeout + AnswerGracePeriod;
    timeval Value{};
    Value.tv_sec = Limit.count() / 1'000'000;
    Value.tv_usec = Limit.count() % 1'000'000;
    evhttp_connection_set_timeout_tv(Opened->Http, &Value);
    this->IdleConnections.push_back(Opened.get());
    this->Connections.push_back(std::move(Opened));
  }
  std::ranges::reverse(this->IdleConnections);
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::start() {
  this->Start = readClock();
  if (this->Options.Rate <= 0)
    for (Connection *IdleConn : std::exchange(this->IdleConnections, {}))
      this->sendNext(*IdleConn);
  this->Events.every(TickPeriod,
                     [this, Token = std::weak_ptr(this->LifetimeToken)] {
                       if (!Token.expired())
                         this->sendDueRequests();
                     });
}

void LoadGenerator::sendDueRequests() {
  Duration Elapsed = this->elapsed();
  if (Elapsed >= this->Options.RunTime) {
    if (this->OpenRequests == 0 && this->PendingDueTimes.empty())
      this->Events.stop();
    return;
  }
  // The first request is due at once.
  double Due = this->Options.Rate * static_cast<double>(Elapsed.count()) / 1e6;
  std::uint64_t Expected =
      this->Options.Rate > 0 ? static_cast<std::uint64_t>(Due) + 1 : 0;
  for (; this->ScheduledRequests < Expected; ++this->ScheduledRequests)
    this->PendingDueTimes.push_back(
        this->Start + Duration(static_cast<std::int64_t>(
                          static_cast<double>(this->ScheduledRequests) * 1e6 /
                          this->Options.Rate)));
  while (!this->PendingDueTimes.empty() && !this->IdleConnections.empty()) {
    Connection *IdleConn = this->IdleConnections.back();
    this->IdleConnections.pop_back();
    this->sendNext(*IdleConn);
  }
}

void LoadGenerator::sendNext(Connection &IdleConn) {
  if (this->Options.Rate <= 0) {
    if (this->elapsed() < this->Options.RunTime)
      this->sendRequest(IdleConn, readClock());
    return;
  }
  // Drops requests whose deadline has passed, as their callers would: sending
  // them after a fault would add the load of the fault to the time after it.
  Instant Oldest = readClock() - this->Options.Timeout;
  while (!this->PendingDueTimes.empty() &&
         this->PendingDueTimes.front() < Oldest) {
    LoadSample Unsent;
    Unsent.Second = this->secondOf(this->PendingDueTimes.front());
    Unsent.Status = -2;
    this->Report.add(Unsent);
    this->PendingDueTimes.pop_front();
  }
  if (this->PendingDueTimes.empty())
    return this->IdleConnections.push_back(&IdleConn);
  Instant Due = this->PendingDueTimes.front();
  this->PendingDueTimes.pop_front();
  this->sendRequest(IdleConn, Due);
}

std::uint32_t LoadGenerator::secondOf(Instant Due) const {
  return static_cast<std::uint32_t>((Due - this->Start) /
                                    std::chrono::seconds(1));
}

void LoadGenerator::sendRequest(Connection &IdleConn, Instant Due) {
  IdleConn.Due = Due;
  IdleConn.Key = this->Keys.choose(Due - this->Start);
  IdleConn.Operation.clear();
  bool Post = std::uniform_real_distribution<>()(this->Random) <
              this->Options.PostShare;
  evhttp_request *Request = evhttp_request_new(
      [](evhttp_request *Answer, void *Argument) {
        auto *Conn = static_cast<Connection *>(Argument);
        Conn->Owner->handleAnswer(*Conn, Answer);
      },
      &IdleConn);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", IdleConn.Peer.c_str());
  evhttp_add_header(
      Headers, "Oriole-Timeout-Ms",
      std::to_string(this->Options.Timeout.count() / 1000).c_str());
  if (Post) {
    IdleConn.Operation = "load-" + std::to_string(this->Options.Seed) + '-' +
                         std::to_string(++this->LastOperationNumber);
    evhttp_add_header(Headers, "Idempotency-Key", IdleConn.Operation.c_str());
    evhttp_add_header(Headers, "Oriole-Attempt", "1");
    evbuffer_add(evhttp_request_get_output_buffer(Request), this->Body.data(),
                 this->Body.size());
  }
  ++this->OpenRequests;
  std::string Path = '/' + this->Options.Service + '/' + IdleConn.Key;
  evhttp_make_request(IdleConn.Http, Request,
                      Post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, Path.c_str());
}

void LoadGenerator::handleAnswer(Connection &Conn, evhttp_request *Answer) {
  --this->OpenRequests;
  LoadSample Sample;
  Sample.Second = this->secondOf(Conn.Due);
  Sample.Latency = readClock() - Conn.Due;
  Sample.Status = Answer ? evhttp_request_get_response_code(Answer) : -1;
  std::string Outcome = "-";
  if (Sample.Status > 0) {
    std::string_view Text = bufferText(evhttp_request_get_input_buffer(Answer));
    if (Sample.Status == 200)
      Sample.Misrouted = !hasField(Text, "key", Conn.Key) ||
                         (!Conn.Operation.empty() &&
                          !hasField(Text, "operation", Conn.Operation));
    if (const char *Given = evhttp_find_header(
            evhttp_request_get_input_headers(Answer), "Oriole-Outcome"))
      Outcome = Given;
  }
  this->Report.add(Sample);
  if (this->Operations && !Conn.Operation.empty())
    *this->Operations << Conn.Operation << ' ' << Conn.Key << ' '
                      << Sample.Status << ' ' << Outcome << '\n';
  // Deferred: evhttp may call back from within sendRequest().
  this->Events.after(Sample.Status > 0 ? Duration(0) : ReconnectDelay,
                     [this, &Conn, Token = std::weak_ptr(this->LifetimeToken)] {
                       if (!Token.expired())
                         this->sendNext(Conn);
                     });
}

} // namespace orioledoor::standins
