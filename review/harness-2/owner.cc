// Keys that move from one backend to another while a heartbeat misleads the
// node of the first one: it is seconds late and reaches a process that has just
// started.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

#include "keyed_target.h"
#include "lab.h"

namespace lab {
namespace {

// Two backends may not hold the same keys for longer than this.
constexpr std::int64_t MaxOverlapMs = 500;

// Three machines with a partitioned service.
struct KeyedFleet {
  Store Platform;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<std::unique_ptr<KeyedTarget>> Targets;

  explicit KeyedFleet(const std::string &Directory) {
    this->Platform.put(
        "op/config",
        makeConfig(
            5, {{.Name = "consulta", .Partitioned = true}},
            {{.Prefix = "/catalogo/", .Service = "consulta", .Kind = "safe"}}));
    for (int I = 0; I < MachineCount; ++I) {
      this->Nodes.push_back(std::make_unique<Node>(
          NodeOptions{.Name = "node-" + std::to_string(I),
                      .Zone = Zones[I],
                      .Region = Regions[I],
                      .Service = "consulta",
                      .StorePort = this->Platform.port()},
          Directory));
      this->Targets.push_back(
          std::make_unique<KeyedTarget>("i-" + std::to_string(I), "consulta",
                                        Zones[I], this->Nodes.back()->Control));
      this->Nodes.back()->setTargetPort(this->Targets.back()->port());
    }
  }

  // Returns whether all nodes are ready and all targets hold keys in time.
  bool waitForKeys() {
    for (const auto &Each : this->Nodes)
      if (!Each->waitReady(15'000))
        return false;
    std::int64_t Limit = nowMs() + 15'000;
    while (std::any_of(this->Targets.begin(), this->Targets.end(),
                       [](const auto &Each) { return Each->someKey() < 0; })) {
      if (nowMs() > Limit)
        return false;
      sleepMs(5);
    }
    return true;
  }

  int end(int Status) {
    for (const auto &Each : this->Nodes) {
      if (!Each->isRunning())
        continue;
      Each->kill(SIGKILL);
      Each->wait();
    }
    return Status;
  }
};

} // namespace

int runLateHeartbeat(const std::string &Directory) {
  // Lives as long as the process, since threads of the stand-ins use it.
  auto *Fleet = new KeyedFleet(Directory);
  KeyedTarget &Leaving = *Fleet->Targets[0];
  Node &First = *Fleet->Nodes[0];
  for (int I = 0; I < MachineCount; ++I)
    Fleet->Nodes[I]->start();
  Fleet->Nodes[0]->waitReady(15'000);
  for (int I = 0; I < MachineCount; ++I)
    Fleet->Targets[I]->start();
  sleepMs(300);
  // The second heartbeat of the new target is seconds late.
  if (hasTrouble())
    Leaving.holdBackNextBeat();
  if (!Fleet->waitForKeys())
    return Fleet->end(2);
  int FirstKey = Leaving.someKey();
  int LastKey = Leaving.lastKey();
  // Watches some of its keys for a second holder.
  std::atomic<bool> Stop = false;
  std::int64_t Longest = 0;
  std::thread Watcher([&] {
    std::map<std::pair<int, int>, std::int64_t> Since;
    while (!Stop) {
      sleepMs(10);
      for (int I = 0; I < 16; ++I) {
        int Key = FirstKey + (LastKey - FirstKey) * I / 15;
        for (int Other = 1; Other < MachineCount; ++Other) {
          bool Both = Leaving.stateOf(Key) == KeyedTarget::KeyState::Held &&
                      Fleet->Targets[Other]->stateOf(Key) ==
                          KeyedTarget::KeyState::Held;
          auto Found = Since.find({Key, Other});
          if (Both && Found == Since.end()) {
            Since[{Key, Other}] = nowMs();
            record("i-0 and " + Fleet->Targets[Other]->instance() +
                   " both hold key " + std::to_string(Key));
          } else if (Found != Since.end()) {
            Longest = std::max(Longest, nowMs() - Found->second);
            if (!Both)
              Since.erase(Found);
          }
        }
      }
    }
  });
  // Planned work: the target leaves. Its keys get their next owners.
  Leaving.setDraining();
  std::int64_t Before = Leaving.AckedAt;
  for (std::int64_t Limit = nowMs() + 3000;
       Leaving.AckedAt == Before && nowMs() < Limit;)
    sleepMs(2);
  sleepMs(300);
  if (hasTrouble()) {
    // The node's process is killed and starts again at once; heartbeats on its
    // machine are late for three seconds.
    First.kill(SIGKILL);
    First.wait();
    std::int64_t KilledAt = nowMs();
    Leaving.DelayMs = 2000;
    sleepMs(300);
    First.start();
    if (!First.waitReady(10'000))
      return Fleet->end(2);
    sleepMs(200);
    Json Late = Leaving.takeStraggler();
    record("the heartbeat that was held up arrives: " +
           std::to_string(Leaving.deliverLate(Late)));
    sleepUntil(KilledAt + 3000);
    Leaving.DelayMs = 0;
  }
  sleepMs(4000);
  Stop = true;
  Watcher.join();
  record("two targets held the same key for " + std::to_string(Longest) +
         " ms at most");
  return Fleet->end(Longest > MaxOverlapMs ? 1 : 0);
}

} // namespace lab
