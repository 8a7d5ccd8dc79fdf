// Many users come at once and upload large bodies. The platform kills a process
// whose memory exceeds its limit.
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "../harness/fleet.h"

using namespace review;

namespace {

constexpr std::size_t MachineCount = 4;
// `limits.memoryMb`.
constexpr long MemoryKb = 260L * 1024;
// `limits.maxBodyBytes` is 64 MiB; these bodies have 7 MB.
constexpr std::size_t BodyBytes = 7'000'000;
// `burst`: 1.8 times the traffic for 5 s, several times.
constexpr int UsualClients = 12;
constexpr int BurstClients = 9;
constexpr int Bursts = 6;
constexpr int BurstMs = 5000;
constexpr int PauseMs = 5000;
// A process that ends is restarted after a short delay.
constexpr double RestartSeconds = 0.5;
// The rule: a tenth of the machines, two at least; three times.
constexpr int MaxEnds = 3;
constexpr int MaxMachines = 2;

long residentKb(pid_t Pid) {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::atol(Line.c_str() + 6);
  return 0;
}

Verdict run(Recorder &Record) {
  const char *Zones[] = {"santander", "bilbao", "logrono", "burgos"};
  const char *Regions[] = {"cantabrico", "cantabrico", "ebro", "meseta-norte"};
  std::vector<MachineOptions> Options;
  for (std::size_t I = 0; I < MachineCount; ++I)
    Options.push_back({"m" + std::to_string(I), Zones[I], Regions[I],
                       {.Service = "registro", .WorkMs = 400}});
  Fleet &Machines = Fleet::create(Options, Record);
  Machines.putConfig(makeConfig(
      7, Json::array({makeService("registro", false)}),
      Json::array(
          {makeRoute("/deposito/", "upload", "registro", 3000, 500)})));
  if (!Machines.start())
    return CannotRun;
  sleepMs(3000);

  const std::string Body(BodyBytes, 'f');
  std::atomic<bool> Stop{false};
  std::atomic<bool> InBurst{false};
  std::mutex Mutex;
  std::map<int, int> Statuses;
  std::set<std::string> Unanswered;
  std::vector<std::thread> Clients;
  for (std::size_t I = 0; I < MachineCount; ++I)
    for (int N = 0; N < UsualClients + BurstClients; ++N)
      Clients.emplace_back([&, I, N] {
        while (!Stop) {
          if (N >= UsualClients && !InBurst) {
            sleepMs(10);
            continue;
          }
          std::string Id = newId("");
          ClientResult Result = sendRequest(
              Machines[I], "POST", "/deposito/package", Id, 3000, -1, Body);
          int Status = Result.Complete ? Result.Answer.status() : 0;
          {
            std::lock_guard Lock(Mutex);
            ++Statuses[Status];
            if (Status == 0)
              Unanswered.insert(Id);
          }
          Record.write("client: " + Id + " answered " +
                       std::to_string(Status));
          sleepMs(30);
        }
      });

  std::vector<int> Ends(MachineCount, 0);
  std::vector<long> Peaks(MachineCount, 0);
  std::vector<double> RestartAt(MachineCount, -1);
  // The platform: watches the memory, and restarts what has ended.
  auto Watch = [&](int Duration) {
    double End = Record.seconds() + Duration / 1000.0;
    while (Record.seconds() < End) {
      for (std::size_t I = 0; I < MachineCount; ++I) {
        if (RestartAt[I] >= 0) {
          if (Record.seconds() < RestartAt[I])
            continue;
          RestartAt[I] = -1;
          Machines[I].startNode();
        }
        long Resident = residentKb(Machines[I].pid());
        Peaks[I] = std::max(Peaks[I], Resident);
        if (Resident <= MemoryKb)
          continue;
        ++Ends[I];
        Record.write("platform: the node of " + Machines[I].Options.Name +
                     " has " + std::to_string(Resident / 1024) +
                     " MB, over its limit of 260 MB, and is killed");
        Machines[I].killNode();
        RestartAt[I] = Record.seconds() + RestartSeconds;
      }
      sleepMs(5);
    }
  };
  Watch(PauseMs);
  for (int I = 0; I < Bursts; ++I) {
    if (troubleWanted()) {
      InBurst = true;
      Record.write("burst: 1.75 times the clients");
    }
    Watch(BurstMs);
    InBurst = false;
    Watch(PauseMs);
  }
  Stop = true;
  for (std::thread &Each : Clients)
    Each.join();
  int Machines3 = 0;
  for (std::size_t I = 0; I < MachineCount; ++I) {
    Machines3 += Ends[I] >= MaxEnds;
    Record.write("Fault: node of m" + std::to_string(I) + " ended " +
                 std::to_string(Ends[I]) + " times; largest memory " +
                 std::to_string(Peaks[I] / 1024) + " MB");
  }
  int RanUnanswered = 0;
  for (std::size_t I = 0; I < MachineCount; ++I)
    for (const Run &Each : Machines[I].Server->runs())
      RanUnanswered += Unanswered.contains(Each.AttemptId);
  std::string Text;
  for (const auto &[Status, Number] : Statuses)
    Text += " " + std::to_string(Status) + ": " + std::to_string(Number);
  Record.write("answers by status (0: none):" + Text + "; uploads that ran and "
               "got no answer: " +
               std::to_string(RanUnanswered));
  return Machines3 >= MaxMachines ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
