// Event queue, effects and the shells' callbacks.
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

using Ownership = ownership::OwnershipReducer;
using Requests = requests::RequestReducer<Ownership>;

constexpr Duration TickInterval = std::chrono::milliseconds(20);
// Longest time a stopping process waits for requests in flight after its
// duties are handed over; the longest deadline of a service.
constexpr Duration DrainLimit = std::chrono::seconds(30);
// A change is to be in force everywhere within 5 s. A watch that went silent is
// noticed after 2.5 s, so half of the time remains for the change itself.
constexpr platform::PlatformStoreLimits StoreLimits{
    .Call = std::chrono::seconds(2),
    .WatchWait = std::chrono::milliseconds(1500)};

} // namespace

struct Node::Impl {
  using QueuedEvent = std::variant<ownership::Event, requests::Event>;

  event_base *Base;
  Settings Own;
  Logger &Log;
  std::string Address;
  Ownership Members;
  Requests Routing;
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
  bool Draining = false;
  // When TimerEvent fires, if it is pending.
  std::optional<Instant> TimerAt;
  std::shared_ptr<const Catalogue> InForce;
  // Client calls by CallId.
  std::unordered_map<std::uint64_t, std::uint64_t> OpenCalls;
  LoadSampler Load{readClock()};
  Fence HighestFence;
  std::uint64_t Seed = randomNumber();
  bool StopWanted = false;
  // Set once duties are handed over.
  std::optional<Instant> ExitBy;

  Impl(event_base *Base, const Settings &Own, Logger &Log)
      : Base(Base), Own(Own), Log(Log), Address(peerAddress(Own.Peer)),
        Members(localNode(Own)),
        Routing({.PeerAddress = Address, .Seed = randomNumber()}),
        Store(Base, Own.Store, StoreLimits), Client(Base),
        Target(Client,
               {.Changed =
                    [this](TargetChange Change, const Announcement &Of) {
                      this->onTarget(Change, Of);
                    },
                .Log =
                    [this](const LogRecord &Record) {
                      this->Log.write(Record);
                    }}) {}

  // Reducers ------------------------------------------------------------------

  // Handles Input and everything that follows from it, unless called from
  // within an effect: then Input waits for its turn.
  void dispatch(QueuedEvent Input) {
    this->Queue.push_back(std::move(Input));
    if (std::exchange(this->Draining, true))
      return;
    while (!this->Queue.empty()) {
      QueuedEvent Next = std::move(this->Queue.front());
      this->Queue.pop_front();
      if (auto *OfMembers = std::get_if<ownership::Event>(&Next))
        this->handleOwnership(*OfMembers);
      else
        this->handleRequest(std::get<requests::Event>(std::move(Next)));
    }
    this->Draining = false;
    this->armTimer();
  }

  void handleOwnership(const ownership::Event &Input) {
    for (ownership::Effect &Each : this->Members.handle(Input, readClock()))
      std::visit([this](auto &E) { this->carryOut(std::move(E)); }, Each);
  }

  void handleRequest(requests::Event Input) {
    requests::Effects Output;
    this->Routing.handle(std::move(Input), readClock(), this->Members, Output);
    for (requests::Effect &Each : Output)
      std::visit([this](auto &E) { this->carryOut(std::move(E)); }, Each);
  }

  // The request reducer's timers are finer than the regular tick.
  void armTimer() {
    std::optional<Instant> Next = this->Routing.nextTimer();
    if (!Next || (this->TimerAt && *this->TimerAt <= *Next))
      return;
    this->TimerAt = *Next;
    std::int64_t Left =
        std::max<std::int64_t>((*Next - readClock()).count(), 0);
    timeval Time = wire::internal::toTimeval(Left);
    event_add(this->TimerEvent.get(), &Time);
  }

  void onTimer() {
    this->TimerAt.reset();
    this->dispatch(requests::Event(requests::Tick{readWallMicros()}));
  }

  void onTick() {
    Instant Now = readClock();
    this->dispatch(ownership::Event(ownership::Tick{readWallMicros()}));
    this->dispatch(requests::Event(requests::Tick{readWallMicros()}));
    this->Peers->tick(Now);
    this->Target.tick(Now, {.Member = this->Members.memberId(),
                            .Number = this->HighestFence,
                            .Until = this->Members.permissionEnd()});
    if (std::optional<ownership::LoadSampled> Sample = this->Load.take(Now))
      this->dispatch(ownership::Event(*std::move(Sample)));
    if (this->ExitBy)
      this->exitWhenDone(Now);
  }

  // Effects of ownership ------------------------------------------------------

  void carryOut(const ownership::SendPeer &E) {
    this->Peers->send(E.To, wire::Channel::Control,
                      ownership::encodeMessage(E.Body));
  }
  void carryOut(ownership::CallStore E) {
    this->Store.call(std::move(E.Request), [this](StoreReply Reply) {
      this->dispatch(
          ownership::Event(ownership::StoreAnswered{std::move(Reply)}));
    });
  }
  void carryOut(const ownership::WatchStore &E) {
    this->Store.watch(keys::Root, E.FromRevision - 1,
                      [this](StoreWatchUpdate Update) {
                        // The reducer reads the keys anew after a failure and
                        // asks again.
                        if (!Update.Status.ok())
                          this->Store.stopWatching(keys::Root);
                        this->dispatch(ownership::Event(ownership::StoreWatched{
                            std::move(Update.Status), std::move(Update.Changes),
                            Update.Revision}));
                      });
  }
  void carryOut(const ownership::StopWatching &) {
    this->Store.stopWatching(keys::Root);
  }
  void carryOut(const ownership::CatalogueInForce &E) {
    absl::StatusOr<Catalogue> Parsed = parseCatalogue(
        E.Text, "catalogue revision " + std::to_string(E.Revision));
    if (!Parsed.ok()) {
      this->Log.write({&CatalogueUnusable,
                       {{"reason", std::string(Parsed.status().message())}}});
      return;
    }
    this->InForce = std::make_shared<const Catalogue>(*std::move(Parsed));
    this->dispatch(requests::Event(requests::CatalogueChanged{this->InForce}));
  }
  void carryOut(const ownership::DrainSlice &E) {
    this->dispatch(requests::Event(requests::DrainSlice{E.Slice}));
  }
  void carryOut(const ownership::ResumeSlice &E) {
    this->dispatch(requests::Event(requests::ResumeSlice{E.Slice}));
  }
  void carryOut(ownership::AdoptSlice E) {
    this->HighestFence = std::max(this->HighestFence, E.Number);
    this->dispatch(requests::Event(requests::AdoptSlice{
        E.Slice, E.Number, std::move(E.Table), E.HistoryLost}));
  }
  void carryOut(const ownership::DropSlice &E) {
    this->dispatch(requests::Event(requests::DropSlice{E.Slice}));
  }
  void carryOut(const ownership::SpendGranted &E) {
    this->dispatch(
        requests::Event(requests::SpendGranted{E.Service, E.Amount, E.Day}));
  }
  void carryOut(const ownership::StopCompleted &) {
    if (!this->StopWanted || this->ExitBy)
      return;
    this->ExitBy = readClock() + DrainLimit;
    this->Server->stopAccepting();
  }
  void carryOut(const ownership::WriteLog &E) { this->Log.write(E.Record); }

  // Effects of requests -------------------------------------------------------

  void carryOut(const requests::ReplyCaller &E) {
    std::optional<Duration> Took = this->Server->reply(E.CallerId, E.Answer);
    if (Took)
      this->Answers.record(E.Answer.Status, *Took);
    else
      this->Answers.count(E.Answer.Status);
  }
  void carryOut(const requests::SendPeer &E) {
    wire::FrameTag Tag;
    if (const auto *Sent = std::get_if<requests::Forward>(&E.Body)) {
      Tag = {Sent->EntryId, Sent->RequestId};
      if (Sent->ReplyTo == this->Address)
        this->Peers->awaitAnswer(E.To, readClock() + Sent->Remaining);
    } else if (std::holds_alternative<requests::Cancel>(E.Body)) {
      this->Peers->answered(E.To);
    }
    this->Peers->send(E.To, wire::Channel::Requests,
                      requests::encodeMessage(E.Body), Tag);
  }
  void carryOut(const requests::Broadcast &E) {
    std::set<std::string> Addresses;
    if (this->InForce)
      for (const ServiceEntry &Each : this->InForce->Services)
        for (const ownership::Route &To : this->Members.membersOf(Each.Id))
          Addresses.insert(To.Address);
    Addresses.erase(this->Address);
    std::string Bytes = requests::encodeMessage(E.Body);
    for (const std::string &To : Addresses)
      this->Peers->send(To, wire::Channel::Requests, Bytes);
  }
  void carryOut(const requests::CallTarget &E) {
    if (!this->Target.known()) {
      this->dispatch(requests::Event(requests::TargetFailed{
          E.CallId, requests::TargetFailure::NotSent, "no target"}));
      return;
    }
    this->Load.count(E.Slice);
    this->OpenCalls[E.CallId] =
        this->Client.call(targetCall(E, this->Target.known()->Address),
                          [this, Id = E.CallId](wire::HttpResult Result) {
                            this->onTargetResult(Id, std::move(Result));
                          });
  }
  void carryOut(const requests::CancelTarget &E) {
    auto Found = this->OpenCalls.find(E.CallId);
    if (Found == this->OpenCalls.end())
      return;
    this->Client.cancel(Found->second);
    this->OpenCalls.erase(Found);
  }
  void carryOut(requests::SliceDrained E) {
    this->dispatch(
        ownership::Event(ownership::SliceDrained{E.Slice, std::move(E.Table)}));
  }
  void carryOut(const requests::RequestSpend &E) {
    this->dispatch(
        ownership::Event(ownership::SpendWanted{E.Service, E.Amount, E.Day}));
  }
  void carryOut(const requests::WriteLog &E) { this->Log.write(E.Record); }

  // Target --------------------------------------------------------------------

  void onTargetResult(std::uint64_t CallId, wire::HttpResult Result) {
    this->OpenCalls.erase(CallId);
    Instant Now = readClock();
    if (!Result.Failure) {
      this->Target.noteAnswer(Now);
      this->dispatch(requests::Event(
          requests::TargetAnswered{CallId, std::move(Result.Answer)}));
      return;
    }
    if (*Result.Failure != requests::TargetFailure::TimedOut)
      this->Target.noteBrokenConnection(Now);
    this->dispatch(requests::Event(requests::TargetFailed{
        CallId, *Result.Failure, std::move(Result.Detail)}));
  }

  void onTarget(TargetChange Change, const Announcement &Of) {
    bool Usable = Change != TargetChange::Lost;
    this->dispatch(requests::Event(
        requests::TargetChanged{.Ready = Usable,
                                .Service = Of.Service,
                                .Slots = Of.Slots,
                                .Connections = Of.Connections,
                                .ChecksFence = Of.ChecksFence,
                                .Lost = Change == TargetChange::Lost}));
    if (Change == TargetChange::Ready)
      this->dispatch(ownership::Event(ownership::TargetReady{
          Of.Service, Of.Slots, Of.Connections, Of.ChecksFence}));
    else if (Change == TargetChange::Leaving)
      this->dispatch(ownership::Event(ownership::TargetLeaving{}));
    else
      this->dispatch(ownership::Event(ownership::TargetLost{}));
  }

  // Peers ---------------------------------------------------------------------

  void onFrame(std::string_view From, wire::Channel Kind,
               std::string_view Payload) {
    if (Kind == wire::Channel::Control) {
      absl::StatusOr<ownership::Message> Body =
          ownership::decodeMessage(Payload);
      if (Body.ok())
        this->dispatch(ownership::Event(
            ownership::PeerMessage{std::string(From), *std::move(Body)}));
      else
        this->refuseMessage(From, Body.status());
      return;
    }
    absl::StatusOr<requests::Message> Body = requests::decodeMessage(Payload);
    if (!Body.ok()) {
      this->refuseMessage(From, Body.status());
      return;
    }
    if (std::holds_alternative<requests::Answer>(*Body))
      this->Peers->answered(From);
    this->dispatch(requests::Event(
        requests::PeerMessage{std::string(From), *std::move(Body)}));
  }

  void refuseMessage(std::string_view From, const absl::Status &Why) {
    this->Metrics.counter("oriole_peer_messages_refused_total").add(1);
    this->Log.write({&MessageRefused,
                     {{"peer", std::string(From)},
                      {"reason", std::string(Why.message())}}});
  }

  // Callers, targets and operators --------------------------------------------

  void onRequest(std::uint64_t Id, wire::IncomingRequest Incoming) {
    if (Incoming.Target.starts_with("/oriole/")) {
      this->Server->reply(Id, this->answerOwn(Incoming));
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
    // Weyl sequence: distinct numbers without a system call a request.
    this->Seed += 0x9e3779b97f4a7c15;
    Parsed->Random = this->Seed;
    this->dispatch(requests::Event(*std::move(Parsed)));
  }

  NodeFigures figures(const ownership::OwnershipStatus &Status) const {
    return {.Ready = !this->StopWanted && Status.Held.Assignment > 0 &&
                     Status.Held.Catalogue > 0,
            .Stopping = this->StopWanted,
            .OpenRequests = this->Server->openRequests(),
            .OpenCalls = this->OpenCalls.size(),
            .RefusedRequests = this->Server->refusedRequests()};
  }

  requests::HttpAnswer answerOwn(const wire::IncomingRequest &Incoming) {
    ownership::OwnershipStatus Status = this->Members.status(readClock());
    if (pathOf(Incoming.Target) == "/oriole/announce")
      return answerAnnouncement(Incoming, this->Target, Status,
                                this->OpenCalls.size());
    return answerPage(Incoming, {.Own = this->Own,
                                 .Status = Status,
                                 .Target = this->Target,
                                 .Figures = this->figures(Status),
                                 .Peers = this->Peers->counters(),
                                 .Client = this->Client.counters(),
                                 .Metrics = this->Metrics});
  }

  // Start and stop ------------------------------------------------------------

  absl::Status start() {
    auto Peers = wire::PeerTransport::open(
        this->Base, {.Address = this->Address},
        {.Received =
             [this](std::string_view From, wire::Channel Kind,
                    std::string_view Payload) {
               this->onFrame(From, Kind, Payload);
             },
         .NotSent =
             [this](std::string_view To, wire::Channel Kind,
                    wire::FrameTag Tag) {
               if (Kind == wire::Channel::Requests && Tag != wire::FrameTag{})
                 this->dispatch(requests::Event(requests::PeerSendFailed{
                     std::string(To), Tag.Scope, Tag.Id}));
             },
         .Lost =
             [this](std::string_view Peer) {
               this->dispatch(
                   requests::Event(requests::PeerLost{std::string(Peer)}));
             },
         .Log = [this](const LogRecord &Record) { this->Log.write(Record); }});
    if (!Peers.ok())
      return Peers.status();
    this->Peers = *std::move(Peers);
    auto Server = wire::HttpServer::open(
        this->Base, {.Listen = this->Own.Http},
        {.Received =
             [this](std::uint64_t Id, wire::IncomingRequest Incoming) {
               this->onRequest(Id, std::move(Incoming));
             },
         .Gone =
             [this](std::uint64_t Id) {
               this->dispatch(requests::Event(requests::CallerGone{Id}));
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
                     {{"http", formatEndpoint(this->Own.Http)},
                      {"peer", this->Address},
                      {"store", formatEndpoint(this->Own.Store)}}});
    return absl::OkStatus();
  }

  void exitWhenDone(Instant Now) {
    bool Idle = this->Server->openRequests() == 0 && this->OpenCalls.empty();
    if (!Idle && Now < *this->ExitBy)
      return;
    this->Log.write({Idle ? &NodeStopped : &StopCutShort, {}});
    event_base_loopexit(this->Base, nullptr);
  }
};

Node::Node(std::unique_ptr<Impl> Own) : Own(std::move(Own)) {}

Node::~Node() = default;

absl::StatusOr<std::unique_ptr<Node>>
Node::start(event_base *Base, const Settings &Own, Logger &Log) {
  auto State = std::make_unique<Impl>(Base, Own, Log);
  if (absl::Status Started = State->start(); !Started.ok())
    return Started;
  return std::unique_ptr<Node>(new Node(std::move(State)));
}

void Node::requestStop() {
  if (std::exchange(this->Own->StopWanted, true))
    return;
  this->Own->Log.write({&NodeStopping, {}});
  this->Own->dispatch(ownership::Event(ownership::StopRequested{}));
}

} // namespace orioledoor::daemon
