// Callers and slice ownership of the simulation.
#include <algorithm>
#include <utility>

#include "orioledoor/requests/testing/simulation.h"

namespace orioledoor::requests::testing {

using namespace std::chrono_literals;

void Simulation::submit(const std::shared_ptr<CallerOperation> &Operation) {
  if (Operation->Sends++ == 0)
    Operation->FirstSentAt = this->Now;
  CallerRequest Event;
  Event.CallerId = ++this->LastCallerId;
  Event.Request = std::make_shared<HttpRequest>(
      HttpRequest{Operation->Method,
                  "desk",
                  Operation->Key,
                  Operation->Name,
                  {{"Caller", std::to_string(Event.CallerId)}},
                  Operation->Body});
  Event.OperationId = Operation->OperationId;
  Event.Timeout = 100ms + this->randomDuration(1500ms);
  Event.MaxTries = static_cast<std::uint32_t>(this->randomBelow(4));
  Event.Attempt = Operation->SendsAttempt ? Operation->Sends : 0;
  if (Operation->SendsAge)
    Event.Age = this->Now - Operation->FirstSentAt;
  Event.WallMicros = 1'000'000;
  Event.Random = this->Random();
  this->Checker.recordSend(Event.CallerId,
                           {Operation->Name,
                            Operation->Method == "GET",
                            Event.MaxTries == 0 ? 3 : Event.MaxTries,
                            false,
                            0,
                            {}});
  int NodeIndex = static_cast<int>(this->randomBelow(NodeCount));
  std::uint64_t CallerId = Event.CallerId;
  Duration Timeout = Event.Timeout;
  if (this->chance(10))
    this->scheduleAfter(
        this->randomDuration(Timeout), [this, NodeIndex, CallerId] {
          // A paused node learns of the disconnection only after its pause.
          if (!this->Checker.isOpen(CallerId) ||
              this->Nodes[NodeIndex].PausedUntil > this->Now)
            return;
          this->deliver(NodeIndex, CallerDisconnected{CallerId});
          // The deadline of the request may have passed first.
          if (this->Checker.isOpen(CallerId))
            this->Checker.recordDisconnect(CallerId);
        });
  this->scheduleAfter(Timeout + this->randomDuration(200ms),
                      [this, Operation, CallerId] {
                        this->resendUnlessResolved(Operation, CallerId);
                      });
  this->deliver(NodeIndex, std::move(Event));
}

void Simulation::resendUnlessResolved(
    const std::shared_ptr<CallerOperation> &Operation, std::uint64_t CallerId) {
  bool Poison = Operation->Body == "poison";
  if (Operation->Sends >= (Poison ? 6 : 3) ||
      this->Checker.reportedRan(CallerId))
    return;
  // A caller starts a new operation if it uses no identifier or was told that
  // the operation did not run.
  if (Operation->Method == "POST" &&
      (Operation->OperationId.empty() || Poison ||
       this->Checker.reportedNotRun(CallerId))) {
    auto Next = std::make_shared<CallerOperation>(*Operation);
    Next->Name += "+";
    Next->Sends = Poison ? Operation->Sends : 0;
    Next->SendsAttempt = Next->SendsAttempt && !Poison;
    if (!Next->OperationId.empty())
      Next->OperationId += "+";
    if (Next->Name.size() < 8)
      this->submit(Next);
    return;
  }
  this->submit(Operation);
}

bool Simulation::owns(int NodeIndex, std::uint32_t SliceIndex) const {
  const Node &N = this->Nodes[NodeIndex];
  return this->Slices[SliceIndex].Owner == NodeIndex &&
         N.AdoptedSlices.contains(SliceIndex) && N.PermissionEnd > this->Now;
}

void Simulation::adopt(std::uint32_t SliceIndex, int NewOwner,
                       std::string Table, bool Lost) {
  Slice &S = this->Slices[SliceIndex];
  S.Owner = NewOwner;
  S.Draining = false;
  S.Drained = false;
  std::uint32_t FencingNumber = S.FencingNumber;
  for (int I = 0; I < NodeCount; ++I)
    this->scheduleAfter(this->randomDuration(I == NewOwner ? 1ms : 100ms),
                        [this, I, SliceIndex, FencingNumber] {
                          // A paused node receives no updates.
                          Node &N = this->Nodes[I];
                          this->scheduleAt(
                              std::max(this->Now, N.PausedUntil),
                              [this, I, SliceIndex, FencingNumber] {
                                if (this->Slices[SliceIndex].FencingNumber ==
                                    FencingNumber)
                                  this->Nodes[I].BelievedOwner[SliceIndex] =
                                      this->Slices[SliceIndex].Owner;
                              });
                        });
  this->scheduleAt(
      std::max(this->Now, this->Nodes[NewOwner].PausedUntil) + 1ms,
      [this, SliceIndex, NewOwner, Table = std::move(Table), Lost,
       FencingNumber] {
        if (this->Slices[SliceIndex].FencingNumber != FencingNumber)
          return;
        this->Nodes[NewOwner].AdoptedSlices.insert(SliceIndex);
        this->deliver(NewOwner, AdoptSlice{{serviceIdOf("desk"), SliceIndex},
                                           Fence{FencingNumber},
                                           Table,
                                           Lost});
      });
}

void Simulation::startMove(std::uint32_t SliceIndex) {
  Slice &S = this->Slices[SliceIndex];
  int Source = S.Owner;
  int Destination = FirstOwner + NodeCount - 1 - Source;
  if (S.Draining || !this->owns(Source, SliceIndex) ||
      this->Nodes[Source].Isolated || this->Nodes[Destination].Isolated ||
      !this->Nodes[Destination].TargetUp)
    return;
  S.Draining = true;
  SliceRef Ref{serviceIdOf("desk"), SliceIndex};
  this->deliver(Source, DrainSlice{Ref});
  this->scheduleAfter(
      this->randomDuration(2s),
      [this, Source, SliceIndex, Ref, FencingNumber = S.FencingNumber] {
        Slice &CurrentSlice = this->Slices[SliceIndex];
        if (!CurrentSlice.Draining || CurrentSlice.Drained ||
            CurrentSlice.FencingNumber != FencingNumber ||
            CurrentSlice.Owner != Source)
          return;
        CurrentSlice.Draining = false;
        this->deliver(Source, ResumeSlice{Ref});
      });
}

void Simulation::handleDrained(int Source, const SliceDrained &Report) {
  std::uint32_t SliceIndex = Report.Slice.Slice;
  Slice &S = this->Slices[SliceIndex];
  if (!S.Draining || S.Owner != Source)
    return;
  S.Drained = true;
  this->scheduleAfter(this->randomDuration(30ms),
                      [this, Source, Report, FencingNumber = S.FencingNumber] {
                        if (this->Slices[Report.Slice.Slice].FencingNumber ==
                            FencingNumber)
                          this->completeMove(Source, Report);
                      });
}

void Simulation::completeMove(int Source, const SliceDrained &Report) {
  std::uint32_t SliceIndex = Report.Slice.Slice;
  Slice &S = this->Slices[SliceIndex];
  // If the move fails, the slice is replaced like that of a lost node.
  if (!this->owns(Source, SliceIndex) || this->Nodes[Source].Isolated)
    return;
  int Destination = FirstOwner + NodeCount - 1 - Source;
  ++S.FencingNumber;
  this->Nodes[Source].AdoptedSlices.erase(SliceIndex);
  this->Nodes[Source].BelievedOwner[SliceIndex] = Destination;
  this->scheduleAfter(0us, [this, Source, Ref = Report.Slice] {
    this->deliver(Source, DropSlice{Ref});
  });
  this->adopt(SliceIndex, Destination, Report.Table, false);
}

void Simulation::isolate(int NodeIndex) {
  Node &N = this->Nodes[NodeIndex];
  if (N.Isolated || !N.TargetUp)
    return;
  N.Isolated = true;
  for (std::uint32_t I = 0; I < SliceCount; ++I)
    if (this->Slices[I].Owner == NodeIndex)
      this->scheduleAt(std::max(N.PermissionEnd, this->Now) + 10ms,
                       [this, I] { this->replaceOwner(I); });
  this->scheduleAt(std::max(N.PermissionEnd, this->Now) + 200ms +
                       this->randomDuration(1s),
                   [this, NodeIndex] { this->recover(NodeIndex, false); });
}

void Simulation::replaceOwner(std::uint32_t SliceIndex) {
  Slice &S = this->Slices[SliceIndex];
  if (this->owns(S.Owner, SliceIndex))
    return;
  int Destination = FirstOwner + NodeCount - 1 - S.Owner;
  if (this->Nodes[Destination].Isolated || !this->Nodes[Destination].TargetUp)
    Destination = S.Owner;
  // If both owners are lost, the slice waits for the first one that returns.
  if (this->Nodes[Destination].Isolated || !this->Nodes[Destination].TargetUp)
    return this->scheduleAfter(
        100ms, [this, SliceIndex] { this->replaceOwner(SliceIndex); });
  ++S.FencingNumber;
  this->adopt(SliceIndex, Destination, "", true);
}

void Simulation::recover(int NodeIndex, bool TargetRestarted) {
  Node &N = this->Nodes[NodeIndex];
  if (N.PausedUntil > this->Now)
    return this->scheduleAt(N.PausedUntil, [this, NodeIndex, TargetRestarted] {
      this->recover(NodeIndex, TargetRestarted);
    });
  N.Isolated = false;
  // The node's slices now belong to another node or are assigned to it again.
  for (std::uint32_t SliceIndex : std::exchange(N.AdoptedSlices, {})) {
    if (this->Slices[SliceIndex].Owner == NodeIndex)
      this->scheduleAfter(
          0us, [this, SliceIndex] { this->replaceOwner(SliceIndex); });
    this->deliver(NodeIndex, DropSlice{{serviceIdOf("desk"), SliceIndex}});
  }
  if (NodeIndex < FirstOwner || !TargetRestarted)
    return;
  N.TargetUp = true;
  this->deliver(NodeIndex, TargetChanged{.Ready = true,
                                         .Service = "desk",
                                         .Slots = 2,
                                         .Connections = 4,
                                         .ChecksFence = this->ChecksFence});
}

} // namespace orioledoor::requests::testing
