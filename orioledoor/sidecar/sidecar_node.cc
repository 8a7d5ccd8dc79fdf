// Turns the world into events for the reducer and its effects into calls.
#include "orioledoor/sidecar/sidecar_node.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

#include <event2/event.h>

#include "orioledoor/platform/config_codec.h"
#include "orioledoor/platform/names.h"
#include "orioledoor/platform/platform_store.h"
#include "orioledoor/platform/report_codec.h"
#include "orioledoor/platform/request_codec.h"
#include "orioledoor/routing/message_codec.h"
#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/log_limiter.h"
#include "orioledoor/sidecar/reducer.h"
#include "orioledoor/telemetry/logger.h"
#include "orioledoor/telemetry/metrics.h"
#include "orioledoor/telemetry/response_metrics.h"
#include "orioledoor/wire/http_client.h"
#include "orioledoor/wire/http_server.h"
#include "orioledoor/wire/peer_transport.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;

// Deadlines, queues and the probes of the peer transport are checked this
// often; the transport's shortest limit is 250 ms.
constexpr Duration TickInterval = milliseconds(20);
// The target answers at its deadline; its answer may take this much longer.
constexpr Duration TargetSlack = milliseconds(40);
// The target is on this VM, where a connection takes a millisecond or two. A
// target that is gone without a sign, or whose queue of connections is full,
// drops the opening packet, which TCP repeats after a second; another target
// may have room meanwhile.
constexpr Duration TargetConnectTime = milliseconds(250);
// Pause between two lines about dropped log lines.
constexpr Duration DropReportInterval = std::chrono::seconds(5);
// A frame between nodes holds a body and its headers.
constexpr std::size_t MaxForwardBody = wire::MaxPayloadBytes - (256U << 10);

struct EventDeleter {
  void operator()(event *Owned) const { event_free(Owned); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

std::uint64_t newProcessId() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

std::string peerAddress(const Endpoint &At) {
  return "tcp://" + At.Host + ":" + std::to_string(At.Port);
}

routing::CallFailure failureOf(requests::TargetFailure Failure) {
  switch (Failure) {
  case requests::TargetFailure::NotSent:
    return routing::CallFailure::NotSent;
  case requests::TargetFailure::TimedOut:
    return routing::CallFailure::TimedOut;
  default:
    return routing::CallFailure::Broken;
  }
}

// Per second; bits to bytes.
constexpr double BytesPerMbit = 1e6 / 8;

SidecarOptions optionsOf(const SidecarSettings &Settings) {
  SidecarOptions Options;
  Options.Node = peerAddress(Settings.Peer);
  Options.Process = newProcessId();
  Options.Place = {Settings.FailureDomain, Settings.Region};
  Options.Service = Settings.Service;
  Options.ConfigKey = platform::names::ConfigKey;
  Options.DrainTime = Settings.DrainTime;
  Options.StopGrace = Settings.StopGrace;
  Options.LinkBytesPerSecond = Settings.LinkMbps * BytesPerMbit;
  Options.RetryRatio = Settings.RetryRatio;
  Options.RetryExtra = Settings.RetryExtra;
  Options.RetryWindow = Settings.RetryWindow;
  Options.Keys.Grants.MaxHoldTime = Settings.MaxHoldTime;
  return Options;
}

} // namespace

struct SidecarNode::Impl {
  event_base *Base;
  SidecarSettings Settings;
  Logger &Log;
  LogLimiter Limiter;
  MetricsRegistry Metrics;
  ResponseMetrics Answers{Metrics, StatusLabel::Exact};
  SidecarReducer Reducer;
  platform::PlatformStore Store;
  wire::HttpClient TargetClient;
  std::unique_ptr<wire::PeerTransport> Peers;
  std::unique_ptr<wire::HttpServer> Outbound;
  std::unique_ptr<wire::HttpServer> Control;
  std::unique_ptr<wire::HttpServer> Ready;
  std::unique_ptr<wire::HttpServer> MetricsPage;
  // Open calls of the target: the reducer's number to the client's.
  std::unordered_map<std::uint64_t, std::uint64_t> TargetCalls;
  EventPtr Ticker;
  Instant DropsReportedAt;
  // Events that happen while another one is being handled.
  std::vector<Event> Waiting;
  bool Handling = false;

  Impl(event_base *Base, const SidecarSettings &Settings, Logger &Log)
      : Base(Base), Settings(Settings), Log(Log), Reducer(optionsOf(Settings)),
        Store(Base, Settings.Store, {},
              [this](const LogRecord &Record) { this->write(Record); }),
        TargetClient(Base) {}

  void write(const LogRecord &Record) {
    if (this->Limiter.allow(Record.Event->Number, readClock()))
      this->Log.write(Record);
  }

  // The reducer
  // ----------------------------------------------------------------

  void feed(Event Happened) {
    this->Waiting.push_back(std::move(Happened));
    if (std::exchange(this->Handling, true))
      return;
    while (!this->Waiting.empty()) {
      std::vector<Event> Batch = std::exchange(this->Waiting, {});
      for (Event &Each : Batch)
        for (Effect &Out : this->Reducer.handle(std::move(Each), readClock()))
          std::visit([this](auto &Asked) { this->carryOut(std::move(Asked)); },
                     Out);
    }
    this->Handling = false;
  }

  void carryOut(const ReplyToCaller &Asked) {
    auto Took = this->Outbound->reply(Asked.Caller, Asked.Answer);
    if (Took)
      this->Answers.record(Asked.Answer.Status, *Took);
  }

  void carryOut(const SendMessage &Asked) {
    wire::FrameTag Tag;
    if (const auto *Sent = std::get_if<routing::Forward>(&Asked.Body)) {
      Tag.Id = Sent->Id;
      this->Peers->awaitAnswer(Asked.To, readClock() + Sent->TimeLeft);
    } else if (const auto *Resumed =
                   std::get_if<routing::ResumeForward>(&Asked.Body)) {
      Tag.Id = Resumed->Id;
    } else if (const auto *Content =
                   std::get_if<routing::ForwardBody>(&Asked.Body)) {
      Tag.Id = Content->Id;
    }
    this->Peers->send(Asked.To, wire::Channel::Requests,
                      routing::encodeMessage(Asked.Body), Tag);
  }

  void carryOut(const StartCall &Asked) {
    std::uint64_t Call = Asked.Call;
    wire::HttpCall Sent = platform::encodeTargetCall(Asked);
    Sent.To = this->Settings.Target;
    Sent.Timeout = Asked.TimeLeft + TargetSlack;
    Sent.ConnectTimeout = TargetConnectTime;
    this->TargetCalls[Call] =
        this->TargetClient.call(Sent, [this, Call](wire::HttpResult Result) {
          this->TargetCalls.erase(Call);
          if (Result.Failure) {
            this->feed(TargetFailed{Call, failureOf(*Result.Failure),
                                    std::move(Result.Detail)});
            return;
          }
          bool NotRun = platform::statesNotRun(Result.Answer);
          this->feed(TargetAnswered{Call, std::move(Result.Answer), NotRun});
        });
  }

  void carryOut(const CancelCall &Asked) {
    auto Found = this->TargetCalls.find(Asked.Call);
    if (Found == this->TargetCalls.end())
      return;
    this->TargetClient.cancel(Found->second);
    this->TargetCalls.erase(Found);
  }

  void carryOut(const LogRecord &Asked) { this->write(Asked); }

  void carryOut(const AnswerReport &Asked) {
    this->Control->reply(Asked.Id,
                         {200,
                          {{"Content-Type", "application/json"}},
                          platform::encodeReportAnswer(Asked.Answer)});
  }

  void carryOut(CallStore Asked) {
    this->Store.call(std::move(Asked.Request), [this](StoreReply Reply) {
      this->feed(StoreReplied{std::move(Reply)});
    });
  }

  void carryOut(const WatchStore &Asked) {
    this->Store.watch(NodePrefix, Asked.Revision,
                      [this](StoreWatchUpdate Update) {
                        this->feed(StoreWatched{std::move(Update)});
                      });
  }

  void carryOut(const PaceWatch &Asked) {
    this->Store.setPause(NodePrefix, Asked.Pause);
  }

  void carryOut(StopAccepting) { this->Outbound->stopAccepting(); }

  void carryOut(Exit) { event_base_loopbreak(this->Base); }

  // Callers
  // --------------------------------------------------------------------

  void received(std::uint64_t Id, wire::IncomingRequest Request) {
    this->feed(
        CallerCame{platform::decodeCallerRequest(Id, std::move(Request))});
  }

  // Reports of the target
  // ------------------------------------------------------

  void reported(std::uint64_t Id, const wire::IncomingRequest &Request) {
    if (auto Instance = platform::decodeDeregister(Request.Target)) {
      this->feed(TargetLeft{*Instance});
      this->Control->reply(Id, {200, {}, ""});
      return;
    }
    absl::StatusOr<routing::TargetReport> Report =
        platform::decodeReport(Request.Target, Request.Body);
    if (!Report.ok()) {
      this->write({&events::ReportUnreadable,
                   {{"path", Request.Target},
                    {"why", std::string(Report.status().message())}}});
      this->Control->reply(Id, wire::errorAnswer(400, Report.status()));
      return;
    }
    this->feed(TargetReported{Id, *std::move(Report)});
  }

  // Configuration
  // --------------------------------------------------------------

  void carryOut(ReadConfig Asked) {
    this->Store.call({.Body = std::move(Asked.Range)},
                     [this](StoreReply Reply) {
                       this->feed(ConfigReplied{std::move(Reply)});
                     });
  }

  void carryOut(const WatchConfig &Asked) {
    this->Store.watch(platform::names::ConfigKey, Asked.Revision,
                      [this](StoreWatchUpdate Update) {
                        this->feed(ConfigWatched{std::move(Update)});
                      });
  }

  void carryOut(DecodeConfig Asked) {
    absl::StatusOr<routing::RouteTable> Table =
        platform::decodeConfig(Asked.Document);
    if (!Table.ok()) {
      this->write({&events::ConfigRefused,
                   {{"from", Asked.Node.empty() ? "store" : Asked.Node},
                    {"why", std::string(Table.status().message())}}});
      return;
    }
    this->feed(ConfigRead{
        std::make_shared<const routing::RouteTable>(*std::move(Table)),
        std::move(Asked.Node)});
  }

  void carryOut(const ApplyLimits &Asked) {
    auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(
        Asked.Limits.IdleTimeout);
    this->Outbound->setIdleTimeout(Seconds + std::chrono::seconds(1));
  }

  // Time and pages
  // -------------------------------------------------------------

  void tick() {
    Instant Now = readClock();
    this->feed(Ticked{});
    this->Peers->tick(Now);
    if (Now - this->DropsReportedAt < DropReportInterval)
      return;
    this->DropsReportedAt = Now;
    if (std::uint64_t Dropped = this->Limiter.takeDropped())
      this->Log.write(
          {&events::LogDropped, {{"lines", std::to_string(Dropped)}}});
  }

  std::string metricsText() {
    const routing::TargetGate &Gate = this->Reducer.gate();
    this->Metrics.gauge("oriole_gate_running").set(Gate.queue().running());
    this->Metrics.gauge("oriole_gate_waiting")
        .set(static_cast<double>(Gate.queue().waiting()));
    this->Metrics.gauge("oriole_gate_slot_seconds")
        .set(static_cast<double>(Gate.queue().serviceTime().count()) / 1e6);
    this->Metrics.gauge("oriole_entry_open")
        .set(static_cast<double>(this->Reducer.entry().openRequests()));
    this->Metrics.gauge("oriole_nodes")
        .set(static_cast<double>(this->Reducer.membership().nodes().size()));
    this->Metrics.counter("oriole_store_calls_total")
        .set(this->Store.counters().Calls);
    this->Metrics.counter("oriole_store_failures_total")
        .set(this->Store.counters().Failures);
    this->Metrics.counter("oriole_store_watch_interruptions_total")
        .set(this->Store.counters().WatchInterruptions);
    this->Metrics.counter("oriole_peer_connections_lost_total")
        .set(this->Peers->counters().ConnectionsLost);
    this->Metrics.counter("oriole_target_connections_total")
        .set(this->TargetClient.counters().Connections);
    const auto &Table = this->Reducer.entry().table();
    this->Metrics.gauge("oriole_config_version")
        .set(Table ? static_cast<double>(Table->Version) : 0);
    return this->Metrics.text();
  }

  absl::Status listen() {
    auto Opened = wire::PeerTransport::open(
        this->Base, {.Address = peerAddress(this->Settings.Peer)},
        {.Received =
             [this](std::string_view From, wire::Channel,
                    std::string_view Payload) {
               this->peerSpoke(From, Payload);
             },
         .NotSent =
             [this](std::string_view To, wire::Channel, wire::FrameTag Tag) {
               if (Tag.Id != 0)
                 this->feed(ForwardNotSent{std::string(To), Tag.Id});
             },
         .Lost =
             [this](std::string_view Peer) {
               this->feed(PeerBroke{std::string(Peer)});
             },
         .Log = [this](const LogRecord &Record) { this->write(Record); }});
    if (!Opened.ok())
      return Opened.status();
    this->Peers = *std::move(Opened);
    return this->listenHttp();
  }

  void peerSpoke(std::string_view From, std::string_view Payload) {
    absl::StatusOr<routing::Message> Body = routing::decodeMessage(Payload);
    if (!Body.ok()) {
      this->write({&events::NodeMessageRefused,
                   {{"peer", std::string(From)},
                    {"why", std::string(Body.status().message())}}});
      return;
    }
    if (std::holds_alternative<routing::ForwardResult>(*Body))
      this->Peers->answered(From);
    this->feed(PeerSpoke{std::string(From), *std::move(Body)});
  }

  absl::Status listenHttp() {
    using Server = wire::HttpServer;
    auto Open = [this](std::unique_ptr<Server> &Kept, const Endpoint &At,
                       wire::HttpServerCallbacks Callbacks) {
      wire::HttpServerOptions Options{.Listen = At};
      Options.MaxBodyBytes = MaxForwardBody;
      auto Opened = Server::open(this->Base, Options, std::move(Callbacks));
      if (!Opened.ok())
        return Opened.status();
      Kept = *std::move(Opened);
      return absl::OkStatus();
    };
    auto Ignore = [](std::uint64_t) {};
    if (auto Done = Open(
            this->Outbound, this->Settings.Outbound,
            {.Received =
                 [this](std::uint64_t Id, wire::IncomingRequest Request) {
                   this->received(Id, std::move(Request));
                 },
             .Gone = [this](std::uint64_t Id) { this->feed(CallerWent{Id}); }});
        !Done.ok())
      return Done;
    if (auto Done = Open(
            this->Control, this->Settings.Control,
            {.Received =
                 [this](std::uint64_t Id, const wire::IncomingRequest &Of) {
                   this->reported(Id, Of);
                 },
             .Gone = Ignore});
        !Done.ok())
      return Done;
    if (auto Done =
            Open(this->Ready, this->Settings.Ready,
                 {.Received =
                      [this](std::uint64_t Id, const wire::IncomingRequest &) {
                        int Status = this->Reducer.ready() ? 200 : 503;
                        this->Ready->reply(Id, {Status, {}, ""});
                      },
                  .Gone = Ignore});
        !Done.ok())
      return Done;
    return Open(this->MetricsPage, this->Settings.Metrics,
                {.Received =
                     [this](std::uint64_t Id, const wire::IncomingRequest &) {
                       this->MetricsPage->reply(
                           Id, {200,
                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                this->metricsText()});
                     },
                 .Gone = Ignore});
  }

  absl::Status start() {
    if (absl::Status Done = this->listen(); !Done.ok())
      return Done;
    this->Ticker.reset(event_new(
        this->Base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void *Self) {
          static_cast<Impl *>(Self)->tick();
        },
        this));
    timeval Every{0, static_cast<suseconds_t>(TickInterval.count())};
    evtimer_add(this->Ticker.get(), &Every);
    this->write({&events::SidecarStarted,
                 {{"node", peerAddress(this->Settings.Peer)},
                  {"failure_domain", this->Settings.FailureDomain},
                  {"service", this->Settings.Service}}});
    this->feed(Started{});
    return absl::OkStatus();
  }
};

SidecarNode::SidecarNode(std::unique_ptr<Impl> Own) : Own(std::move(Own)) {}

SidecarNode::~SidecarNode() = default;

absl::StatusOr<std::unique_ptr<SidecarNode>>
SidecarNode::start(event_base *Base, const SidecarSettings &Settings,
                   Logger &Log) {
  auto Own = std::make_unique<Impl>(Base, Settings, Log);
  if (absl::Status Done = Own->start(); !Done.ok())
    return Done;
  return std::unique_ptr<SidecarNode>(new SidecarNode(std::move(Own)));
}

void SidecarNode::reload(const absl::StatusOr<SidecarSettings> &Settings) {
  if (!Settings.ok()) {
    this->Own->write({&events::SettingsRefused,
                      {{"why", std::string(Settings.status().message())}}});
    return;
  }
  this->Own->feed(SettingsRead{Settings->Service});
}

void SidecarNode::requestStop() { this->Own->feed(StopAsked{}); }

} // namespace orioledoor::sidecar
