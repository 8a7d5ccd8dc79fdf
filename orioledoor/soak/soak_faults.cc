// The kinds of faults and their odds.
#include "orioledoor/soak/soak_faults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

#include "orioledoor/soak/soak_fleet.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// After a fault, connections and leases need this long to settle.
constexpr Duration Settling = milliseconds(4000);

struct LinkFault {
  const char *Name;
  json On;
  json Off;
};

std::array<LinkFault, 6> linkFaults() {
  return {{{"cut", {{"cut", true}}, {{"cut", false}}},
           {"silent", {{"silent", true}}, {{"silent", false}}},
           {"silence_open", {{"silence_open", true}}, json::object()},
           {"hold to", {{"hold", "to"}}, {{"hold", "none"}}},
           {"hold from", {{"hold", "from"}}, {{"hold", "none"}}},
           {"delay", {{"delay_ms", 200}}, {{"delay_ms", 0}}}}};
}

std::array<LinkFault, 7> storeFaults() {
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
                       std::uint64_t Seed)
    : Events(Events), Fleet(Fleet), Random(Seed), StartedAt(readClock()),
      NextAt(this->StartedAt) {}

Duration SoakFaults::between(int FromMillis, int ToMillis) {
  return milliseconds(
      std::uniform_int_distribution(FromMillis, ToMillis)(this->Random));
}

void SoakFaults::later(Duration Time, Duty Undo) {
  this->Events.after(Time, std::move(Undo));
}

void SoakFaults::record(SoakNode *Node, const std::string &What, Duration Time,
                        Instant Now) {
  auto Seconds = static_cast<double>((Now - this->StartedAt).count()) / 1e6;
  this->Done.push_back(std::to_string(Seconds) + " s " +
                       (Node ? Node->Name + " " : std::string()) + What +
                       " for " + std::to_string(Time.count() / 1000) + " ms");
  // Requests cross nodes, so a fault at one disturbs the callers of all.
  for (std::size_t I = 0; I < this->Fleet.size(); ++I) {
    SoakNode &Each = this->Fleet.node(I);
    Each.DisturbedUntil = std::max(Each.DisturbedUntil, Now + Time + Settling);
    if (!Node || Node == &Each)
      Each.OwnFaultUntil = std::max(Each.OwnFaultUntil, Now + Time);
  }
}

void SoakFaults::signalNode(SoakNode &Node, Instant Now) {
  if (!Node.Process->running() || Node.Stopping)
    return;
  Duration Time = this->between(300, 5000);
  switch (this->Random() % 4) {
  case 0:
    this->record(&Node, "SIGKILL", Time, Now);
    Node.Stopping = true;
    Node.StartAt = Now + Time;
    Node.Process->signal(SIGKILL);
    break;
  case 1:
    this->record(&Node, "SIGTERM", StopGrace, Now);
    Node.Stopping = true;
    // The grace begins once the process can see the signal.
    Node.KillAt = std::max(Now, Node.PausedUntil) + StopGrace;
    Node.Process->signal(SIGTERM);
    break;
  case 2:
    this->record(&Node, "SIGSTOP", Time, Now);
    Node.Process->signal(SIGSTOP);
    Node.PausedUntil = Now + Time;
    // Whatever runs there by then is to go on.
    this->later(Time, [&Node] { Node.Process->signal(SIGCONT); });
    if (Node.KillAt != Instant())
      Node.KillAt = Node.KillAt + Time;
    break;
  default:
    this->record(&Node, "SIGHUP", Duration(0), Now);
    Node.Process->signal(SIGHUP);
  }
}

void SoakFaults::disturbLink(SoakNode &Node, Instant Now) {
  std::array<std::pair<const char *, standins::RelayLink *>, 3> Links{
      {{"store link", Node.StoreLink.get()},
       {"target link", Node.TargetLink.get()},
       {"caller link", Node.CallerLink.get()}}};
  auto [Name, Link] = Links.at(this->Random() % Links.size());
  auto Faults = linkFaults();
  const LinkFault &Fault = Faults.at(this->Random() % Faults.size());
  Duration Time = this->between(200, 6000);
  this->record(&Node, std::string(Name) + " " + Fault.Name, Time, Now);
  Link->setFaults(Fault.On);
  this->later(Time, [Link, Off = Fault.Off] { Link->setFaults(Off); });
}

void SoakFaults::disturbTarget(SoakNode &Node, Instant Now) {
  SoakTarget &Target = *Node.Target;
  if (!Target.up() || Target.leaving())
    return;
  Duration Time = this->between(200, 4000);
  bool SameInstance = this->Random() % 2 == 0;
  bool Leaves = this->Random() % 2 == 0;
  this->record(&Node, Leaves ? "target leaves" : "target crashes", Time, Now);
  if (Leaves) {
    Target.leave();
    Time = Time + milliseconds(3000);
  } else {
    Target.crash();
  }
  this->later(Time, [&Target, SameInstance] {
    if (!Target.up())
      Target.start(SameInstance);
  });
}

void SoakFaults::disturbStore(Instant Now) {
  if (this->Random() % 4 == 0) {
    // No disturbance of its own: the change must be in force in time.
    this->Fleet.configure();
    return;
  }
  standins::StoreServer &Store = this->Fleet.store();
  if (this->Random() % 5 == 0) {
    this->record(nullptr, "store forgets its history", Duration(0), Now);
    Store.setFaults({{"compact", Store.model().revision()}});
    return;
  }
  auto Faults = storeFaults();
  const LinkFault &Fault = Faults.at(this->Random() % Faults.size());
  Duration Time = this->between(300, 9000);
  this->record(nullptr, std::string("store ") + Fault.Name, Time, Now);
  Store.setFaults(Fault.On);
  this->later(Time, [&Store, Off = Fault.Off] { Store.setFaults(Off); });
}

void SoakFaults::step(Instant Now) {
  if (this->Stopped || Now < this->NextAt)
    return;
  this->NextAt = Now + this->between(100, 1500);
  SoakNode &Node = this->Fleet.node(this->Random() % this->Fleet.size());
  switch (this->Random() % 4) {
  case 0:
    return this->signalNode(Node, Now);
  case 1:
    return this->disturbLink(Node, Now);
  case 2:
    return this->disturbTarget(Node, Now);
  default:
    return this->disturbStore(Now);
  }
}

} // namespace orioledoor::soak
