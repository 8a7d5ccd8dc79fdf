// evhttp client connections, each with one request at a time.
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
// waits a little longer, so that a late answer shows as its status.
constexpr Duration AnswerGrace = std::chrono::milliseconds(500);
// An entry node that refuses connections is not tried in a busy loop.
constexpr Duration ReconnectPause = std::chrono::milliseconds(20);

std::string_view textOf(evbuffer *Buffer) {
  return {reinterpret_cast<const char *>(evbuffer_pullup(Buffer, -1)),
          evbuffer_get_length(Buffer)};
}

bool echoes(std::string_view Body, std::string_view Field,
            const std::string &Value) {
  std::string Wanted = '"' + std::string(Field) + "\":\"" + Value + '"';
  return Body.find(Wanted) != std::string_view::npos;
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
  // Of the open request.
  Instant Due;
  std::string Key;
  // Empty for a GET.
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
    Duration Limit = Options.Timeout + AnswerGrace;
    timeval Value{};
    Value.tv_sec = Limit.count() / 1'000'000;
    Value.tv_usec = Limit.count() % 1'000'000;
    evhttp_connection_set_timeout_tv(Opened->Http, &Value);
    this->Idle.push_back(Opened.get());
    this->Connections.push_back(std::move(Opened));
  }
  std::ranges::reverse(this->Idle);
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::start() {
  this->Start = readClock();
  if (this->Options.Rate <= 0)
    for (Connection *Free : std::exchange(this->Idle, {}))
      this->next(*Free);
  this->Events.every(TickPeriod, [this, Token = std::weak_ptr(this->Alive)] {
    if (!Token.expired())
      this->tick();
  });
}

void LoadGenerator::tick() {
  Duration Elapsed = this->elapsed();
  if (Elapsed >= this->Options.Length) {
    if (this->Open == 0 && this->Waiting.empty())
      this->Events.stop();
    return;
  }
  // The first request is due at once.
  double Due = this->Options.Rate * static_cast<double>(Elapsed.count()) / 1e6;
  std::uint64_t Wanted =
      this->Options.Rate > 0 ? static_cast<std::uint64_t>(Due) + 1 : 0;
  for (; this->Scheduled < Wanted; ++this->Scheduled)
    this->Waiting.push_back(
        this->Start +
        Duration(static_cast<std::int64_t>(
            static_cast<double>(this->Scheduled) * 1e6 / this->Options.Rate)));
  while (!this->Waiting.empty() && !this->Idle.empty()) {
    Connection *Free = this->Idle.back();
    this->Idle.pop_back();
    this->next(*Free);
  }
}

void LoadGenerator::next(Connection &Free) {
  if (this->Options.Rate <= 0) {
    if (this->elapsed() < this->Options.Length)
      this->send(Free, readClock());
    return;
  }
  // A caller gives up at its deadline; sending its request later would burden
  // the seconds after a fault with the requests of the fault.
  Instant Oldest = readClock() - this->Options.Timeout;
  while (!this->Waiting.empty() && this->Waiting.front() < Oldest) {
    LoadSample Missed;
    Missed.Second = this->secondOf(this->Waiting.front());
    Missed.Status = -2;
    this->Report.add(Missed);
    this->Waiting.pop_front();
  }
  if (this->Waiting.empty())
    return this->Idle.push_back(&Free);
  Instant Due = this->Waiting.front();
  this->Waiting.pop_front();
  this->send(Free, Due);
}

std::uint32_t LoadGenerator::secondOf(Instant Due) const {
  return static_cast<std::uint32_t>((Due - this->Start) /
                                    std::chrono::seconds(1));
}

void LoadGenerator::send(Connection &Free, Instant Due) {
  Free.Due = Due;
  Free.Key = this->Keys.choose(Due - this->Start);
  Free.Operation.clear();
  bool Post = std::uniform_real_distribution<>()(this->Random) <
              this->Options.PostShare;
  evhttp_request *Request = evhttp_request_new(
      [](evhttp_request *Answer, void *Argument) {
        auto *Used = static_cast<Connection *>(Argument);
        Used->Owner->ended(*Used, Answer);
      },
      &Free);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", Free.Peer.c_str());
  evhttp_add_header(
      Headers, "Oriole-Timeout-Ms",
      std::to_string(this->Options.Timeout.count() / 1000).c_str());
  if (Post) {
    Free.Operation = "load-" + std::to_string(this->Options.Seed) + '-' +
                     std::to_string(++this->LastOperation);
    evhttp_add_header(Headers, "Idempotency-Key", Free.Operation.c_str());
    evhttp_add_header(Headers, "Oriole-Attempt", "1");
    evbuffer_add(evhttp_request_get_output_buffer(Request), this->Body.data(),
                 this->Body.size());
  }
  ++this->Open;
  std::string Path = '/' + this->Options.Service + '/' + Free.Key;
  evhttp_make_request(Free.Http, Request,
                      Post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, Path.c_str());
}

void LoadGenerator::ended(Connection &Used, evhttp_request *Answer) {
  --this->Open;
  LoadSample Sample;
  Sample.Second = this->secondOf(Used.Due);
  Sample.Latency = readClock() - Used.Due;
  Sample.Status = Answer ? evhttp_request_get_response_code(Answer) : -1;
  std::string Outcome = "-";
  if (Sample.Status > 0) {
    std::string_view Text = textOf(evhttp_request_get_input_buffer(Answer));
    if (Sample.Status == 200)
      Sample.Misrouted = !echoes(Text, "key", Used.Key) ||
                         (!Used.Operation.empty() &&
                          !echoes(Text, "operation", Used.Operation));
    if (const char *Given = evhttp_find_header(
            evhttp_request_get_input_headers(Answer), "Oriole-Outcome"))
      Outcome = Given;
  }
  this->Report.add(Sample);
  if (this->Operations && !Used.Operation.empty())
    *this->Operations << Used.Operation << ' ' << Used.Key << ' '
                      << Sample.Status << ' ' << Outcome << '\n';
  // Not inside evhttp's callback, which may come from send() itself.
  this->Events.after(Sample.Status > 0 ? Duration(0) : ReconnectPause,
                     [this, &Used, Token = std::weak_ptr(this->Alive)] {
                       if (!Token.expired())
                         this->next(Used);
                     });
}

} // namespace orioledoor::standins
