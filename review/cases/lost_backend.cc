// All machines lose power. They come back, except that one backend is lost for
// good; the node beside it runs again.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>

#include "../harness/fleet.h"

using namespace review;

namespace {

// One of eight backends is below the share of `srv_crash` with `gone`, 0.14.
constexpr std::size_t MachineCount = 8;
// `power_off_all`: down_s = 1.5.
constexpr int DownMs = 1500;
// The bound `recoveryS`.
constexpr double RecoverySeconds = 15;
// The busy keys are close to one another; most requests are about them.
constexpr int BusyKey = 4100;
constexpr int BusyKeys = 64;
constexpr int BusyPercent = 90;

struct Counts {
  std::atomic<int> Sent{0};
  std::atomic<int> Served{0};

  double share() const {
    return this->Sent ? static_cast<double>(this->Served) / this->Sent : 0;
  }
};

Machine *ownerOf(Fleet &Machines, int Key) {
  for (std::size_t I = 0; I < Machines.size(); ++I)
    for (const HeldRow &Row : Machines[I].Server->heldRows())
      if (Row.From <= Key && Key <= Row.To)
        return &Machines[I];
  return nullptr;
}

Verdict run(Recorder &Record) {
  const char *Zones[] = {"santander", "bilbao", "logrono", "tudela",
                         "burgos",    "palencia"};
  const char *Regions[] = {"cantabrico", "ebro", "meseta-norte"};
  std::vector<MachineOptions> Options;
  for (std::size_t I = 0; I < MachineCount; ++I)
    Options.push_back({"m" + std::to_string(I), Zones[I % 6],
                       Regions[I % 6 / 2],
                       {.Service = "consulta", .Partitioned = true}});
  Fleet &Machines = Fleet::create(Options, Record);
  Machines.putConfig(makeConfig(
      7, Json::array({makeService("consulta", true)}),
      Json::array({makeRoute("/catalogo/", "safe", "consulta", 1200, 400)})));
  if (!Machines.start())
    return CannotRun;
  Clock::time_point End = Clock::now() + std::chrono::seconds(20);
  while (!ownerOf(Machines, BusyKey) || !ownerOf(Machines, 65535)) {
    if (Clock::now() > End)
      return CannotRun;
    sleepMs(50);
  }
  sleepMs(2000);

  Counts Before, Recovering, After, AfterBusy, AfterOther;
  std::atomic<Counts *> Phase{&Before};
  std::atomic<bool> Stop{false};
  std::vector<std::thread> Clients;
  for (std::size_t I = 0; I < MachineCount; ++I)
    Clients.emplace_back([&, I] {
      std::mt19937 Random(static_cast<unsigned>(I));
      while (!Stop) {
        bool Busy = static_cast<int>(Random() % 100) < BusyPercent;
        int Key = Busy ? BusyKey + static_cast<int>(Random() % BusyKeys)
                       : static_cast<int>(Random() % 65536);
        std::string Id = newId("");
        Counts *SentIn = Phase;
        ClientResult Result = sendRequest(Machines[I], "GET", "/catalogo/entry",
                                          Id, 2500, Key);
        bool Served = Result.Complete && Result.Answer.status() == 200 &&
                      Result.Answer.hasField("Server-Signature");
        ++SentIn->Sent;
        SentIn->Served += Served;
        if (SentIn == &After) {
          Counts &Part = Busy ? AfterBusy : AfterOther;
          ++Part.Sent;
          Part.Served += Served;
        }
        Record.write("client: " + Id + " key=" + std::to_string(Key) +
                     " answered " + std::to_string(Result.Answer.status()));
        sleepMs(100);
      }
    });
  sleepMs(5000);
  Phase = &Recovering;
  if (troubleWanted()) {
    Machine *Lost = ownerOf(Machines, BusyKey);
    if (!Lost)
      return CannotRun;
    // For a control run: the same final fault, and every backend returns.
    bool AllReturn = std::getenv("ALL_RETURN") != nullptr;
    Record.write("all machines lose power");
    for (std::size_t I = 0; I < MachineCount; ++I) {
      Machines[I].killNode();
      Machines[I].Server->crash();
    }
    sleepMs(DownMs);
    for (std::size_t I = 0; I < MachineCount; ++I) {
      Machines[I].startNode();
      if (&Machines[I] != Lost || AllReturn)
        Machines[I].Server->start(newId("i-"), unixMillis());
    }
    Record.write(AllReturn ? "the machines are back"
                           : "the machines are back; the backend of " +
                                 Lost->Options.Name + " is lost for good");
  }
  sleepMs(static_cast<int>(RecoverySeconds * 1000));
  Phase = &After;
  sleepMs(20'000);
  Stop = true;
  for (std::thread &Each : Clients)
    Each.join();
  auto Line = [&Record](const char *Name, const Counts &Each) {
    Record.write(std::string("RECOVER: ") + Name + ": " +
                 std::to_string(Each.Served) + " of " +
                 std::to_string(Each.Sent) + " served");
  };
  Line("before", Before);
  Line("in the first 15 s after", Recovering);
  Line("later than 15 s after", After);
  Line("of these, busy keys", AfterBusy);
  Line("of these, other keys", AfterOther);
  if (Before.share() < 0.25 || After.Sent == 0)
    return CannotRun;
  return After.share() < 0.25 ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
