// Translates inputs of the process into events for the reducer and executes its
// effects.
#include "orioledoor/sidecar/sidecar_node.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

#include <event2/event.h>

#include "orioledoor/base/error.h"
#include "orioledoor/base/wall_clock.h"
#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/platform/config_codec.h"
#include "orioledoor/platform/names.h"
#include "orioledoor/platform/platform_store.h"
#include "orioledoor/platform/report_codec.h"
#include "orioledoor/platform/request_codec.h"
#include "orioledoor/routing/message_codec.h"
#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/log_limiter.h"
#include "orioledoor/sidecar/node_metrics.h"
#include "orioledoor/sidecar/peer_traffic.h"
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

// Interval at which deadlines, queues and the probes of the peer transport are
// checked; the shortest limit of the transport is 250 ms.
constexpr Duration TickInterval = milliseconds(20);
// Shortest time without a tick that is logged.
constexpr Duration MinReportedGap = milliseconds(250);
// The target answers at its deadline; its answer may arrive this much later.
constexpr Duration TargetResponseMargin = milliseconds(40);
// The target is on this VM, where connecting takes a millisecond or two. A
// target that vanished silently, or whose accept queue is full, drops the
// opening packet, which TCP repeats only after a second; another target may
// have room in the meantime.
constexpr Duration TargetConnectTime = milliseconds(250);
// Interval between log lines about dropped log lines.
constexpr Duration DropReportInterval = std::chrono::seconds(5);
// A frame between nodes contains a body and its headers.
constexpr std::size_t MaxForwardBody = wire::MaxPayloadBytes - (256U << 10);

// Share of the memory for bodies of callers' requests. A node has each of them
// up to three times (as received, in a message, in a call), and as many of
// other nodes' callers.
constexpr double HeldBodyShare = 1.0 / 8;

// Scope of the tags of cancellations.
constexpr std::uint64_t CancelScope = 1;

struct EventDeleter {
  void operator()(event *Owned) const { event_free(Owned); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

std::uint64_t newProcessId() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

std::string peerAddress(const Endpoint &Address) {
  return "tcp://" + formatEndpoint(Address);
}

routing::CallFailure toCallFailure(requests::TargetFailure Failure) {
  switch (Failure) {
  case requests::TargetFailure::NotSent:
    return routing::CallFailure::NotSent;
  case requests::TargetFailure::TimedOut:
    return routing::CallFailure::TimedOut;
  default:
    return routing::CallFailure::Broken;
  }
}

// Share of the process's memory for the answers that wait for the link, and for
// those that are kept in case a connection breaks; the same as for the bodies
// of requests.
constexpr double AnswerMemoryShare = 0.125;
constexpr std::int64_t MicrosPerMilli = 1000;
// Bytes per second in one Mbit/s.
constexpr double BytesPerMbit = 1e6 / 8;

SidecarOptions makeOptions(const SidecarSettings &Settings) {
  SidecarOptions Options;
  Options.Node = peerAddress(Settings.Peer);
  Options.Process = newProcessId();
  Options.Place = {Settings.FailureDomain, Settings.Region};
  Options.Service = Settings.Service;
  Options.TargetAddress = formatEndpoint(Settings.Target);
  Options.OperatorPrefix = platform::names::OperatorPrefix;
  Options.DrainTime = Settings.DrainTime;
  Options.StopGrace = Settings.StopGrace;
  Options.LinkBytesPerSecond = Settings.LinkMbps * BytesPerMbit;
  Options.AnswerMemoryBytes =
      static_cast<std::uint64_t>(Settings.MemoryMb * AnswerMemoryShare * 1e6);
  Options.RetryRatio = Settings.RetryRatio;
  Options.RetryExtra = Settings.RetryExtra;
  Options.RetryWindow = Settings.RetryWindow;
  Options.ColdOverage = Settings.ColdOverage;
  Options.ColdSlack = Settings.ColdSlack;
  Options.EvacuationTime = Settings.EvacuationTime;
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
  PeerTraffic Traffic{Metrics};
  SidecarReducer Reducer;
  platform::PlatformStore Store;
  wire::HttpClient TargetClient;
  std::unique_ptr<wire::PeerTransport> Peers;
  std::unique_ptr<wire::HttpServer> OutboundServer;
  std::unique_ptr<wire::HttpServer> ControlServer;
  std::unique_ptr<wire::HttpServer> ReadinessServer;
  std::unique_ptr<wire::HttpServer> MetricsServer;
  // Open calls to the target: the reducer's call id to the client's.
  std::unordered_map<std::uint64_t, std::uint64_t> TargetCalls;
  EventPtr TickTimer;
  Instant DropsReportedAt;
  Instant LastTickAt;
  // Events that occurred while another one is being handled.
  std::vector<Event> PendingEvents;
  bool Dispatching = false;
  std::function<void()> ReadSettingsAgain;

  Impl(event_base *Base, const SidecarSettings &Settings, Logger &Log)
      : Base(Base), Settings(Settings), Log(Log),
        Reducer(makeOptions(Settings)),
        Store(Base, Settings.Store, {},
              [this](const LogRecord &Record) { this->write(Record); }),
        TargetClient(Base) {}

  void write(const LogRecord &Record) {
    if (this->Limiter.allow(Record.Event->Number, readClock()))
      this->Log.write(Record);
  }

  // The reducer
  // ----------------------------------------------------------------

  void dispatch(Event NewEvent) {
    this->PendingEvents.push_back(std::move(NewEvent));
    if (std::exchange(this->Dispatching, true))
      return;
    while (!this->PendingEvents.empty()) {
      std::vector<Event> Batch = std::exchange(this->PendingEvents, {});
      for (Event &PendingEvent : Batch)
        for (Effect &NewEffect :
             this->Reducer.handle(std::move(PendingEvent), readClock()))
          std::visit(
              [this](auto &Concrete) { this->execute(std::move(Concrete)); },
              NewEffect);
    }
    this->Dispatching = false;
  }

  void execute(const ReplyToCaller &NewEffect) {
    auto Elapsed =
        this->OutboundServer->reply(NewEffect.Caller, NewEffect.Answer);
    if (Elapsed)
      this->Answers.record(NewEffect.Answer.Status, *Elapsed);
  }

  void execute(const SendMessage &NewEffect) {
    wire::FrameTag Tag;
    if (const auto *Forward = std::get_if<routing::Forward>(&NewEffect.Body)) {
      Tag.Id = Forward->Id;
      this->Peers->expectAnswer(NewEffect.To, readClock() + Forward->TimeLeft);
    } else if (const auto *Resume =
                   std::get_if<routing::ResumeForward>(&NewEffect.Body)) {
      Tag.Id = Resume->Id;
    } else if (const auto *Body =
                   std::get_if<routing::ForwardBody>(&NewEffect.Body)) {
      Tag.Id = Body->Id;
    } else if (const auto *Cancel =
                   std::get_if<routing::CancelForward>(&NewEffect.Body)) {
      Tag = {CancelScope, Cancel->Id};
    }
    std::string Bytes = routing::encodeMessage(NewEffect.Body);
    const routing::TargetDirectory &Directory = this->Reducer.directory();
    if (const routing::TargetView *View = Directory.find(NewEffect.To))
      this->Traffic.recordSent(NewEffect.Body,
                               Directory.distanceTo(View->Place), Bytes.size());
    this->Peers->send(NewEffect.To, wire::Channel::Requests, Bytes, Tag);
  }

  void execute(const StartCall &NewEffect) {
    std::uint64_t Call = NewEffect.CallId;
    wire::HttpCall HttpRequest = platform::encodeTargetCall(NewEffect);
    HttpRequest.Server = this->Settings.Target;
    HttpRequest.Timeout = NewEffect.TimeLeft + TargetResponseMargin;
    HttpRequest.ConnectTimeout = TargetConnectTime;
    this->TargetCalls[Call] = this->TargetClient.call(
        HttpRequest, [this, Call](wire::HttpResult Result) {
          this->TargetCalls.erase(Call);
          if (Result.Failure) {
            this->dispatch(TargetFailed{Call, toCallFailure(*Result.Failure),
                                        std::move(Result.Detail)});
            return;
          }
          bool NotRun = platform::isNotExecuted(Result.Answer);
          auto Signals = platform::decodeTargetSignals(Result.Answer);
          this->dispatch(
              TargetAnswered{Call, std::move(Result.Answer), NotRun, Signals});
        });
  }

  void execute(const CancelCall &NewEffect) {
    auto Found = this->TargetCalls.find(NewEffect.CallId);
    if (Found == this->TargetCalls.end())
      return;
    this->TargetClient.cancel(Found->second);
    this->TargetCalls.erase(Found);
  }

  void execute(const LogRecord &NewEffect) { this->write(NewEffect); }

  void execute(const ReplyToReport &NewEffect) {
    this->ControlServer->reply(
        NewEffect.Id, {200,
                       {{"Content-Type", "application/json"}},
                       platform::encodeReportAnswer(NewEffect.Answer)});
  }

  void execute(const RefuseReport &NewEffect) {
    this->ControlServer->reply(
        NewEffect.Id,
        wire::errorAnswer(409,
                          makeError(absl::StatusCode::kFailedPrecondition,
                                    "accept report", "target", NewEffect.Why)));
  }

  void execute(CallStore NewEffect) {
    this->Store.call(std::move(NewEffect.Request), [this](StoreReply Reply) {
      this->dispatch(StoreReplyReceived{std::move(Reply)});
    });
  }

  void execute(const WatchStore &NewEffect) {
    this->Store.watch(NodePrefix, NewEffect.Revision,
                      [this](StoreWatchUpdate Update) {
                        this->dispatch(StoreWatchUpdated{std::move(Update)});
                      });
  }

  void execute(const SetWatchPause &NewEffect) {
    this->Store.setWatchPause(NodePrefix, NewEffect.Pause);
  }

  void execute(StopAccepting) { this->OutboundServer->stopAccepting(); }

  void execute(Exit) { event_base_loopbreak(this->Base); }

  // Callers
  // --------------------------------------------------------------------

  void onCallerRequest(std::uint64_t Id, wire::IncomingRequest Request) {
    this->dispatch(CallerRequestReceived{
        platform::decodeCallerRequest(Id, std::move(Request))});
  }

  // Reports of the target
  // ------------------------------------------------------

  void onTargetReport(std::uint64_t Id, const wire::IncomingRequest &Request) {
    if (auto Instance = platform::decodeDeregisterPath(Request.Target)) {
      this->dispatch(
          TargetDeregistered{*Instance, readWallMicros() / MicrosPerMilli});
      this->ControlServer->reply(Id, {200, {}, ""});
      return;
    }
    absl::StatusOr<routing::TargetReport> Report =
        platform::decodeReport(Request.Target, Request.Body);
    if (!Report.ok()) {
      this->write({&events::ReportUnreadable,
                   {{"path", Request.Target},
                    {"why", std::string(Report.status().message())}}});
      this->ControlServer->reply(Id, wire::errorAnswer(400, Report.status()));
      return;
    }
    if (Report->Service != this->Reducer.service() && this->ReadSettingsAgain)
      this->ReadSettingsAgain();
    this->dispatch(TargetReportReceived{Id, *std::move(Report)});
  }

  // Configuration
  // --------------------------------------------------------------

  void execute(ReadConfig NewEffect) {
    this->Store.call({.Body = std::move(NewEffect.Range)},
                     [this](StoreReply Reply) {
                       this->dispatch(ConfigReadReplied{std::move(Reply)});
                     });
  }

  void execute(const WatchConfig &NewEffect) {
    this->Store.watch(platform::names::OperatorPrefix, NewEffect.Revision,
                      [this](StoreWatchUpdate Update) {
                        this->dispatch(ConfigWatchUpdated{std::move(Update)});
                      });
  }

  void execute(const SetConfigWatchSchedule &NewEffect) {
    this->Store.setWatchWaits(platform::names::OperatorPrefix,
                              NewEffect.Schedule.First,
                              NewEffect.Schedule.Interval);
  }

  void execute(DecodeConfig NewEffect) {
    absl::StatusOr<routing::RouteTable> Table =
        platform::decodeConfig(NewEffect.Document);
    if (!Table.ok()) {
      this->write({&events::ConfigRefused,
                   {{"from", NewEffect.Node.empty() ? "store" : NewEffect.Node},
                    {"why", std::string(Table.status().message())}}});
      return;
    }
    this->dispatch(ConfigDecoded{
        std::make_shared<const routing::RouteTable>(*std::move(Table)),
        std::move(NewEffect.Node)});
  }

  void execute(const ApplyLimits &NewEffect) {
    auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(
        NewEffect.Limits.IdleTimeout);
    this->OutboundServer->setIdleTimeout(Seconds + std::chrono::seconds(1));
  }

  // Time and pages
  // -------------------------------------------------------------

  void recordTick(Instant Now) {
    Duration Gap = Now - this->LastTickAt;
    if (this->LastTickAt != Instant() && Gap >= MinReportedGap) {
      this->Metrics.counter("oriole_loop_delays_total").add(1);
      this->write({&events::LoopDelayed,
                   {{"gap_ms", std::to_string(Gap.count() / 1000)}}});
    }
    this->LastTickAt = Now;
    this->OutboundServer->recordTick(Now);
  }

  void tick() {
    Instant Now = readClock();
    this->recordTick(Now);
    TimerTicked Ticked;
    if (this->Reducer.isStopping()) {
      Ticked.UnsentAnswers = this->OutboundServer->unsentConnections();
      Ticked.UndeliveredMessages = this->Peers->undeliveredFrames();
    }
    this->dispatch(Ticked);
    this->Peers->tick(Now);
    if (Now - this->DropsReportedAt < DropReportInterval)
      return;
    this->DropsReportedAt = Now;
    if (std::uint64_t Dropped = this->Limiter.takeDropped())
      this->Log.write(
          {&events::LogDropped, {{"lines", std::to_string(Dropped)}}});
  }

  absl::Status listen() {
    auto Opened = wire::PeerTransport::open(
        this->Base,
        {.Address = peerAddress(this->Settings.Peer),
         .ListenAddress = peerAddress(this->Settings.PeerListen)},
        {.OnFrame =
             [this](std::string_view From, wire::Channel,
                    std::string_view Payload) {
               this->onPeerMessage(From, Payload);
             },
         .OnNotSent =
             [this](std::string_view To, wire::Channel, wire::FrameTag Tag) {
               if (Tag.Scope == CancelScope)
                 this->dispatch(CancelNotSent{std::string(To), Tag.Id});
               else if (Tag.Id != 0)
                 this->dispatch(ForwardNotSent{std::string(To), Tag.Id});
             },
         .OnConnectionLost =
             [this](std::string_view Peer) {
               this->dispatch(PeerConnectionLost{std::string(Peer)});
             },
         .OnNewConnection =
             [this](std::string_view Peer) {
               this->dispatch(PeerReconnected{std::string(Peer)});
             },
         .OnLog = [this](const LogRecord &Record) { this->write(Record); }});
    if (!Opened.ok())
      return Opened.status();
    this->Peers = *std::move(Opened);
    return this->listenHttp();
  }

  void onPeerMessage(std::string_view From, std::string_view Payload) {
    absl::StatusOr<routing::Message> Body = routing::decodeMessage(Payload);
    if (!Body.ok()) {
      this->write({&events::NodeMessageRefused,
                   {{"peer", std::string(From)},
                    {"why", std::string(Body.status().message())}}});
      return;
    }
    if (std::holds_alternative<routing::ForwardResult>(*Body))
      this->Peers->recordAnswer(From);
    this->dispatch(PeerMessageReceived{std::string(From), *std::move(Body)});
  }

  absl::Status listenHttp() {
    using Server = wire::HttpServer;
    auto Open = [this](std::unique_ptr<Server> &Listener,
                       const Endpoint &Address,
                       wire::HttpServerCallbacks Callbacks) {
      wire::HttpServerOptions Options{.Listen = Address};
      Options.MaxBodyBytes = MaxForwardBody;
      Options.MaxHeldBodyBytes = std::max(
          MaxForwardBody, static_cast<std::size_t>(this->Settings.MemoryMb *
                                                   HeldBodyShare * 1e6));
      auto Opened = Server::open(this->Base, Options, std::move(Callbacks));
      if (!Opened.ok())
        return Opened.status();
      Listener = *std::move(Opened);
      return absl::OkStatus();
    };
    auto Ignore = [](std::uint64_t) {};
    if (auto Opening =
            Open(this->OutboundServer, this->Settings.Outbound,
                 {.OnRequest =
                      [this](std::uint64_t Id, wire::IncomingRequest Request) {
                        this->onCallerRequest(Id, std::move(Request));
                      },
                  .OnDisconnect =
                      [this](std::uint64_t Id) {
                        this->dispatch(CallerDisconnected{Id});
                      }});
        !Opening.ok())
      return Opening;
    if (auto Opening = Open(this->ControlServer, this->Settings.Control,
                            {.OnRequest =
                                 [this](std::uint64_t Id,
                                        const wire::IncomingRequest &Request) {
                                   this->onTargetReport(Id, Request);
                                 },
                             .OnDisconnect = Ignore});
        !Opening.ok())
      return Opening;
    if (auto Opening =
            Open(this->ReadinessServer, this->Settings.Ready,
                 {.OnRequest =
                      [this](std::uint64_t Id, const wire::IncomingRequest &) {
                        int Status = this->Reducer.ready() ? 200 : 503;
                        this->ReadinessServer->reply(Id, {Status, {}, ""});
                      },
                  .OnDisconnect = Ignore});
        !Opening.ok())
      return Opening;
    return Open(this->MetricsServer, this->Settings.Metrics,
                {.OnRequest =
                     [this](std::uint64_t Id, const wire::IncomingRequest &) {
                       this->MetricsServer->reply(
                           Id,
                           {200,
                            {{"Content-Type", "text/plain; version=0.0.4"}},
                            renderMetrics(this->Metrics, this->Reducer,
                                          this->Store.counters(),
                                          this->Peers->counters(),
                                          this->TargetClient.counters(),
                                          *this->OutboundServer, readClock())});
                     },
                 .OnDisconnect = Ignore});
  }

  absl::Status start() {
    if (absl::Status Listening = this->listen(); !Listening.ok())
      return Listening;
    this->TickTimer.reset(event_new(
        this->Base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void *Self) {
          static_cast<Impl *>(Self)->tick();
        },
        this));
    timeval Interval{0, static_cast<suseconds_t>(TickInterval.count())};
    evtimer_add(this->TickTimer.get(), &Interval);
    this->write({&events::SidecarStarted,
                 {{"node", peerAddress(this->Settings.Peer)},
                  {"failure_domain", this->Settings.FailureDomain},
                  {"service", this->Settings.Service}}});
    this->dispatch(Started{});
    return absl::OkStatus();
  }
};

SidecarNode::SidecarNode(std::unique_ptr<Impl> Pimpl)
    : Pimpl(std::move(Pimpl)) {}

SidecarNode::~SidecarNode() = default;

absl::StatusOr<std::unique_ptr<SidecarNode>>
SidecarNode::start(event_base *Base, const SidecarSettings &Settings,
                   Logger &Log) {
  auto Pimpl = std::make_unique<Impl>(Base, Settings, Log);
  if (absl::Status Starting = Pimpl->start(); !Starting.ok())
    return Starting;
  return std::unique_ptr<SidecarNode>(new SidecarNode(std::move(Pimpl)));
}

void SidecarNode::reload(const absl::StatusOr<SidecarSettings> &Settings) {
  if (!Settings.ok()) {
    this->Pimpl->write({&events::SettingsRefused,
                        {{"why", std::string(Settings.status().message())}}});
    return;
  }
  this->Pimpl->dispatch(SettingsChanged{Settings->Service});
}

void SidecarNode::setSettingsSource(std::function<void()> ReadAgain) {
  this->Pimpl->ReadSettingsAgain = std::move(ReadAgain);
}

void SidecarNode::requestStop() { this->Pimpl->dispatch(StopRequested{}); }

} // namespace orioledoor::sidecar
