// Callers and ownership of the simulation.
#include <algorithm>
#include <utility>

#include "orioledoor/requests/testing/simulation.h"

namespace orioledoor::requests::testing {

using namespace std::chrono_literals;

void Simulation::submit(const std::shared_ptr<Want> &Wish) {
  if (Wish->Sends++ == 0)
    Wish->FirstSentAt = this->Now;
  CallerRequest Event;
  Event.CallerId = ++this->CallerIds;
  Event.Request = std::make_shared<HttpRequest>(
      HttpRequest{Wish->Method,
                  "desk",
                  Wish->Key,
                  Wish->Name,
                  {{"Caller", std::to_string(Event.CallerId)}},
                  Wish->Body});
  Event.OperationId = Wish->OperationId;
  Event.Timeout = 100ms + this->upTo(1500ms);
  Event.MaxTries = static_cast<std::uint32_t>(this->below(4));
  Event.Attempt = Wish->StatesAttempt ? Wish->Sends : 0;
  if (Wish->StatesAge)
    Event.Age = this->Now - Wish->FirstSentAt;
  Event.WallMicros = 1'000'000;
  Event.Random = this->Random();
  this->Log.sent(Event.CallerId, {Wish->Name,
                                  Wish->Method == "GET",
                                  Event.MaxTries == 0 ? 3 : Event.MaxTries,
                                  false,
                                  0,
                                  {}});
  int At = static_cast<int>(this->below(NodeCount));
  std::uint64_t CallerId = Event.CallerId;
  Duration Timeout = Event.Timeout;
  if (this->chance(10))
    this->after(this->upTo(Timeout), [this, At, CallerId] {
      // Only a node that is not frozen learns of it before it answers.
      if (!this->Log.waits(CallerId) || this->Nodes[At].FrozenUntil > this->Now)
        return;
      this->deliver(At, CallerGone{CallerId});
      // Its deadline may have come first.
      if (this->Log.waits(CallerId))
        this->Log.gone(CallerId);
    });
  this->after(Timeout + this->upTo(200ms), [this, Wish, CallerId] {
    this->resendUnlessCertain(Wish, CallerId);
  });
  this->deliver(At, std::move(Event));
}

void Simulation::resendUnlessCertain(const std::shared_ptr<Want> &Wish,
                                     std::uint64_t CallerId) {
  bool Poison = Wish->Body == "poison";
  if (Wish->Sends >= (Poison ? 6 : 3) || this->Log.toldRan(CallerId))
    return;
  // A caller without an identifier, or one told that it did not run, starts a
  // new operation.
  if (Wish->Method == "POST" &&
      (Wish->OperationId.empty() || Poison || this->Log.toldNotRun(CallerId))) {
    auto Next = std::make_shared<Want>(*Wish);
    Next->Name += "+";
    Next->Sends = Poison ? Wish->Sends : 0;
    Next->StatesAttempt = Next->StatesAttempt && !Poison;
    if (!Next->OperationId.empty())
      Next->OperationId += "+";
    if (Next->Name.size() < 8)
      this->submit(Next);
    return;
  }
  this->submit(Wish);
}

bool Simulation::owns(int Which, std::uint32_t Index) const {
  const Node &N = this->Nodes[Which];
  return this->Slices[Index].Owner == Which && N.Held.contains(Index) &&
         N.PermissionEnd > this->Now;
}

void Simulation::adopt(std::uint32_t Index, int By, std::string Table,
                       bool Lost) {
  Slice &S = this->Slices[Index];
  S.Owner = By;
  S.Draining = false;
  S.Drained = false;
  std::uint32_t Number = S.Number;
  for (int I = 0; I < NodeCount; ++I)
    this->after(this->upTo(I == By ? 1ms : 100ms), [this, I, Index, Number] {
      // A frozen node learns nothing meanwhile.
      Node &N = this->Nodes[I];
      this->at(std::max(this->Now, N.FrozenUntil), [this, I, Index, Number] {
        if (this->Slices[Index].Number == Number)
          this->Nodes[I].BelievedOwner[Index] = this->Slices[Index].Owner;
      });
    });
  this->at(std::max(this->Now, this->Nodes[By].FrozenUntil) + 1ms,
           [this, Index, By, Table = std::move(Table), Lost, Number] {
             if (this->Slices[Index].Number != Number)
               return;
             this->Nodes[By].Held.insert(Index);
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
  if (S.Draining || !this->owns(From, Index) || this->Nodes[From].Cut ||
      this->Nodes[To].Cut || !this->Nodes[To].TargetUp)
    return;
  S.Draining = true;
  SliceRef Ref{serviceIdOf("desk"), Index};
  this->deliver(From, DrainSlice{Ref});
  this->after(this->upTo(2s), [this, From, Index, Ref, Number = S.Number] {
    Slice &Now = this->Slices[Index];
    if (!Now.Draining || Now.Drained || Now.Number != Number ||
        Now.Owner != From)
      return;
    Now.Draining = false;
    this->deliver(From, ResumeSlice{Ref});
  });
}

void Simulation::drained(int From, const SliceDrained &Report) {
  std::uint32_t Index = Report.Slice.Slice;
  Slice &S = this->Slices[Index];
  if (!S.Draining || S.Owner != From)
    return;
  S.Drained = true;
  this->after(this->upTo(30ms), [this, From, Report, Number = S.Number] {
    if (this->Slices[Report.Slice.Slice].Number == Number)
      this->handOver(From, Report);
  });
}

void Simulation::handOver(int From, const SliceDrained &Report) {
  std::uint32_t Index = Report.Slice.Slice;
  Slice &S = this->Slices[Index];
  // Otherwise the slice is replaced like that of any lost node.
  if (!this->owns(From, Index) || this->Nodes[From].Cut)
    return;
  int To = FirstOwner + NodeCount - 1 - From;
  ++S.Number;
  this->Nodes[From].Held.erase(Index);
  this->Nodes[From].BelievedOwner[Index] = To;
  this->after(0us, [this, From, Ref = Report.Slice] {
    this->deliver(From, DropSlice{Ref});
  });
  this->adopt(Index, To, Report.Table, false);
}

void Simulation::cutOff(int Which) {
  Node &N = this->Nodes[Which];
  if (N.Cut || !N.TargetUp)
    return;
  N.Cut = true;
  for (std::uint32_t I = 0; I < SliceCount; ++I)
    if (this->Slices[I].Owner == Which)
      this->at(std::max(N.PermissionEnd, this->Now) + 10ms,
               [this, I] { this->replaceOwner(I); });
  this->at(std::max(N.PermissionEnd, this->Now) + 200ms + this->upTo(1s),
           [this, Which] { this->recover(Which, false); });
}

void Simulation::replaceOwner(std::uint32_t Index) {
  Slice &S = this->Slices[Index];
  if (this->owns(S.Owner, Index))
    return;
  int To = FirstOwner + NodeCount - 1 - S.Owner;
  if (this->Nodes[To].Cut || !this->Nodes[To].TargetUp)
    To = S.Owner;
  // With both owners lost, the slice waits for the first that returns.
  if (this->Nodes[To].Cut || !this->Nodes[To].TargetUp)
    return this->after(100ms, [this, Index] { this->replaceOwner(Index); });
  ++S.Number;
  this->adopt(Index, To, "", true);
}

void Simulation::recover(int Which, bool TargetBack) {
  Node &N = this->Nodes[Which];
  if (N.FrozenUntil > this->Now)
    return this->at(N.FrozenUntil, [this, Which, TargetBack] {
      this->recover(Which, TargetBack);
    });
  N.Cut = false;
  // What it held was given to another node, or is given to it anew.
  for (std::uint32_t Index : std::exchange(N.Held, {})) {
    if (this->Slices[Index].Owner == Which)
      this->after(0us, [this, Index] { this->replaceOwner(Index); });
    this->deliver(Which, DropSlice{{serviceIdOf("desk"), Index}});
  }
  if (Which < FirstOwner || !TargetBack)
    return;
  N.TargetUp = true;
  this->deliver(Which, TargetChanged{.Ready = true,
                                     .Service = "desk",
                                     .Slots = 2,
                                     .Connections = 4,
                                     .ChecksFence = this->ChecksFence});
}

} // namespace orioledoor::requests::testing
