// The kinds of faults and their probabilities.
#include "orioledoor/soak/soak_faults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <nlohmann/json.hpp>
#include <numeric>
#include <ranges>
#include <utility>

#include "orioledoor/soak/soak_fleet.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::soak {

struct FaultSetting {
  const char *Name;
  nlohmann::json Enable;
  nlohmann::json Disable;
};

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// The time that connections and leases need to recover after a fault.
constexpr Duration RecoveryTime = milliseconds(4000);

std::array<FaultSetting, 6> linkFaults() {
  return {{{"cut", {{"cut", true}}, {{"cut", false}}},
           {"silent", {{"silent", true}}, {{"silent", false}}},
           {"silence_open", {{"silence_open", true}}, json::object()},
           {"hold to", {{"hold", "to"}}, {{"hold", "none"}}},
           {"hold from", {{"hold", "from"}}, {{"hold", "none"}}},
           {"delay", {{"delay_ms", 200}}, {{"delay_ms", 0}}}}};
}

std::array<FaultSetting, 7> storeFaults() {
  return {{{"closed", {{"outage", "closed"}}, {{"outage", "none"}}},
           {"silent", {{"outage", "silent"}}, {{"outage", "none"}}},
           {"slow", {{"latency_ms", 240}}, {{"latency_ms", 0}}},
           {"lost answers", {{"lose_answers", 6}}, {{"lose_answers", 0}}},
           {"rejects", {{"reject", 30}}, {{"reject", 0}}},
           {"silent watches", {{"silence_watches", true}}, json::object()},
           {"closed watches", {{"close_watches", true}}, json::object()}}};
}

} // namespace

SoakFaults::SoakFaults(standins::Loop &Events, SoakFleet &Fleet,
                       std::uint64_t Seed, SoakFaultKinds Kinds)
    : Events(Events), Fleet(Fleet), Random(Seed), Kinds(Kinds),
      StartedAt(readClock()), NextFaultAt(this->StartedAt) {}

Duration SoakFaults::randomDuration(int FromMillis, int ToMillis) {
  return milliseconds(
      std::uniform_int_distribution(FromMillis, ToMillis)(this->Random));
}

void SoakFaults::runAfter(Duration Time, Callback Undo) {
  this->Events.after(Time, std::move(Undo));
}

void SoakFaults::recordFault(SoakNode *Node, const std::string &Description,
                             Duration Time, Instant Now) {
  auto Seconds = static_cast<double>((Now - this->StartedAt).count()) / 1e6;
  this->History.push_back(std::to_string(Seconds) + " s " +
                          (Node ? Node->Name + " " : std::string()) +
                          Description + " for " +
                          std::to_string(Time.count() / 1000) + " ms");
  // Requests pass through several nodes, so a fault at one node affects the
  // callers of all.
  for (std::size_t I = 0; I < this->Fleet.size(); ++I) {
    SoakNode &Affected = this->Fleet.node(I);
    Affected.DisturbedUntil =
        std::max(Affected.DisturbedUntil, Now + Time + RecoveryTime);
    if (!Node || Node == &Affected)
      Affected.LocalFaultUntil = std::max(Affected.LocalFaultUntil, Now + Time);
  }
}

void SoakFaults::signalNode(SoakNode &Node, Instant Now) {
  if (!Node.Process->running() || Node.Stopping)
    return;
  Duration Time = this->randomDuration(300, 5000);
  switch (this->Random() % 4) {
  case 0:
    this->killNode(Node, Time, Now);
    break;
  case 1:
    this->stopNode(Node, Now);
    break;
  case 2:
    this->recordFault(&Node, "SIGSTOP", Time, Now);
    Node.Process->signal(SIGSTOP);
    Node.PausedUntil = Now + Time;
    // Resumes the process that runs at that time, which may be another one.
    this->runAfter(Time, [&Node] { Node.Process->signal(SIGCONT); });
    if (Node.KillAt != Instant())
      Node.KillAt = Node.KillAt + Time;
    break;
  default:
    this->recordFault(&Node, "SIGHUP", Duration(0), Now);
    Node.Process->signal(SIGHUP);
  }
}

void SoakFaults::killNode(SoakNode &Node, Duration Time, Instant Now) {
  this->recordFault(&Node, "SIGKILL", Time, Now);
  Node.Stopping = true;
  Node.StartAt = Now + Time;
  Node.Process->signal(SIGKILL);
}

void SoakFaults::restartBesideDeparture(SoakNode &Node) {
  SoakTarget &Target = *Node.Target;
  if (!Target.isUp() || Target.isLeaving() || !Node.Process->running() ||
      Node.Stopping)
    return;
  auto Kill = [this, &Node](Duration Away) {
    if (Node.Process->running() && !Node.Stopping)
      this->killNode(Node, Away, readClock());
  };
  auto Leave = [this, &Node, &Target](bool Deregisters) {
    if (!Target.isUp() || Target.isLeaving())
      return;
    this->recordFault(&Node,
                      Deregisters ? "target deregisters" : "target leaves",
                      Duration(0), readClock());
    Deregisters ? Target.leaveByDeregistration() : Target.leave();
  };
  Duration Away = this->randomDuration(100, 500);
  Duration Gap = this->randomDuration(100, 600);
  Duration LeaveAfter = Away + Gap;
  if (this->Random() % 2 == 0) {
    // The node's new process may not know the target yet when that deregisters.
    Kill(Away);
    this->runAfter(LeaveAfter, [Leave] { Leave(/*Deregisters=*/true); });
  } else {
    // Reports of the time before a new target had keys may still be under way
    // when it leaves and its node restarts.
    Target.crash();
    Target.start();
    LeaveAfter = this->randomDuration(1500, 3500);
    this->runAfter(LeaveAfter, [Leave] { Leave(/*Deregisters=*/false); });
    this->runAfter(LeaveAfter + Gap, [Kill, Away] { Kill(Away); });
  }
  this->runAfter(LeaveAfter + milliseconds(9000), [&Target] {
    if (!Target.isUp())
      Target.start();
  });
}

void SoakFaults::stopNode(SoakNode &Node, Instant Now) {
  this->recordFault(&Node, "SIGTERM", StopGracePeriod, Now);
  Node.Stopping = true;
  // A suspended process cannot handle the signal, so the grace period begins
  // when it is resumed.
  Node.KillAt = std::max(Now, Node.PausedUntil) + StopGracePeriod;
  Node.Process->signal(SIGTERM);
}

void SoakFaults::changeService(std::size_t Index, Instant Now) {
  SoakNode &Node = this->Fleet.node(Index);
  if (!this->Fleet.changeService(Index, Now))
    return;
  Duration Time = this->randomDuration(100, 4000);
  bool Announced = this->Random() % 2 == 0;
  this->recordFault(&Node,
                    Announced ? "service changes, SIGHUP" : "service changes",
                    Time, Now);
  if (Announced && Node.Process->running())
    Node.Process->signal(SIGHUP);
  this->runAfter(Time, [&Target = *Node.Target] {
    if (!Target.isUp())
      Target.start();
  });
}

void SoakFaults::stopSeveralNodes(Instant Now) {
  std::vector<std::size_t> Order(this->Fleet.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::ranges::shuffle(Order, this->Random);
  std::size_t Count = 1 + this->Random() % (this->Fleet.size() / 2);
  for (std::size_t Index : Order | std::views::take(Count))
    if (SoakNode &Node = this->Fleet.node(Index);
        Node.Process->running() && !Node.Stopping)
      this->stopNode(Node, Now);
}

void SoakFaults::disturbStore(Instant Now) {
  // The faults that come first in the list. The others reject calls and end
  // watches, which nodes recover from at once.
  constexpr std::size_t LastingStoreFaults = 4;
  auto Faults = storeFaults();
  const FaultSetting &Fault = Faults.at(this->Random() % LastingStoreFaults);
  this->startStoreFault(Fault, this->randomDuration(300, 6000), Now);
}

void SoakFaults::startStoreFault(const FaultSetting &Fault, Duration Time,
                                 Instant Now) {
  this->recordFault(nullptr, std::string("store ") + Fault.Name, Time, Now);
  standins::StoreServer &Store = this->Fleet.store();
  Store.setFaults(Fault.Enable);
  this->runAfter(
      Time, [&Store, Disable = Fault.Disable] { Store.setFaults(Disable); });
}

void SoakFaults::injectLinkFault(SoakNode &Node, Instant Now) {
  std::array<std::pair<const char *, standins::RelayLink *>, 3> Links{
      {{"store link", Node.StoreLink.get()},
       {"target link", Node.TargetLink.get()},
       {"caller link", Node.CallerLink.get()}}};
  auto [Name, Link] = Links.at(this->Random() % Links.size());
  auto Faults = linkFaults();
  const FaultSetting &Fault = Faults.at(this->Random() % Faults.size());
  Duration Time = this->randomDuration(200, 6000);
  this->recordFault(&Node, std::string(Name) + " " + Fault.Name, Time, Now);
  if (Link == Node.TargetLink.get())
    Node.Target->excuseArrivalsUntil(Now + Time + RecoveryTime);
  Link->setFaults(Fault.Enable);
  this->runAfter(Time,
                 [Link, Disable = Fault.Disable] { Link->setFaults(Disable); });
}

void SoakFaults::injectPeerLinkFault(SoakNode &Node, Instant Now) {
  // A silent connection never recovers; a held one may outlast the ping of the
  // transport or not.
  const std::array<FaultSetting, 3> Faults{
      {{"silence_open", {{"silence_open", true}}, json::object()},
       {"cut", {{"cut", true}}, {{"cut", false}}},
       {"hold to", {{"hold", "to"}}, {{"hold", "none"}}}}};
  const FaultSetting &Fault = Faults.at(this->Random() % Faults.size());
  Duration Time = this->randomDuration(50, 1200);
  this->recordFault(&Node, std::string("peer link ") + Fault.Name, Time, Now);
  standins::RelayLink *Link = Node.PeerLink.get();
  Link->setFaults(Fault.Enable);
  this->runAfter(Time,
                 [Link, Disable = Fault.Disable] { Link->setFaults(Disable); });
}

void SoakFaults::injectTargetFault(SoakNode &Node, Instant Now) {
  SoakTarget &Target = *Node.Target;
  if (!Target.isUp() || Target.isLeaving())
    return;
  Duration Time = this->randomDuration(200, 4000);
  bool SameInstance = this->Random() % 2 == 0;
  bool IsPlannedLeave = this->Random() % 2 == 0;
  this->recordFault(&Node, IsPlannedLeave ? "target leaves" : "target crashes",
                    Time, Now);
  if (IsPlannedLeave) {
    Target.leave();
    Time = Time + milliseconds(3000);
  } else {
    Target.crash();
  }
  this->runAfter(Time, [&Target, SameInstance] {
    if (!Target.isUp())
      Target.start(SameInstance);
  });
}

void SoakFaults::injectStoreFault(Instant Now) {
  if (this->Random() % 4 == 0) {
    // Not recorded as a fault: the change must be in force in time.
    this->Fleet.writeConfiguration();
    return;
  }
  standins::StoreServer &Store = this->Fleet.store();
  if (this->Random() % 5 == 0) {
    this->recordFault(nullptr, "store compacts its history", Duration(0), Now);
    Store.setFaults({{"compact", Store.model().revision()}});
    return;
  }
  auto Faults = storeFaults();
  const FaultSetting &Fault = Faults.at(this->Random() % Faults.size());
  this->startStoreFault(Fault, this->randomDuration(300, 9000), Now);
}

void SoakFaults::step(Instant Now) {
  if (this->Stopped || Now < this->NextFaultAt)
    return;
  this->NextFaultAt = Now + this->randomDuration(100, 1500);
  if (this->Kinds == SoakFaultKinds::PlannedStops) {
    switch (this->Random() % 4) {
    case 0:
      return this->disturbStore(Now);
    case 1:
      return this->Fleet.writeConfiguration();
    default:
      return this->stopSeveralNodes(Now);
    }
  }
  if (this->Kinds == SoakFaultKinds::PeerLinks) {
    std::size_t Index = this->Random() % this->Fleet.size();
    switch (this->Random() % 4) {
    case 0:
      return this->stopSeveralNodes(Now);
    case 1:
      return this->Fleet.writeConfiguration();
    default:
      return this->injectPeerLinkFault(this->Fleet.node(Index), Now);
    }
  }
  if (this->Kinds == SoakFaultKinds::LateReports)
    return this->restartBesideDeparture(
        this->Fleet.node(this->Random() % this->Fleet.size()));
  if (this->Kinds == SoakFaultKinds::ServiceChanges) {
    std::size_t Index = this->Random() % this->Fleet.size();
    switch (this->Random() % 4) {
    case 0:
      return this->disturbStore(Now);
    case 1:
      return this->injectTargetFault(this->Fleet.node(Index), Now);
    default:
      return this->changeService(Index, Now);
    }
  }
  SoakNode &Node = this->Fleet.node(this->Random() % this->Fleet.size());
  switch (this->Random() % 4) {
  case 0:
    return this->signalNode(Node, Now);
  case 1:
    return this->injectLinkFault(Node, Now);
  case 2:
    return this->injectTargetFault(Node, Now);
  default:
    return this->injectStoreFault(Now);
  }
}

} // namespace orioledoor::soak
