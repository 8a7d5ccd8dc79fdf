// Targets that leave: two ways in which a node acknowledges that and forgets
// it.
#include <csignal>
#include <memory>
#include <thread>

#include "lab.h"

namespace lab {
namespace {

constexpr std::int64_t DrainMs = 2000;
constexpr std::int64_t ContactMs = 3000;
// Work of a request; the sheets give means of 96 to 140 ms and up to 860 ms.
constexpr std::int64_t WorkMs = 300;
constexpr int ReturningCallers = 12;

struct Fleet {
  Store Platform;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<std::unique_ptr<Target>> Targets;
  std::atomic<bool> Stop = false;
  // The callers send nothing while set.
  std::atomic<bool> Quiet = false;
  std::vector<std::thread> Callers;
  std::mutex Mutex;
  // Time at which each request was sent, and the node that took it.
  std::map<std::string, std::pair<std::int64_t, int>> Sent;
  // Status that the caller got; 0 if there was no answer.
  std::map<std::string, int> Answered;

  explicit Fleet(const std::string &Directory) {
    this->Platform.put("op/config", makeConfig(5, {{.Name = "registro"}},
                                               {{.Prefix = "/cesion/",
                                                 .Service = "registro",
                                                 .Kind = "unsafe"}}));
    for (int I = 0; I < MachineCount; ++I) {
      this->Nodes.push_back(std::make_unique<Node>(
          NodeOptions{.Name = "node-" + std::to_string(I),
                      .Zone = Zones[I],
                      .Region = Regions[I],
                      .Service = "registro",
                      .StorePort = this->Platform.port(),
                      .DrainMs = DrainMs},
          Directory));
      this->Targets.push_back(std::make_unique<Target>(
          TargetOptions{.Instance = "",
                        .Service = "registro",
                        .Zone = Zones[I],
                        .ControlPort = this->Nodes.back()->Control,
                        .WorkMs = WorkMs}));
      this->Nodes.back()->setTargetPort(this->Targets.back()->port());
      this->Nodes.back()->start();
    }
  }

  // Starts the targets from First on and the callers; returns whether the fleet
  // serves.
  bool start(std::size_t First = 0) {
    for (std::size_t I = First; I < this->Targets.size(); ++I)
      this->Targets[I]->start("i-" + std::to_string(I), wallMs());
    for (const auto &Each : this->Nodes)
      if (!Each->waitReady(15'000))
        return false;
    for (int I = 0; I < MachineCount; ++I)
      this->Callers.emplace_back([this, I] { this->callAt(I); });
    return true;
  }

  // Callers on machine I: 20 requests a second, each on a new connection. After
  // a quiet time, ReturningCallers come back at once.
  void callAt(int I) {
    int Returning = 0;
    for (int Number = 0; !this->Stop; ++Number) {
      if (this->Quiet) {
        Returning = ReturningCallers;
        sleepMs(10);
        continue;
      }
      std::string Id = "a" + std::to_string(I) + "-" + std::to_string(Number);
      std::thread([this, I, Id] {
        {
          std::lock_guard Lock(this->Mutex);
          this->Sent[Id] = {nowMs(), I};
        }
        auto Answer = call(this->Nodes[I]->Outbound, "POST", "/cesion/" + Id,
                           {{"Host", "lab.example"},
                            {"Attempt-Id", Id},
                            {"Deadline-Remaining", "2000"}},
                           "x", 2500);
        int Status = Answer ? Answer->Status : 0;
        record("caller " + Id + " got " + std::to_string(Status));
        std::lock_guard Lock(this->Mutex);
        this->Answered[Id] = Status;
      }).detach();
      if (Returning > 0)
        --Returning;
      else
        sleepMs(50);
    }
  }

  // Counts the requests that the target of machine I ran later than drainMs
  // after the acknowledgement. Counted are those that were sent after
  // CalmFrom, when all machines are in touch.
  int lateRuns(std::size_t I, std::int64_t CalmFrom) {
    std::int64_t Acked = this->Targets[I]->LeaveAckedAt;
    int Late = 0;
    std::lock_guard Lock(this->Mutex);
    for (const Run &Each : this->Targets[I]->runs()) {
      auto Found = this->Sent.find(Each.AttemptId);
      if (Acked == 0 || Each.At <= Acked + DrainMs ||
          Found == this->Sent.end() || Found->second.first < CalmFrom)
        continue;
      ++Late;
      record("LATE: " + Each.AttemptId + ", sent at " +
             std::to_string(Found->second.first) + " ms to node-" +
             std::to_string(Found->second.second) + ", runs at " +
             std::to_string(Each.At) + " ms, " +
             std::to_string(Each.At - Acked) +
             " ms after the acknowledgement; the caller got " +
             std::to_string(this->Answered[Each.AttemptId]));
    }
    return Late;
  }

  // Ends the case and returns its exit status: whether the target of machine 0
  // ran requests too late.
  int finish(std::int64_t CalmFrom) {
    this->Stop = true;
    for (std::thread &Each : this->Callers)
      Each.join();
    sleepMs(2600);
    int Late = this->lateRuns(0, CalmFrom);
    for (const auto &Each : this->Nodes) {
      if (!Each->isRunning())
        continue;
      Each->kill(SIGKILL);
      Each->wait();
    }
    record(std::to_string(Late) + " requests reached the target too late");
    return Late > 0 ? 1 : 0;
  }
};

} // namespace

int runForgottenDeregistration(const std::string &Directory) {
  // Threads of the stand-ins use it until the process ends.
  Fleet &F = *new Fleet(Directory);
  if (!F.start())
    return 2;
  sleepMs(4000);
  Target &Leaving = *F.Targets[0];
  std::pair<std::string, std::string> LateBeat;
  if (hasTrouble()) {
    // One machine's process is killed and starts again; its target goes on.
    Leaving.pauseBeats(true);
    F.Nodes[0]->kill(SIGKILL);
    F.Nodes[0]->wait();
    sleepMs(500);
    F.Nodes[0]->start();
    if (!F.Nodes[0]->waitReady(10'000))
      return 2;
    // This heartbeat arrives seconds late.
    LateBeat = Leaving.makeBeat();
    record("a heartbeat is on its way");
    sleepMs(100);
  } else {
    sleepMs(1000);
    Leaving.pauseBeats(true);
  }
  // The target leaves without reporting "draining".
  if (Leaving.deregister() != 200)
    return 2;
  std::int64_t Acked = Leaving.LeaveAckedAt;
  std::int64_t CalmFrom = std::max(Acked, F.Nodes[0]->StartedAt + ContactMs);
  if (hasTrouble()) {
    sleepUntil(std::max(Acked + DrainMs, CalmFrom) + 500);
    record("the late heartbeat arrives: " +
           std::to_string(Leaving.deliver(LateBeat)));
  }
  // The target has served for longer than drainMs and exits.
  sleepUntil(std::max(Acked + DrainMs, CalmFrom) + 900);
  Leaving.crash();
  sleepMs(2000);
  return F.finish(CalmFrom);
}

int runClockStep(const std::string &Directory) {
  constexpr std::int64_t StepMs = 2400;
  // Threads of the stand-ins use it until the process ends.
  Fleet &F = *new Fleet(Directory);
  if (!F.start(1))
    return 2;
  sleepMs(3000);
  Target &Backend = *F.Targets[0];
  // A backend is added beside node-0.
  Backend.start("i-0", wallMs());
  sleepMs(1000);
  std::int64_t Step = hasTrouble() ? -StepMs : 0;
  record("the time of day of machine 0 jumps by " + std::to_string(Step) +
         " ms");
  sleepMs(200);
  Backend.crash();
  sleepMs(500);
  Backend.start("i-0", wallMs() + Step);
  sleepMs(5000);
  record("the time of day of machine 0 is right again");
  std::int64_t CalmFrom = nowMs() + ContactMs;
  sleepUntil(CalmFrom + 500);
  // Nobody calls the service for some seconds.
  F.Quiet = true;
  sleepMs(1000);
  Backend.setDraining();
  for (std::int64_t End = nowMs() + 4000;
       Backend.LeaveAckedAt == 0 && nowMs() < End;)
    sleepMs(20);
  if (Backend.LeaveAckedAt == 0) {
    record("draining is not acknowledged");
    return F.finish(CalmFrom);
  }
  // Callers return after the drain time; the target serves on for a little
  // longer, deregisters and exits.
  sleepUntil(Backend.LeaveAckedAt + DrainMs + 300);
  F.Quiet = false;
  sleepMs(200);
  Backend.deregister();
  Backend.crash();
  sleepMs(2000);
  return F.finish(CalmFrom);
}

} // namespace lab
