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
  Event.CallerId = ++this->CallerIds;
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
  int At = static_cast<int>(this->randomBelow(NodeCount));
  std::uint64_t CallerId = Event.CallerId;
  Duration Timeout = Event.Timeout;
  if (this->chance(10))
    this->scheduleAfter(this->randomDuration(Timeout), [this, At, CallerId] {
      // A paused node learns of the disconnection only after its pause.
      if (!this->Checker.isOpen(CallerId) ||
          this->Nodes[At].PausedUntil > this->Now)
        return;
      this->deliver(At, CallerGone{CallerId});
      // The deadline of the request may have passed first.
      if (this->Checker.isOpen(CallerId))
        this->Checker.recordDisconnect(CallerId);
    });
  this->scheduleAfter(Timeout + this->randomDuration(200ms),
                      [this, Operation, CallerId] {
                        this->resendUnlessResolved(Operation, CallerId);
                      });
  this->deliver(At, std::move(Event));
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

bool Simulation::owns(int Which, std::uint32_t Index) const {
  const Node &N = this->Nodes[Which];
  return this->Slices[Index].Owner == Which &&
         N.AdoptedSlices.contains(Index) && N.PermissionEnd > this->Now;
}

void Simulation::adopt(std::uint32_t Index, int By, std::string Table,
                       bool Lost) {
  Slice &S = this->Slices[Index];
  S.Owner = By;
  S.Draining = false;
  S.Drained = false;
  std::uint32_t Number = S.Number;
  for (int I = 0; I < NodeCount; ++I)
    this->scheduleAfter(
        this->randomDuration(I == By ? 1ms : 100ms), [this, I, Index, Number] {
          // A paused node receives no updates.
          Node &N = this->Nodes[I];
          this->scheduleAt(std::max(this->Now, N.PausedUntil), [this, I, Index,
                                                                Number] {
            if (this->Slices[Index].Number == Number)
              this->Nodes[I].BelievedOwner[Index] = this->Slices[Index].Owner;
          });
        });
  this->scheduleAt(std::max(this->Now, this->Nodes[By].PausedUntil) + 1ms,
                   [this, Index, By, Table = std::move(Table), Lost, Number] {
                     if (this->Slices[Index].Number != Number)
                       return;
                     this->Nodes[By].AdoptedSlices.insert(Index);
                     this->deliver(By, AdoptSlice{{serviceIdOf("desk"), Index},
                                                  Fence{Number},
                                                  Table,
                                                  Lost});
                   });
}

void Simulation::startMove(std::uint32_t Index) {
  Slice &S = this->Slices[Index];
  int From = S.Owner;
  int To = FirstOwner + NodeCount - 1 - From;
  if (S.Draining || !this->owns(From, Index) || this->Nodes[From].Isolated ||
      this->Nodes[To].Isolated || !this->Nodes[To].TargetUp)
    return;
  S.Draining = true;
  SliceRef Ref{serviceIdOf("desk"), Index};
  this->deliver(From, DrainSlice{Ref});
  this->scheduleAfter(this->randomDuration(2s),
                      [this, From, Index, Ref, Number = S.Number] {
                        Slice &Now = this->Slices[Index];
                        if (!Now.Draining || Now.Drained ||
                            Now.Number != Number || Now.Owner != From)
                          return;
                        Now.Draining = false;
                        this->deliver(From, ResumeSlice{Ref});
                      });
}

void Simulation::handleDrained(int From, const SliceDrained &Report) {
  std::uint32_t Index = Report.Slice.Slice;
  Slice &S = this->Slices[Index];
  if (!S.Draining || S.Owner != From)
    return;
  S.Drained = true;
  this->scheduleAfter(this->randomDuration(30ms),
                      [this, From, Report, Number = S.Number] {
                        if (this->Slices[Report.Slice.Slice].Number == Number)
                          this->completeMove(From, Report);
                      });
}

void Simulation::completeMove(int From, const SliceDrained &Report) {
  std::uint32_t Index = Report.Slice.Slice;
  Slice &S = this->Slices[Index];
  // If the move fails, the slice is replaced like that of a lost node.
  if (!this->owns(From, Index) || this->Nodes[From].Isolated)
    return;
  int To = FirstOwner + NodeCount - 1 - From;
  ++S.Number;
  this->Nodes[From].AdoptedSlices.erase(Index);
  this->Nodes[From].BelievedOwner[Index] = To;
  this->scheduleAfter(0us, [this, From, Ref = Report.Slice] {
    this->deliver(From, DropSlice{Ref});
  });
  this->adopt(Index, To, Report.Table, false);
}

void Simulation::isolate(int Which) {
  Node &N = this->Nodes[Which];
  if (N.Isolated || !N.TargetUp)
    return;
  N.Isolated = true;
  for (std::uint32_t I = 0; I < SliceCount; ++I)
    if (this->Slices[I].Owner == Which)
      this->scheduleAt(std::max(N.PermissionEnd, this->Now) + 10ms,
                       [this, I] { this->replaceOwner(I); });
  this->scheduleAt(std::max(N.PermissionEnd, this->Now) + 200ms +
                       this->randomDuration(1s),
                   [this, Which] { this->recover(Which, false); });
}

void Simulation::replaceOwner(std::uint32_t Index) {
  Slice &S = this->Slices[Index];
  if (this->owns(S.Owner, Index))
    return;
  int To = FirstOwner + NodeCount - 1 - S.Owner;
  if (this->Nodes[To].Isolated || !this->Nodes[To].TargetUp)
    To = S.Owner;
  // If both owners are lost, the slice waits for the first one that returns.
  if (this->Nodes[To].Isolated || !this->Nodes[To].TargetUp)
    return this->scheduleAfter(100ms,
                               [this, Index] { this->replaceOwner(Index); });
  ++S.Number;
  this->adopt(Index, To, "", true);
}

void Simulation::recover(int Which, bool TargetRestarted) {
  Node &N = this->Nodes[Which];
  if (N.PausedUntil > this->Now)
    return this->scheduleAt(N.PausedUntil, [this, Which, TargetRestarted] {
      this->recover(Which, TargetRestarted);
    });
  N.Isolated = false;
  // The node's slices now belong to another node or are assigned to it again.
  for (std::uint32_t Index : std::exchange(N.AdoptedSlices, {})) {
    if (this->Slices[Index].Owner == Which)
      this->scheduleAfter(0us, [this, Index] { this->replaceOwner(Index); });
    this->deliver(Which, DropSlice{{serviceIdOf("desk"), Index}});
  }
  if (Which < FirstOwner || !TargetRestarted)
    return;
  N.TargetUp = true;
  this->deliver(Which, TargetChanged{.Ready = true,
                                     .Service = "desk",
                                     .Slots = 2,
                                     .Connections = 4,
                                     .ChecksFence = this->ChecksFence});
}

} // namespace orioledoor::requests::testing
