// Writes join requests and polls for the admission.
#include "orioledoor/ownership/joining.h"

#include "orioledoor/ownership/distribution.h"
#include "orioledoor/ownership/events.h"
#include "orioledoor/ownership/join_request.h"
#include "orioledoor/ownership/node_state.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ownership {
namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(500);
// Interval at which the request is written again, because the coordinator may
// have missed or dropped it.
constexpr Duration RequestInterval = std::chrono::seconds(10);
constexpr Duration RequestRetry = std::chrono::milliseconds(500);
// Longer than the coordinator's lease (3 s) plus the next election.
constexpr Duration AdmissionTimeout = std::chrono::seconds(10);

} // namespace

Joining::Joining(NodeState &Node, Distribution &Versions)
    : Node(Node), Versions(Versions) {}

void Joining::start(Instant Now, const TargetReady &Target) {
  this->Target = Target;
  this->Active = true;
  this->Token = this->Node.Random();
  this->Started = this->NextRequest = this->NextPoll = Now;
  this->PendingRequest = 0;
}

void Joining::requestAdmission(Instant Now, Effects &Output) {
  const LocalNode &Self = this->Node.Self;
  JoinRequest Request{.Name = Self.Name,
                      .Token = this->Token,
                      .PeerAddress = Self.PeerAddress,
                      .HttpAddress = Self.HttpAddress,
                      .Region = Self.Region,
                      .FailureDomain = Self.FailureDomain,
                      .Service = this->Target.Service,
                      .Slots = this->Target.Slots};
  this->NextRequest = Now + RequestInterval;
  this->PendingRequest = this->Versions.nextRequestId();
  StoreTxn Write{.Compares = {},
                 .Puts = {{.Key = keys::JoinPrefix + Self.Name,
                           .Value = encodeJoinRequest(Request)}},
                 .Deletes = {}};
  Output.push_back(CallStore{{this->PendingRequest, std::move(Write)}});
  writeLog(events::JoinRequested, {{"service", this->Target.Service}}, Output);
}

void Joining::tick(Instant Now, Effects &Output) {
  if (!this->Active)
    return;
  if (Now >= this->NextRequest)
    this->requestAdmission(Now, Output);
  if (Now < this->NextPoll)
    return;
  this->NextPoll = Now + PollInterval + Duration(this->Node.Random() % 100'000);
  if (!this->Versions.isWatching())
    this->Versions.poll(Output);
}

void Joining::handle(Instant Now, const StoreReply &Reply, Effects &Output) {
  if (!this->Active || Reply.Id != this->PendingRequest)
    return;
  this->PendingRequest = 0;
  if (Reply.Status.ok())
    return;
  // Writing a request twice is harmless, so there is no need to read it back
  // after an unknown outcome.
  this->NextRequest = Now + RequestRetry;
  writeLog(events::StoreCallFailed,
           {{"step", "write join request"},
            {"error", std::string(Reply.Status.message())}},
           Output);
}

MemberId Joining::admittedAs() const {
  if (!this->Active)
    return {};
  const Member *Found = this->Node.Current->findByToken(this->Token);
  return Found ? Found->Id : MemberId{};
}

bool Joining::mayCoordinate(Instant Now) const {
  return this->Active && (this->Versions.storeIsEmpty() ||
                          Now - this->Started >= AdmissionTimeout);
}

} // namespace orioledoor::ownership
