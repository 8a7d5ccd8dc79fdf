// Handling of messages from other nodes: passes each to the part of the node
// that it concerns.
#include <utility>

#include "orioledoor/keyspace/key_planner.h"
#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/reducer.h"

namespace orioledoor::sidecar {
namespace {

using routing::Message;
using routing::TargetRef;
using routing::TargetState;
using std::chrono::milliseconds;

// Shortest delay of a message that is logged. Pings of the transport report a
// connection without progress about as soon.
constexpr Duration MinLoggedDelay = milliseconds(250);

} // namespace

void SidecarReducer::on(PeerMessageReceived Received, Instant Now) {
  this->receiveMessage(Received.From, std::move(Received.Body), Now);
}

Duration SidecarReducer::recordArrival(const std::string &From, Instant SentAt,
                                       Instant Now) {
  if (From == this->Options.Node || SentAt == Instant())
    return Duration(0);
  // Without an earlier message to compare it with, a message may be as late as
  // this process is.
  Duration Delay =
      this->Delays.note(From, SentAt, Now).value_or(this->standstill(Now));
  if (Delay >= MinLoggedDelay) {
    ++this->DelayedMessages;
    this->Out.push_back(
        LogRecord{&events::MessageDelayed,
                  {{"peer", From},
                   {"delay_ms", std::to_string(Delay / milliseconds(1))}}});
  }
  return Delay;
}

void SidecarReducer::remindOfLeaving(const std::string &From,
                                     const TargetRef &Target,
                                     TargetState Claimed, Instant Now) {
  bool IsKnownThere =
      Claimed != TargetState::Ready && Claimed != TargetState::Evacuated;
  if (IsKnownThere || From == this->Options.Node)
    return;
  if (auto KnownFor = this->Directory.leavingFor(Target, Now))
    this->Out.push_back(
        SendMessage{From, routing::TargetLeavingNotice{Target, *KnownFor}});
}

void SidecarReducer::remindOfDepartures(const NodeEntry &Joined, Instant Now) {
  for (const TargetRef &Target : this->Directory.leavingBeside(Joined.Node)) {
    // Late reports of earlier incarnations than the known one are ignored.
    bool IsPast =
        Joined.Target && Target.StartTimeMs < Joined.Target.StartTimeMs;
    if (!IsPast)
      this->remindOfLeaving(
          Joined.Node, Target,
          Target == Joined.Target ? Joined.State : TargetState::Ready, Now);
  }
}

void SidecarReducer::receiveMessage(const std::string &From, Message Body,
                                    Instant Now) {
  if (auto *Request = std::get_if<routing::Forward>(&Body)) {
    Duration Delay = this->recordArrival(From, Request->SentAt, Now);
    this->onPeerConfigVersion(From, Request->ConfigVersion, Now);
    routing::KeyState KeyHold = routing::KeyState::NotKeyed;
    if (Request->Key != routing::NoKey) {
      auto KeyNumber = static_cast<std::uint32_t>(Request->Key);
      this->Keys.recordRequest(KeyNumber, Request->KeyDemand, Now);
      KeyHold = this->Keys.holds(KeyNumber, Now) ? routing::KeyState::Held
                                                 : routing::KeyState::NotHeld;
      if (KeyHold == routing::KeyState::NotHeld && From != this->Options.Node)
        this->sendKeyMap(From, *Request, Now);
    }
    if (Request->RepeatPercent == routing::SurelyRepeated)
      this->Gate.setRepeatsAllowed(!this->Entry.callsOverBudget(Now));
    this->Gate.handleForward(From, std::move(*Request), KeyHold, Now,
                             this->RoutingEffects, Delay);
  } else if (auto *Result = std::get_if<routing::ForwardResult>(&Body)) {
    this->recordArrival(From, Result->SentAt, Now);
    this->onPeerConfigVersion(From, Result->ConfigVersion, Now);
    this->Directory.update(Result->Status, Now);
    this->noteEvacuatedTarget(Result->Status, Now);
    this->Entry.handleResult(From, std::move(*Result), Now,
                             this->RoutingEffects);
  } else if (auto *BodyRequest = std::get_if<routing::FetchBody>(&Body)) {
    this->Entry.handleFetchBody(From, *BodyRequest, Now, this->RoutingEffects);
  } else if (auto *BodyContent = std::get_if<routing::ForwardBody>(&Body)) {
    Duration Delay = this->recordArrival(From, BodyContent->SentAt, Now);
    this->Gate.handleBody(std::move(*BodyContent), Now, this->RoutingEffects,
                          Delay);
  } else if (auto *Asked = std::get_if<routing::ConfirmForward>(&Body)) {
    this->Entry.handleConfirm(From, *Asked, Now, this->RoutingEffects);
  } else if (auto *Confirmed = std::get_if<routing::ForwardConfirmed>(&Body)) {
    this->Gate.handleConfirmed(*Confirmed, Now, this->RoutingEffects);
  } else if (auto *Cancel = std::get_if<routing::CancelForward>(&Body)) {
    this->Gate.handleCancel(From, *Cancel, Now, this->RoutingEffects);
  } else if (auto *Resume = std::get_if<routing::ResumeForward>(&Body)) {
    this->Gate.handleResume(From, *Resume, Now, this->RoutingEffects);
  } else if (auto *Status = std::get_if<routing::StatusNotice>(&Body)) {
    this->recordArrival(From, Status->SentAt, Now);
    this->Directory.noteReached(From);
    this->Directory.update(Status->Status, Now);
    this->noteEvacuatedTarget(Status->Status, Now);
    this->remindOfLeaving(From, Status->Status.Target, Status->Status.State,
                          Now);
  } else if (auto *Crash = std::get_if<routing::CrashNotice>(&Body)) {
    this->Gate.handleCrashNotice(From, *Crash, Now, this->RoutingEffects);
  } else if (auto *Cleared = std::get_if<routing::CrashCleared>(&Body)) {
    this->Gate.handleCrashCleared(*Cleared, this->RoutingEffects);
  } else if (auto *Leaving = std::get_if<routing::TargetLeavingNotice>(&Body)) {
    if (Leaving->Target.Node == From) {
      this->Directory.noteLeaving(Leaving->Target, Now);
    } else {
      this->Gate.handleLeavingNotice(*Leaving, Now, this->RoutingEffects);
      this->publishStatus(Now);
    }
  } else if (auto *KeyLoad = std::get_if<routing::KeyLoadNotice>(&Body)) {
    this->Keys.recordLoad(*KeyLoad, Now);
  } else if (auto *NewKeyMap = std::get_if<routing::KeyMapNotice>(&Body)) {
    if (this->Keys.receiveKeyMap(*NewKeyMap, this->Out))
      this->onOwnersChanged(Now);
  } else if (auto *KeyMapChange =
                 std::get_if<routing::KeyMapChangeNotice>(&Body)) {
    if (this->Keys.receiveChange(*KeyMapChange, Now, this->Out))
      this->onOwnersChanged(Now);
  } else if (auto *Announced = std::get_if<routing::NodeNotice>(&Body)) {
    MembershipOutput Output;
    this->Members.onAnnouncement(From, *Announced, Output);
    this->apply(std::move(Output), Now);
    if (auto Known = this->Members.nodes().find(
            keyspace::KeyPlanner::nodeEntryKey(From));
        Known != this->Members.nodes().end())
      this->remindOfDepartures(Known->second.Entry, Now);
  } else if (auto *ConfigRequest = std::get_if<routing::FetchConfig>(&Body)) {
    this->sendConfig(From, *ConfigRequest, Now);
  } else if (auto *NewConfig = std::get_if<routing::ConfigNotice>(&Body)) {
    this->Out.push_back(DecodeConfig{std::move(NewConfig->Document), From});
  }
}

} // namespace orioledoor::sidecar
