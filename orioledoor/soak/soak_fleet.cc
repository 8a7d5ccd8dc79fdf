// Sets up the settings, processes and relays of the soak's fleet.
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
#include "orioledoor/soak/soak_checker.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint16_t PortsPerNode = 9;
// Delay before a process that exited because of a fault is restarted.
constexpr Duration RestartDelay = milliseconds(500);

constexpr std::array<std::string_view, 3> FailureDomains{"north-a", "north-b",
                                                         "south-a"};

std::string regionOf(std::string_view FailureDomain) {
  return std::string(FailureDomain.substr(0, FailureDomain.find('-')));
}

routing::Route makeRoute(const char *Prefix, const char *Service,
                         bool Idempotent, Duration Timeout) {
  routing::Route Route{.Name = Prefix, .Host = Host, .Prefix = Prefix};
  Route.Services = {{Service, 1}};
  Route.Idempotent = Idempotent;
  Route.Timeout = Timeout;
  Route.TargetLatency = milliseconds(300);
  Route.Attempts = 2;
  return Route;
}

} // namespace

std::string versionPrefix(std::uint64_t Version) {
  return "/version-" + std::to_string(Version) + "/";
}

SoakFleet::SoakFleet(standins::Loop &Events, SoakChecker &Checker,
                     SoakFleetOptions Options)
    : Events(Events), Checker(Checker), Options(std::move(Options)),
      Store(Events, 0), Client(Events.base()) {
  for (std::size_t Index = 0; Index < this->Options.Nodes; ++Index)
    this->addNode(Index);
}

void SoakFleet::addNode(std::size_t Index) {
  auto Node = std::make_unique<SoakNode>();
  Node->Name = "node-" + std::to_string(Index);
  auto BasePort = static_cast<std::uint16_t>(this->Options.FirstPort +
                                             Index * PortsPerNode);
  bool Keyed = Index % 2 == 0;
  Node->Target = std::make_unique<SoakTarget>(
      this->Events, this->Client, this->Checker,
      SoakTargetOptions{
          .Name = "target-" + std::to_string(Index),
          .Service = Keyed ? KeyedService : PlainService,
          .Partitioned = Keyed,
          .Node = {"127.0.0.1", static_cast<std::uint16_t>(BasePort + 1)},
          .RequestsPerLongRequest = this->Options.RequestsPerLongRequest,
          .LongRunTime = this->Options.LongRunTime,
          .ReportsPerLateReport = this->Options.ReportsPerLateReport,
          .Seed = this->Options.Seed * 1000 + Index});
  // Relays use fixed ports, since a relay whose link was cut listens on its
  // port again, and the system must not assign the port to a connection
  // meanwhile.
  auto MakeRelay = [this, BasePort](int Offset, std::uint16_t Port) {
    return std::make_unique<standins::RelayLink>(
        this->Events, static_cast<std::uint16_t>(BasePort + Offset),
        "127.0.0.1:" + std::to_string(Port));
  };
  Node->StoreLink = MakeRelay(5, this->Store.port());
  Node->TargetLink = MakeRelay(6, Node->Target->port());
  Node->CallerLink = MakeRelay(7, BasePort);
  if (this->Options.PeerDelay > Duration(0)) {
    Node->PeerLink = MakeRelay(8, static_cast<std::uint16_t>(BasePort + 4));
    Node->PeerLink->setFaults(
        {{"delay_ms", this->Options.PeerDelay / milliseconds(1)}});
  }
  // The node reaches the target through the relay, so that is its address.
  Node->Target->setReportedAddress("127.0.0.1:" +
                                   std::to_string(Node->TargetLink->port()));
  if (this->Options.ReportsPerLateReport != 0)
    Node->Target->setNodeName(Node->Name);
  Node->Outbound = {"127.0.0.1", Node->CallerLink->port()};
  this->writeSettings(*Node, Index);
  std::string Base = this->Options.Directory + "/" + Node->Name;
  Node->Process = std::make_unique<NodeProcess>(this->Options.Program,
                                                Base + ".yaml", Base + ".log");
  this->Nodes.push_back(std::move(Node));
}

void SoakFleet::writeSettings(const SoakNode &Node, std::size_t Index) const {
  std::string_view FailureDomain =
      FailureDomains.at(Index % FailureDomains.size());
  auto BasePort = this->Options.FirstPort + Index * PortsPerNode;
  auto FormatAddress = [BasePort](std::size_t Offset) {
    return "\"127.0.0.1:" + std::to_string(BasePort + Offset) + "\"\n";
  };
  auto FormatRelayAddress = [](const standins::RelayLink &Link) {
    return "\"127.0.0.1:" + std::to_string(Link.port()) + "\"\n";
  };
  std::ofstream File(this->Options.Directory + "/" + Node.Name + ".yaml");
  File << "sidecar:\n  node_name: " << Node.Name
       << "\n  region: " << regionOf(FailureDomain)
       << "\n  failure_domain: " << FailureDomain
       << "\n  outbound: " << FormatAddress(0)
       << "  control: " << FormatAddress(1) << "  ready: " << FormatAddress(2)
       << "  metrics: " << FormatAddress(3)
       << "  peer: " << FormatAddress(Node.PeerLink ? 8 : 4)
       << (Node.PeerLink ? "  peer_listen: " + FormatAddress(4) : "")
       << "  target: " << FormatRelayAddress(*Node.TargetLink) << "  service: "
       << (Node.Target->isPartitioned() ? KeyedService : PlainService)
       << "\n  store: " << FormatRelayAddress(*Node.StoreLink)
       << "  drain_ms: 2000\n  stop_grace_s: " << StopGracePeriod.count()
       << "\n  max_hold_ms: 10000\n";
}

void SoakFleet::writeConfiguration() {
  routing::RouteTable Table;
  this->Versions.push_back(readClock());
  Table.Version = this->Versions.size();
  Table.Services[KeyedService] = {KeyedService, "/health", 100, true};
  Table.Services[PlainService] = {PlainService, "/health", 100, false};
  Duration Timeout = this->Options.RouteTimeout;
  Table.add(makeRoute("/keyed/", KeyedService, true, Timeout));
  Table.add(makeRoute("/read/", PlainService, true, Timeout));
  Table.add(makeRoute("/write/", PlainService, false, Timeout));
  for (std::uint64_t Age = 0; Age < std::min(VersionsKept, Table.Version);
       ++Age)
    Table.add(makeRoute(versionPrefix(Table.Version - Age).c_str(),
                        PlainService, true, Timeout));
  Table.finish();
  standins::StoreModel &Model = this->Store.model();
  Model.begin();
  Model.put(platform::names::ConfigKey, platform::testing::encodeConfig(Table),
            0);
  Model.commit();
}

bool SoakFleet::changeService(std::size_t Index, Instant Now) {
  SoakNode &Node = *this->Nodes[Index];
  SoakTarget &Target = *Node.Target;
  auto Others = std::ranges::count_if(this->Nodes, [&](const auto &Each) {
    return Each->Target.get() != &Target && Each->Target->isUp() &&
           Each->Target->service() == Target.service();
  });
  if (!Target.isUp() || Target.isLeaving() || Others == 0)
    return false;
  bool Partitioned = !Target.isPartitioned();
  Target.crash();
  Target.setService(Partitioned ? KeyedService : PlainService, Partitioned);
  this->writeSettings(Node, Index);
  this->Checker.recordServiceChange(Node.Name, Now);
  return true;
}

std::uint64_t SoakFleet::versionBefore(Instant Time) const {
  return static_cast<std::uint64_t>(
      std::ranges::upper_bound(this->Versions, Time) - this->Versions.begin());
}

void SoakFleet::start() {
  this->writeConfiguration();
  for (auto &Each : this->Nodes) {
    if (!Each->Process->start())
      this->Checker.addViolation("SETUP", Each->Name + " cannot be started",
                                 readClock());
    Each->Target->start();
  }
}

void SoakFleet::checkHolders(Instant Now) {
  for (std::uint32_t Index = 0; Index < KeyCount; ++Index) {
    std::uint32_t Key = Index * sidecar::testing::SampleStep;
    std::vector<std::string> Holders;
    for (const auto &Each : this->Nodes)
      if (Each->Target->holds(Key, Now))
        Holders.push_back(Each->Target->name());
    this->Checker.checkHolders(Key, Holders, Now);
  }
}

void SoakFleet::step(Instant Now) {
  for (auto &Each : this->Nodes) {
    SoakNode &Node = *Each;
    if (std::optional<int> Status = Node.Process->poll()) {
      bool ExitedCleanly = WIFEXITED(*Status) && WEXITSTATUS(*Status) == 0;
      bool KilledBySignal =
          WIFSIGNALED(*Status) && WTERMSIG(*Status) == SIGKILL;
      if (!Node.Stopping || (!ExitedCleanly && !KilledBySignal))
        this->Checker.addViolation("EXIT",
                                   Node.Name +
                                       " exited unexpectedly, wait status " +
                                       std::to_string(*Status),
                                   Now);
      Node.Stopping = false;
      Node.KillAt = Instant();
      this->Checker.excuseNode(Node.Name, Now);
      if (Node.StartAt == Instant())
        Node.StartAt = Now + RestartDelay;
    }
    if (Now <= Node.PausedUntil)
      this->Checker.excuseNode(Node.Name, Now);
    if (!Node.Process->running() || Now <= Node.PausedUntil)
      this->Checker.recordNodeDown(Node.Name, Now);
    if (Node.KillAt != Instant() && Now >= Node.KillAt) {
      this->Checker.addViolation(
          "STOP", Node.Name + " did not exit within the grace period", Now);
      Node.KillAt = Instant();
      Node.Process->signal(SIGKILL);
    }
    if (!Node.Process->running() && Node.StartAt != Instant() &&
        Now >= Node.StartAt) {
      Node.StartAt = Instant();
      if (!Node.Process->start())
        this->Checker.addViolation("SETUP", Node.Name + " cannot be restarted",
                                   Now);
    }
  }
  this->checkHolders(Now);
}

void SoakFleet::clearFaults() {
  const json NoFaults{
      {"cut", false}, {"silent", false}, {"hold", "none"}, {"delay_ms", 0}};
  for (auto &Each : this->Nodes) {
    for (standins::RelayLink *Link :
         {Each->StoreLink.get(), Each->TargetLink.get(),
          Each->CallerLink.get()})
      Link->setFaults(NoFaults);
    if (Each->PeerLink)
      Each->PeerLink->setFaults({{"cut", false}, {"hold", "none"}});
    Each->Process->signal(SIGCONT);
    if (!Each->Target->isUp())
      Each->Target->start();
  }
  this->Store.setFaults({{"outage", "none"},
                         {"latency_ms", 0},
                         {"lose_answers", 0},
                         {"reject", 0}});
}

void SoakFleet::setLimitsEnabled(bool Enabled) {
  for (auto &Each : this->Nodes)
    Each->Target->setLimitsEnabled(Enabled);
}

void SoakFleet::killAll() {
  for (auto &Each : this->Nodes)
    Each->Process.reset();
}

void SoakFleet::probeReadiness() {
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
