// The event queue, the execution of effects, and the callbacks of the I/O
// components.
#include "orioledoor/daemon/node.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>

#include <event2/event.h>

#include "orioledoor/base/wall_clock.h"
#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/catalogue/parse_catalogue.h"
#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/catalogue/settings.h"
#include "orioledoor/daemon/events.h"
#include "orioledoor/daemon/identity.h"
#include "orioledoor/daemon/load_sampler.h"
#include "orioledoor/daemon/node_pages.h"
#include "orioledoor/daemon/target_call.h"
#include "orioledoor/daemon/target_monitor.h"
#include "orioledoor/ownership/message_codec.h"
#include "orioledoor/ownership/ownership_reducer.h"
#include "orioledoor/platform/platform_store.h"
#include "orioledoor/requests/message_codec.h"
#include "orioledoor/requests/request_reducer.h"
#include "orioledoor/store/keys.h"
#include "orioledoor/telemetry/logger.h"
#include "orioledoor/telemetry/metrics.h"
#include "orioledoor/telemetry/response_metrics.h"
#include "orioledoor/wire/caller_request.h"
#include "orioledoor/wire/http_client.h"
#include "orioledoor/wire/http_server.h"
#include "orioledoor/wire/internal/event_ptr.h"
#include "orioledoor/wire/peer_transport.h"

namespace orioledoor::daemon {
namespace {

using OwnershipReducer = ownership::OwnershipReducer;
using RequestReducer = requests::RequestReducer<OwnershipReducer>;

constexpr Duration TickInterval = std::chrono::milliseconds(20);
// Maximum time that a stopping process waits for requests in flight after its
// slices are handed over. Equals the longest deadline of a service.
constexpr Duration DrainLimit = std::chrono::seconds(30);
// A change must be in force on all nodes within 5 s. A stalled watch is
// detected after 2.5 s, which leaves half of that time for the change itself.
constexpr platform::PlatformStoreLimits StoreLimits{
    .CallTimeout = std::chrono::seconds(2),
    .WatchWait = std::chrono::milliseconds(1500)};

} // namespace

struct Node::Impl {
  using QueuedEvent = std::variant<ownership::Event, requests::Event>;

  event_base *Base;
  Settings NodeSettings;
  Logger &Log;
  std::string Address;
  OwnershipReducer Ownership;
  RequestReducer Requests;
  platform::PlatformStore Store;
  wire::HttpClient Client;
  TargetMonitor Target;
  std::unique_ptr<wire::HttpServer> Server;
  std::unique_ptr<wire::PeerTransport> Peers;
  wire::internal::EventPtr TickEvent;
  wire::internal::EventPtr TimerEvent;
  MetricsRegistry Metrics;
  ResponseMetrics Answers{Metrics, StatusLabel::Class};

  std::deque<QueuedEvent> Queue;
  bool Dispatching = false;
  // Expiry of TimerEvent, if it is pending.
  std::optional<Instant> TimerExpiry;
  std::shared_ptr<const Catalogue> CurrentCatalogue;
  // HTTP client call IDs by the CallId of the request reducer.
  std::unordered_map<std::uint64_t, std::uint64_t> OpenCalls;
  LoadSampler Sampler{readClock()};
  Fence HighestFence;
  std::uint64_t RandomState = randomSeed();
  bool ShutdownRequested = false;
  // Set once the slices are handed over during a stop.
  std::optional<Instant> ExitDeadline;

  Impl(event_base *Base, const Settings &NodeSettings, Logger &Log)
      : Base(Base), NodeSettings(NodeSettings), Log(Log),
        Address(formatPeerAddress(NodeSettings.Peer)),
        Ownership(makeLocalNode(NodeSettings)),
        Requests({.PeerAddress = Address, .Seed = randomSeed()}),
        Store(Base, NodeSettings.Store, StoreLimits), Client(Base),
        Target(Client,
               {.OnChange =
                    [this](TargetChange Change, const Announcement &Announced) {
                      this->onTargetChange(Change, Announced);
                    },
                .Log =
                    [this](const LogRecord &Record) {
                      this->Log.write(Record);
                    }}) {}

  // Reducers ------------------------------------------------------------------

  // Handles Input and all events that result from it. If called during the
  // execution of an effect, only queues Input.
  void dispatch(QueuedEvent Input) {
    this->Queue.push_back(std::move(Input));
    if (std::exchange(this->Dispatching, true))
      return;
    while (!this->Queue.empty()) {
      QueuedEvent Next = std::move(this->Queue.front());
      this->Queue.pop_front();
      if (auto *OwnershipEvent = std::get_if<ownership::Event>(&Next))
        this->handleOwnership(*OwnershipEvent);
      else
        this->handleRequest(std::get<requests::Event>(std::move(Next)));
    }
    this->Dispatching = false;
    this->armTimer();
  }

  void handleOwnership(const ownership::Event &Input) {
    for (ownership::Effect &EffectVariant :
         this->Ownership.handle(Input, readClock()))
      std::visit([this](auto &Effect) { this->execute(std::move(Effect)); },
                 EffectVariant);
  }

  void handleRequest(requests::Event Input) {
    requests::Effects Effects;
    this->Requests.handle(std::move(Input), readClock(), this->Ownership,
                          Effects);
    for (requests::Effect &EffectVariant : Effects)
      std::visit([this](auto &Effect) { this->execute(std::move(Effect)); },
                 EffectVariant);
  }

  // Arms TimerEvent for the next timer of the request reducer, whose resolution
  // is finer than TickInterval.
  void armTimer() {
    std::optional<Instant> Next = this->Requests.nextTimer();
    if (!Next || (this->TimerExpiry && *this->TimerExpiry <= *Next))
      return;
    this->TimerExpiry = *Next;
    std::int64_t DelayMicros =
        std::max<std::int64_t>((*Next - readClock()).count(), 0);
    timeval Timeout = wire::internal::toTimeval(DelayMicros);
    event_add(this->TimerEvent.get(), &Timeout);
  }

  void onTimer() {
    this->TimerExpiry.reset();
    this->dispatch(requests::Event(requests::Tick{readWallMicros()}));
  }

  void onTick() {
    Instant Now = readClock();
    this->dispatch(ownership::Event(ownership::Tick{readWallMicros()}));
    this->dispatch(requests::Event(requests::Tick{readWallMicros()}));
    this->Peers->tick(Now);
    this->Target.tick(Now, {.Member = this->Ownership.memberId(),
                            .HighestFence = this->HighestFence,
                            .ExpiresAt = this->Ownership.permissionEnd()});
    if (std::optional<ownership::LoadSampled> Sampled =
            this->Sampler.sample(Now))
      this->dispatch(ownership::Event(*std::move(Sampled)));
    if (this->ExitDeadline)
      this->exitIfIdleOrOverdue(Now);
  }

  // Effects of ownership ------------------------------------------------------

  void execute(const ownership::SendPeer &Effect) {
    this->Peers->send(Effect.To, wire::Channel::Control,
                      ownership::encodeMessage(Effect.Body));
  }
  void execute(ownership::CallStore Effect) {
    this->Store.call(std::move(Effect.Request), [this](StoreReply Reply) {
      this->dispatch(
          ownership::Event(ownership::StoreAnswered{std::move(Reply)}));
    });
  }
  void execute(const ownership::WatchStore &Effect) {
    this->Store.watch(keys::Root, Effect.FromRevision - 1,
                      [this](StoreWatchUpdate Update) {
                        // After a failure the reducer reads the keys again and
                        // requests a new watch.
                        if (!Update.Status.ok())
                          this->Store.stopWatching(keys::Root);
                        this->dispatch(ownership::Event(ownership::StoreWatched{
                            std::move(Update.Status), std::move(Update.Changes),
                            Update.Revision}));
                      });
  }
  void execute(const ownership::StopWatching &) {
    this->Store.stopWatching(keys::Root);
  }
  void execute(const ownership::CatalogueInForce &Effect) {
    absl::StatusOr<Catalogue> Parsed = parseCatalogue(
        Effect.Text, "catalogue revision " + std::to_string(Effect.Revision));
    if (!Parsed.ok()) {
      this->Log.write({&CatalogueUnusable,
                       {{"reason", std::string(Parsed.status().message())}}});
      return;
    }
    this->CurrentCatalogue =
        std::make_shared<const Catalogue>(*std::move(Parsed));
    this->dispatch(
        requests::Event(requests::CatalogueChanged{this->CurrentCatalogue}));
  }
  void execute(const ownership::DrainSlice &Effect) {
    this->dispatch(requests::Event(requests::DrainSlice{Effect.Slice}));
  }
  void execute(const ownership::ResumeSlice &Effect) {
    this->dispatch(requests::Event(requests::ResumeSlice{Effect.Slice}));
  }
  void execute(ownership::AdoptSlice Effect) {
    this->HighestFence = std::max(this->HighestFence, Effect.FencingNumber);
    this->dispatch(requests::Event(
        requests::AdoptSlice{Effect.Slice, Effect.FencingNumber,
                             std::move(Effect.Table), Effect.HistoryLost}));
  }
  void execute(const ownership::DropSlice &Effect) {
    this->dispatch(requests::Event(requests::DropSlice{Effect.Slice}));
  }
  void execute(const ownership::SpendGranted &Effect) {
    this->dispatch(requests::Event(
        requests::SpendGranted{Effect.Service, Effect.Amount, Effect.Day}));
  }
  void execute(const ownership::StopCompleted &) {
    if (!this->ShutdownRequested || this->ExitDeadline)
      return;
    this->ExitDeadline = readClock() + DrainLimit;
    this->Server->stopAccepting();
  }
  void execute(const ownership::WriteLog &Effect) {
    this->Log.write(Effect.Record);
  }

  // Effects of requests -------------------------------------------------------

  void execute(const requests::ReplyCaller &Effect) {
    std::optional<Duration> Latency =
        this->Server->reply(Effect.CallerId, Effect.Answer);
    if (Latency)
      this->Answers.record(Effect.Answer.Status, *Latency);
    else
      this->Answers.count(Effect.Answer.Status);
  }
  void execute(const requests::SendPeer &Effect) {
    wire::FrameTag Tag;
    if (const auto *Forwarded = std::get_if<requests::Forward>(&Effect.Body)) {
      Tag = {Forwarded->EntryId, Forwarded->RequestId};
      if (Forwarded->ReplyTo == this->Address)
        this->Peers->expectAnswer(Effect.To,
                                  readClock() + Forwarded->Remaining);
    } else if (std::holds_alternative<requests::Cancel>(Effect.Body)) {
      this->Peers->recordAnswer(Effect.To);
    }
    this->Peers->send(Effect.To, wire::Channel::Requests,
                      requests::encodeMessage(Effect.Body), Tag);
  }
  void execute(const requests::Broadcast &Effect) {
    std::set<std::string> Addresses;
    if (this->CurrentCatalogue)
      for (const ServiceEntry &Service : this->CurrentCatalogue->Services)
        for (const ownership::Route &Route :
             this->Ownership.membersOf(Service.Id))
          Addresses.insert(Route.Address);
    Addresses.erase(this->Address);
    std::string Bytes = requests::encodeMessage(Effect.Body);
    for (const std::string &PeerAddress : Addresses)
      this->Peers->send(PeerAddress, wire::Channel::Requests, Bytes);
  }
  void execute(const requests::CallTarget &Effect) {
    if (!this->Target.lastAnnouncement()) {
      this->dispatch(requests::Event(requests::TargetFailed{
          Effect.CallId, requests::TargetFailure::NotSent, "no target"}));
      return;
    }
    this->Sampler.recordCall(Effect.Slice);
    this->OpenCalls[Effect.CallId] = this->Client.call(
        makeTargetCall(Effect, this->Target.lastAnnouncement()->Address),
        [this, Id = Effect.CallId](wire::HttpResult Result) {
          this->onTargetResult(Id, std::move(Result));
        });
  }
  void execute(const requests::CancelTarget &Effect) {
    auto Found = this->OpenCalls.find(Effect.CallId);
    if (Found == this->OpenCalls.end())
      return;
    this->Client.cancel(Found->second);
    this->OpenCalls.erase(Found);
  }
  void execute(requests::SliceDrained Effect) {
    this->dispatch(ownership::Event(
        ownership::SliceDrained{Effect.Slice, std::move(Effect.Table)}));
  }
  void execute(const requests::RequestSpend &Effect) {
    this->dispatch(ownership::Event(
        ownership::SpendWanted{Effect.Service, Effect.Amount, Effect.Day}));
  }
  void execute(const requests::WriteLog &Effect) {
    this->Log.write(Effect.Record);
  }

  // Target --------------------------------------------------------------------

  void onTargetResult(std::uint64_t CallId, wire::HttpResult Result) {
    this->OpenCalls.erase(CallId);
    Instant Now = readClock();
    if (!Result.Failure) {
      this->Target.recordAnswer(Now);
      this->dispatch(requests::Event(
          requests::TargetAnswered{CallId, std::move(Result.Answer)}));
      return;
    }
    if (*Result.Failure != requests::TargetFailure::TimedOut)
      this->Target.onConnectionBroken(Now);
    this->dispatch(requests::Event(requests::TargetFailed{
        CallId, *Result.Failure, std::move(Result.Detail)}));
  }

  void onTargetChange(TargetChange Change, const Announcement &Announced) {
    bool Usable = Change != TargetChange::Lost;
    this->dispatch(requests::Event(
        requests::TargetChanged{.Ready = Usable,
                                .Service = Announced.Service,
                                .Slots = Announced.Slots,
                                .Connections = Announced.Connections,
                                .ChecksFence = Announced.ChecksFence,
                                .Lost = Change == TargetChange::Lost}));
    if (Change == TargetChange::Ready)
      this->dispatch(ownership::Event(ownership::TargetReady{
          Announced.Service, Announced.Slots, Announced.Connections,
          Announced.ChecksFence}));
    else if (Change == TargetChange::Leaving)
      this->dispatch(ownership::Event(ownership::TargetLeaving{}));
    else
      this->dispatch(ownership::Event(ownership::TargetLost{}));
  }

  // Peers ---------------------------------------------------------------------

  void onFrame(std::string_view PeerAddress, wire::Channel Channel,
               std::string_view Payload) {
    if (Channel == wire::Channel::Control) {
      absl::StatusOr<ownership::Message> Message =
          ownership::decodeMessage(Payload);
      if (Message.ok())
        this->dispatch(ownership::Event(ownership::PeerMessage{
            std::string(PeerAddress), *std::move(Message)}));
      else
        this->refuseMessage(PeerAddress, Message.status());
      return;
    }
    absl::StatusOr<requests::Message> Message =
        requests::decodeMessage(Payload);
    if (!Message.ok()) {
      this->refuseMessage(PeerAddress, Message.status());
      return;
    }
    if (std::holds_alternative<requests::Answer>(*Message))
      this->Peers->recordAnswer(PeerAddress);
    this->dispatch(requests::Event(
        requests::PeerMessage{std::string(PeerAddress), *std::move(Message)}));
  }

  void refuseMessage(std::string_view PeerAddress, const absl::Status &Error) {
    this->Metrics.counter("oriole_peer_messages_refused_total").add(1);
    this->Log.write({&MessageRefused,
                     {{"peer", std::string(PeerAddress)},
                      {"reason", std::string(Error.message())}}});
  }

  // Callers, targets and operators --------------------------------------------

  void onRequest(std::uint64_t Id, wire::IncomingRequest Incoming) {
    if (Incoming.Target.starts_with("/oriole/")) {
      this->Server->reply(Id, this->answerNodeRequest(Incoming));
      return;
    }
    Instant FirstByteAt = Incoming.FirstByteAt;
    absl::StatusOr<requests::CallerRequest> Parsed =
        wire::parseCallerRequest(std::move(Incoming));
    if (!Parsed.ok()) {
      int Status = absl::IsDeadlineExceeded(Parsed.status()) ? 504 : 400;
      this->Answers.count(Status);
      this->Server->reply(Id, wire::errorAnswer(Status, Parsed.status()));
      return;
    }
    Parsed->CallerId = Id;
    Parsed->Elapsed = readClock() - FirstByteAt;
    Parsed->WallMicros = readWallMicros();
    // Weyl sequence: distinct numbers without a system call per request.
    this->RandomState += 0x9e3779b97f4a7c15;
    Parsed->Random = this->RandomState;
    this->dispatch(requests::Event(*std::move(Parsed)));
  }

  NodeStatistics statistics(const ownership::OwnershipStatus &Status) const {
    return {.Ready = !this->ShutdownRequested &&
                     Status.HeldVersions.Assignment > 0 &&
                     Status.HeldVersions.Catalogue > 0,
            .Stopping = this->ShutdownRequested,
            .OpenRequests = this->Server->openRequests(),
            .OpenCalls = this->OpenCalls.size(),
            .RefusedRequests = this->Server->rejectedRequests()};
  }

  requests::HttpAnswer
  answerNodeRequest(const wire::IncomingRequest &Incoming) {
    ownership::OwnershipStatus Status = this->Ownership.status(readClock());
    if (pathOf(Incoming.Target) == "/oriole/announce")
      return answerAnnouncement(Incoming, this->Target, Status,
                                this->OpenCalls.size());
    return answerPage(Incoming, {.NodeSettings = this->NodeSettings,
                                 .Status = Status,
                                 .Target = this->Target,
                                 .Statistics = this->statistics(Status),
                                 .Peers = this->Peers->counters(),
                                 .Client = this->Client.counters(),
                                 .Metrics = this->Metrics});
  }

  // Start and stop ------------------------------------------------------------

  absl::Status start() {
    auto Peers = wire::PeerTransport::open(
        this->Base, {.Address = this->Address},
        {.OnFrame =
             [this](std::string_view PeerAddress, wire::Channel Channel,
                    std::string_view Payload) {
               this->onFrame(PeerAddress, Channel, Payload);
             },
         .OnNotSent =
             [this](std::string_view PeerAddress, wire::Channel Channel,
                    wire::FrameTag Tag) {
               if (Channel == wire::Channel::Requests &&
                   Tag != wire::FrameTag{})
                 this->dispatch(requests::Event(requests::PeerSendFailed{
                     std::string(PeerAddress), Tag.Scope, Tag.Id}));
             },
         .OnConnectionLost =
             [this](std::string_view PeerAddress) {
               this->dispatch(requests::Event(
                   requests::PeerLost{std::string(PeerAddress)}));
             },
         .OnLog =
             [this](const LogRecord &Record) { this->Log.write(Record); }});
    if (!Peers.ok())
      return Peers.status();
    this->Peers = *std::move(Peers);
    auto Server = wire::HttpServer::open(
        this->Base, {.Listen = this->NodeSettings.Http},
        {.OnRequest =
             [this](std::uint64_t Id, wire::IncomingRequest Incoming) {
               this->onRequest(Id, std::move(Incoming));
             },
         .OnDisconnect =
             [this](std::uint64_t Id) {
               this->dispatch(
                   requests::Event(requests::CallerDisconnected{Id}));
             }});
    if (!Server.ok())
      return Server.status();
    this->Server = *std::move(Server);
    this->TimerEvent.reset(evtimer_new(
        this->Base,
        [](evutil_socket_t, short, void *Self) {
          static_cast<Impl *>(Self)->onTimer();
        },
        this));
    this->TickEvent.reset(event_new(
        this->Base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void *Self) {
          static_cast<Impl *>(Self)->onTick();
        },
        this));
    timeval Interval = wire::internal::toTimeval(TickInterval.count());
    event_add(this->TickEvent.get(), &Interval);
    this->Log.write({&NodeStarted,
                     {{"http", formatEndpoint(this->NodeSettings.Http)},
                      {"peer", this->Address},
                      {"store", formatEndpoint(this->NodeSettings.Store)}}});
    return absl::OkStatus();
  }

  void exitIfIdleOrOverdue(Instant Now) {
    bool Idle = this->Server->openRequests() == 0 && this->OpenCalls.empty();
    if (!Idle && Now < *this->ExitDeadline)
      return;
    this->Log.write({Idle ? &NodeStopped : &StopCutShort, {}});
    event_base_loopexit(this->Base, nullptr);
  }
};

Node::Node(std::unique_ptr<Impl> State) : State(std::move(State)) {}

Node::~Node() = default;

absl::StatusOr<std::unique_ptr<Node>>
Node::start(event_base *Base, const Settings &NodeSettings, Logger &Log) {
  auto State = std::make_unique<Impl>(Base, NodeSettings, Log);
  if (absl::Status Started = State->start(); !Started.ok())
    return Started;
  return std::unique_ptr<Node>(new Node(std::move(State)));
}

void Node::requestStop() {
  if (std::exchange(this->State->ShutdownRequested, true))
    return;
  this->State->Log.write({&NodeStopping, {}});
  this->State->dispatch(ownership::Event(ownership::StopRequested{}));
}

} // namespace orioledoor::daemon
