// Settings, processes and relays of the soak's fleet.
#include "orioledoor/soak/soak_fleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include <sys/wait.h>

#include "orioledoor/platform/names.h"
#include "orioledoor/platform/testing/target_codec.h"
#include "orioledoor/soak/soak_judge.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint16_t PortsPerNode = 8;
// A process that ended by a fault is back after this.
constexpr Duration RestartPause = milliseconds(500);

constexpr std::array<std::string_view, 3> Domains{"north-a", "north-b",
                                                  "south-a"};

std::string regionOf(std::string_view Domain) {
  return std::string(Domain.substr(0, Domain.find('-')));
}

routing::Route routeOf(const char *Prefix, const char *Service,
                       bool Idempotent) {
  routing::Route Route{.Name = Prefix, .Host = Host, .Prefix = Prefix};
  Route.Services = {{Service, 1}};
  Route.Idempotent = Idempotent;
  Route.Timeout = milliseconds(1500);
  Route.TargetLatency = milliseconds(300);
  Route.Attempts = 2;
  return Route;
}

} // namespace

std::string versionPrefix(std::uint64_t Version) {
  return "/version-" + std::to_string(Version) + "/";
}

SoakFleet::SoakFleet(standins::Loop &Events, SoakJudge &Judge,
                     SoakFleetOptions Options)
    : Events(Events), Judge(Judge), Options(std::move(Options)),
      Store(Events, 0), Client(Events.base()) {
  for (std::size_t Index = 0; Index < this->Options.Nodes; ++Index)
    this->addNode(Index);
}

void SoakFleet::addNode(std::size_t Index) {
  auto Added = std::make_unique<SoakNode>();
  Added->Name = "node-" + std::to_string(Index);
  auto First = static_cast<std::uint16_t>(this->Options.FirstPort +
                                          Index * PortsPerNode);
  bool Keyed = Index % 2 == 0;
  Added->Target = std::make_unique<SoakTarget>(
      this->Events, this->Client, this->Judge,
      SoakTargetOptions{
          .Name = "target-" + std::to_string(Index),
          .Service = Keyed ? KeyedService : PlainService,
          .Partitioned = Keyed,
          .Node = {"127.0.0.1", static_cast<std::uint16_t>(First + 1)},
          .Seed = this->Options.Seed * 1000 + Index});
  // A relay that was cut opens its port again, so the system must not have
  // given it to a connection meanwhile.
  auto RelayTo = [this, First](int Offset, std::uint16_t Port) {
    return std::make_unique<standins::RelayLink>(
        this->Events, static_cast<std::uint16_t>(First + Offset),
        "127.0.0.1:" + std::to_string(Port));
  };
  Added->StoreLink = RelayTo(5, this->Store.port());
  Added->TargetLink = RelayTo(6, Added->Target->port());
  Added->CallerLink = RelayTo(7, First);
  Added->Outbound = {"127.0.0.1", Added->CallerLink->port()};
  this->writeSettings(*Added, Index);
  std::string Base = this->Options.Directory + "/" + Added->Name;
  Added->Process = std::make_unique<NodeProcess>(this->Options.Program,
                                                 Base + ".yaml", Base + ".log");
  this->Nodes.push_back(std::move(Added));
}

void SoakFleet::writeSettings(const SoakNode &Node, std::size_t Index) const {
  std::string_view Domain = Domains.at(Index % Domains.size());
  auto First = this->Options.FirstPort + Index * PortsPerNode;
  auto Address = [First](std::size_t Offset) {
    return "\"127.0.0.1:" + std::to_string(First + Offset) + "\"\n";
  };
  auto Relay = [](const standins::RelayLink &Link) {
    return "\"127.0.0.1:" + std::to_string(Link.port()) + "\"\n";
  };
  std::ofstream File(this->Options.Directory + "/" + Node.Name + ".yaml");
  File << "sidecar:\n  node_name: " << Node.Name
       << "\n  region: " << regionOf(Domain) << "\n  failure_domain: " << Domain
       << "\n  outbound: " << Address(0) << "  control: " << Address(1)
       << "  ready: " << Address(2) << "  metrics: " << Address(3)
       << "  peer: " << Address(4) << "  target: " << Relay(*Node.TargetLink)
       << "  service: "
       << (Node.Target->partitioned() ? KeyedService : PlainService)
       << "\n  store: " << Relay(*Node.StoreLink)
       << "  drain_ms: 2000\n  stop_grace_s: " << StopGrace.count()
       << "\n  max_hold_ms: 10000\n";
}

void SoakFleet::configure() {
  routing::RouteTable Table;
  this->Versions.push_back(readClock());
  Table.Version = this->Versions.size();
  Table.Services[KeyedService] = {KeyedService, "/health", 100, true};
  Table.Services[PlainService] = {PlainService, "/health", 100, false};
  Table.add(routeOf("/keyed/", KeyedService, true));
  Table.add(routeOf("/read/", PlainService, true));
  Table.add(routeOf("/write/", PlainService, false));
  for (std::uint64_t Back = 0; Back < std::min(VersionsKept, Table.Version);
       ++Back)
    Table.add(routeOf(versionPrefix(Table.Version - Back).c_str(), PlainService,
                      true));
  Table.finish();
  standins::StoreModel &Model = this->Store.model();
  Model.begin();
  Model.put(platform::names::ConfigKey, platform::testing::encodeConfig(Table),
            0);
  Model.commit();
}

std::uint64_t SoakFleet::versionBefore(Instant Time) const {
  return static_cast<std::uint64_t>(
      std::ranges::upper_bound(this->Versions, Time) - this->Versions.begin());
}

void SoakFleet::start() {
  this->configure();
  for (auto &Each : this->Nodes) {
    if (!Each->Process->start())
      this->Judge.note("SETUP", Each->Name + " cannot be started", readClock());
    Each->Target->start();
  }
}

void SoakFleet::checkHolders(Instant Now) {
  for (std::uint32_t Index = 0; Index < Keys; ++Index) {
    std::uint32_t Key = Index * sidecar::testing::SampleStep;
    std::vector<std::string> Holders;
    for (const auto &Each : this->Nodes)
      if (Each->Target->holds(Key, Now))
        Holders.push_back(Each->Target->name());
    this->Judge.holders(Key, Holders, Now);
  }
}

void SoakFleet::step(Instant Now) {
  for (auto &Each : this->Nodes) {
    SoakNode &Node = *Each;
    if (std::optional<int> Status = Node.Process->poll()) {
      bool Clean = WIFEXITED(*Status) && WEXITSTATUS(*Status) == 0;
      bool Killed = WIFSIGNALED(*Status) && WTERMSIG(*Status) == SIGKILL;
      if (!Node.Stopping || (!Clean && !Killed))
        this->Judge.note("EXIT",
                         Node.Name + " ended by itself, wait status " +
                             std::to_string(*Status),
                         Now);
      Node.Stopping = false;
      Node.KillAt = Instant();
      if (Node.StartAt == Instant())
        Node.StartAt = Now + RestartPause;
    }
    if (Node.KillAt != Instant() && Now >= Node.KillAt) {
      this->Judge.note("STOP", Node.Name + " did not end within its grace",
                       Now);
      Node.KillAt = Instant();
      Node.Process->signal(SIGKILL);
    }
    if (!Node.Process->running() && Node.StartAt != Instant() &&
        Now >= Node.StartAt) {
      Node.StartAt = Instant();
      if (!Node.Process->start())
        this->Judge.note("SETUP", Node.Name + " cannot be started again", Now);
    }
  }
  this->checkHolders(Now);
}

void SoakFleet::heal() {
  const json None{
      {"cut", false}, {"silent", false}, {"hold", "none"}, {"delay_ms", 0}};
  for (auto &Each : this->Nodes) {
    for (standins::RelayLink *Link :
         {Each->StoreLink.get(), Each->TargetLink.get(),
          Each->CallerLink.get()})
      Link->setFaults(None);
    Each->Process->signal(SIGCONT);
    if (!Each->Target->up())
      Each->Target->start();
  }
  this->Store.setFaults({{"outage", "none"},
                         {"latency_ms", 0},
                         {"lose_answers", 0},
                         {"reject", 0}});
}

void SoakFleet::end() {
  for (auto &Each : this->Nodes)
    Each->Process.reset();
}

void SoakFleet::probeReady() {
  this->ReadyNodes = 0;
  for (std::size_t Index = 0; Index < this->Nodes.size(); ++Index) {
    auto Port = static_cast<std::uint16_t>(this->Options.FirstPort +
                                           Index * PortsPerNode + 2);
    this->Client.call({.Server = {"127.0.0.1", Port},
                       .Method = "GET",
                       .Target = platform::names::ReadinessPath,
                       .Timeout = milliseconds(500)},
                      [this](const wire::HttpResult &Result) {
                        if (!Result.Failure && Result.Answer.Status == 200)
                          ++this->ReadyNodes;
                      });
  }
}

} // namespace orioledoor::soak
