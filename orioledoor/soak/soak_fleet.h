// A fleet on loopback for the soak: the stand-in store, and for each node a
// real process, a stand-in target and relays before the store, the target and
// the callers' address.
//
//   SoakFleet Fleet(Events, Judge, {.Program = "build/.../orioledoor"});
//   Fleet.start();
//   Fleet.node(2).Process.signal(SIGSTOP);
#ifndef ORIOLEDOOR_SOAK_SOAK_FLEET_H
#define ORIOLEDOOR_SOAK_SOAK_FLEET_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "orioledoor/soak/node_process.h"
#include "orioledoor/soak/soak_target.h"
#include "orioledoor/standins/relay_link.h"
#include "orioledoor/standins/store_server.h"
#include "orioledoor/wire/http_client.h"

namespace orioledoor::soak {

// Services and routes of the soak's configuration.
inline constexpr char KeyedService[] = "keyed";
inline constexpr char PlainService[] = "plain";
inline constexpr char Host[] = "soak.example";
// Within which a stopping process ends.
inline constexpr std::chrono::seconds StopGrace{6};
// Keys that callers ask for; targets check these positions.
inline constexpr std::uint32_t Keys = 64;

struct SoakFleetOptions {
  std::string Program{};
  // For settings and logs; exists.
  std::string Directory{};
  // Below the range of ports that the system picks for relays.
  std::uint16_t FirstPort = 27000;
  std::size_t Nodes = 6;
  std::uint64_t Seed = 1;
};

struct SoakNode {
  std::string Name;
  Endpoint Outbound;
  std::unique_ptr<SoakTarget> Target;
  std::unique_ptr<standins::RelayLink> StoreLink;
  std::unique_ptr<standins::RelayLink> TargetLink;
  std::unique_ptr<standins::RelayLink> CallerLink;
  std::unique_ptr<NodeProcess> Process;
  // The process was told to end, or is to be started again.
  bool Stopping = false;
  Instant KillAt;
  // The process is stopped by a signal until then and handles no other one.
  Instant PausedUntil;
  Instant StartAt;
  // What happens at this node is the doing of a fault until then.
  Instant DisturbedUntil;
  // The same for faults of its own process and links, and of the store.
  Instant OwnFaultUntil;
};

// A configuration has routes for itself and the versions before it, this many:
// more than are written while an older one may still be in force.
inline constexpr std::uint64_t VersionsKept = 8;
std::string versionPrefix(std::uint64_t Version);

// Not thread-safe.
class SoakFleet {
public:
  SoakFleet(standins::Loop &Events, SoakJudge &Judge, SoakFleetOptions Options);

  void start();
  // Watches the processes, restarts what ended, and reports the holders of keys
  // to the judge. Call every 20 ms.
  void step(Instant Now);
  // Writes the next version of the configuration.
  void configure();
  // The newest version that was written before Time; 0: none.
  std::uint64_t versionBefore(Instant Time) const;
  // Ends all faults and starts whatever is down.
  void heal();
  // Kills all processes.
  void end();
  // All processes run and say that they are ready.
  void probeReady();
  bool ready() const { return this->ReadyNodes == this->Nodes.size(); }

  std::size_t size() const { return this->Nodes.size(); }
  SoakNode &node(std::size_t Index) { return *this->Nodes[Index]; }
  standins::StoreServer &store() { return this->Store; }
  wire::HttpClient &client() { return this->Client; }

private:
  void addNode(std::size_t Index);
  void writeSettings(const SoakNode &Node, std::size_t Index) const;
  void checkHolders(Instant Now);

  standins::Loop &Events;
  SoakJudge &Judge;
  SoakFleetOptions Options;
  standins::StoreServer Store;
  wire::HttpClient Client;
  std::vector<std::unique_ptr<SoakNode>> Nodes;
  // When each version was written; the first one is version 1.
  std::vector<Instant> Versions;
  std::size_t ReadyNodes = 0;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_FLEET_H
