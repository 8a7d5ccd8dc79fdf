// A fleet on loopback for the soak: a stand-in store, and for each node a real
// process, a stand-in target, and relays in front of the store, the target and
// the address for callers.
//
//   SoakFleet Fleet(Events, Checker, {.Program = "build/.../orioledoor"});
//   Fleet.start();
//   Fleet.node(2).Process->signal(SIGSTOP);
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
// Time within which a stopping process must exit.
inline constexpr std::chrono::seconds StopGracePeriod{6};
// Number of sampled keys, which callers request and targets check.
inline constexpr std::uint32_t KeyCount = 64;

struct SoakFleetOptions {
  std::string Program{};
  // Existing directory for settings and logs.
  std::string Directory{};
  // First port of the nodes; below the system's range of ephemeral ports.
  std::uint16_t FirstPort = 27000;
  std::size_t Nodes = 6;
  std::uint64_t Seed = 1;
  // One in this many requests runs for LongRunTime.
  std::size_t RequestsPerLongRequest = 50;
  Duration LongRunTime = std::chrono::milliseconds(300);
  Duration RouteTimeout = std::chrono::milliseconds(1500);
  // Nodes reach each other through relays with this delay in each direction; 0
  // means that they are connected directly.
  Duration PeerDelay{0};
  // One in this many reports of a target is seconds late, and requests must
  // keep to acknowledged departures; 0 if none is.
  std::size_t ReportsPerLateReport = 0;
};

// A node of the fleet with its target, relays and state.
struct SoakNode {
  std::string Name;
  Endpoint Outbound;
  std::unique_ptr<SoakTarget> Target;
  std::unique_ptr<standins::RelayLink> StoreLink;
  std::unique_ptr<standins::RelayLink> TargetLink;
  std::unique_ptr<standins::RelayLink> CallerLink;
  // Carries what other nodes send to this one. Null if they do so directly.
  std::unique_ptr<standins::RelayLink> PeerLink;
  std::unique_ptr<NodeProcess> Process;
  // Whether the process was told to exit or was killed by a fault.
  bool Stopping = false;
  // When a stopping process is killed, if set.
  Instant KillAt;
  // The process is suspended by SIGSTOP and handles no other signal until then.
  Instant PausedUntil;
  // When the process is restarted, if set.
  Instant StartAt;
  // Failures at this node are attributed to faults until then.
  Instant DisturbedUntil;
  // The same, but only for faults of its own process, links and target, and of
  // the store.
  Instant LocalFaultUntil;
};

// Each configuration has a route for its own version and for the versions
// before it, VersionsKept in total. That is more than are written while an
// older one may still be in force.
inline constexpr std::uint64_t VersionsKept = 8;
// Returns the path prefix of a version's route.
std::string versionPrefix(std::uint64_t Version);

// Not thread-safe.
class SoakFleet {
public:
  SoakFleet(standins::Loop &Events, SoakChecker &Checker,
            SoakFleetOptions Options);

  // Writes the first configuration and starts all processes and targets.
  void start();
  // Monitors the processes, restarts those that exited, and passes the holders
  // of all keys to the checker. Call every 20 ms.
  void step(Instant Now);
  // Writes the next version of the configuration.
  void writeConfiguration();
  // Ends the target of a node and makes the VM one of the other service: the
  // settings file changes at once, without a signal. Returns false, and changes
  // nothing, if its service has no other target or if it is down.
  bool changeService(std::size_t Index, Instant Now);
  // Returns the newest version that was written up to Time, or 0 if there is
  // none.
  std::uint64_t versionBefore(Instant Time) const;
  // Clears all faults, resumes suspended processes, and starts targets that are
  // down.
  void clearFaults();
  // Lets targets state limits on their request rate from time to time.
  void setLimitsEnabled(bool Enabled);
  // Kills all processes.
  void killAll();
  // Sends a readiness probe to all nodes.
  void probeReadiness();
  // Returns whether all nodes have answered the last probe as ready.
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
  SoakChecker &Checker;
  SoakFleetOptions Options;
  standins::StoreServer Store;
  wire::HttpClient Client;
  std::vector<std::unique_ptr<SoakNode>> Nodes;
  // The time when each version was written, beginning with version 1.
  std::vector<Instant> Versions;
  std::size_t ReadyNodes = 0;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_FLEET_H
