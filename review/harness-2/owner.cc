// Keys that move from one backend to another while a heartbeat misleads the
// node of the first one: it comes from another writer and has no "holds", or it
// is seconds late and reaches a process that has just started.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

#include "keyed_target.h"
#include "lab.h"

namespace lab {
namespace {

// Requests of the catalogue take up to 900 ms.
constexpr int LongWorkMs = 900;

// Two backends may not hold the same keys for longer than this.
constexpr std::int64_t MaxOverlapMs = 500;

// Three machines with a partitioned service.
struct KeyedFleet {
  Store Platform;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<std::unique_ptr<KeyedTarget>> Targets;

  KeyedFleet(const std::string &Directory,
             std::function<void(KeyedTarget &, int, int)> OnTaken) {
    this->Platform.put(
        "op/config",
        makeConfig(
            5, {{.Name = "consulta", .Partitioned = true}},
            {{.Prefix = "/catalogo/", .Service = "consulta", .Kind = "safe"}}));
    const char *Zones[] = {"santander", "logrono", "burgos"};
    const char *Regions[] = {"cantabrico", "ebro", "meseta-norte"};
    for (int I = 0; I < 3; ++I) {
      this->Nodes.push_back(std::make_unique<Node>(
          NodeOptions{.Name = "node-" + std::to_string(I),
                      .Zone = Zones[I],
                      .Region = Regions[I],
                      .Service = "consulta",
                      .StorePort = this->Platform.port()},
          Directory));
      this->Targets.push_back(std::make_unique<KeyedTarget>(
          "i-" + std::to_string(I), "consulta", Zones[I],
          this->Nodes.back()->Control, OnTaken));
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

int runForeignHeartbeat(const std::string &Directory) {
  std::atomic<int> Violations = 0;
  // Lives as long as the process, since threads of the stand-ins use it.
  KeyedFleet *Fleet = nullptr;
  Fleet = new KeyedFleet(Directory, [&](KeyedTarget &Taker, int From, int To) {
    for (const auto &Other : Fleet->Targets)
      for (int Key = From; Other.get() != &Taker && Key <= To; ++Key)
        if (Other->runningOn(Key) > 0 && nowMs() < Other->holdEnd(Key)) {
          ++Violations;
          record("OWNER: " + Taker.instance() + " is given key " +
                 std::to_string(Key) + " while " + Other->instance() +
                 " is at work on it; that hold would run out in " +
                 std::to_string(Other->holdEnd(Key) - nowMs()) + " ms");
        }
  });
  for (int I = 0; I < 3; ++I) {
    Fleet->Nodes[I]->start();
    Fleet->Targets[I]->start();
  }
  if (!Fleet->waitForKeys())
    return Fleet->end(2);
  sleepMs(3000);

  KeyedTarget &Leaving = *Fleet->Targets[0];
  int Key = Leaving.someKey();
  std::atomic<bool> Stop = false;
  // Callers at all machines ask for the key; each request takes long.
  std::vector<std::thread> Callers;
  for (int I = 0; I < 3; ++I)
    Callers.emplace_back([&, I] {
      for (int Number = 0; !Stop; ++Number) {
        std::thread([&, I, Number] {
          std::string Id =
              "k" + std::to_string(I) + "-" + std::to_string(Number);
          auto Answer = call(Fleet->Nodes[I]->Outbound, "GET",
                             "/catalogo/x?work=" + std::to_string(LongWorkMs),
                             {{"Host", "lab.example"},
                              {"Attempt-Id", Id},
                              {"Shard-Key", std::to_string(Key)},
                              {"Deadline-Remaining", "2500"}},
                             "", 3000);
          record("caller " + Id + " got " +
                 (Answer ? std::to_string(Answer->Status) : "no answer"));
        }).detach();
        sleepMs(250);
      }
    });
  sleepMs(1500);
  Leaving.setDraining();
  // The target is at work on the key, which was left out of the last answer.
  std::int64_t Limit = nowMs() + 5000;
  while (Leaving.stateOf(Key) != KeyedTarget::KeyState::WorkingOff &&
         nowMs() < Limit)
    sleepMs(5);
  bool WasLeftOut = Leaving.stateOf(Key) == KeyedTarget::KeyState::WorkingOff;
  if (!WasLeftOut)
    record("the key was not left out while there was work on it");
  if (WasLeftOut && hasTrouble()) {
    Json Beat = Leaving.makeBeat();
    Beat.erase("holds");
    record("another writer's heartbeat without \"holds\" gets " +
           std::to_string(Leaving.deliverLate(Beat)));
  }
  sleepMs(4000);
  Stop = true;
  for (std::thread &Each : Callers)
    Each.join();
  sleepMs(3200);
  record(std::to_string(Violations) +
         " times a key was given while another backend was at work on it");
  return Fleet->end(!WasLeftOut ? 2 : Violations > 0 ? 1 : 0);
}

int runLateHeartbeat(const std::string &Directory) {
  // Lives as long as the process, since threads of the stand-ins use it.
  auto *Fleet = new KeyedFleet(Directory, [](const KeyedTarget &, int, int) {});
  KeyedTarget &Leaving = *Fleet->Targets[0];
  Node &First = *Fleet->Nodes[0];
  for (int I = 0; I < 3; ++I)
    Fleet->Nodes[I]->start();
  Fleet->Nodes[0]->waitReady(15'000);
  for (int I = 0; I < 3; ++I)
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
        for (int Other = 1; Other < 3; ++Other) {
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
