// Busy keys change place for a while, as they do on ordinary days. Then all
// machines lose power, and all but one of them are removed for good.
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <random>
#include <thread>

#include "../harness/fleet.h"

using namespace review;

namespace {

constexpr std::size_t MachineCount = 8;
// `power_off_all`: down_s = 1.5.
constexpr int DownMs = 1500;
// The bound `recoveryS`.
constexpr double RecoverySeconds = 15;
// `hot_key`: 0.43 of the requests are about 200 keys, for up to 5 s.
constexpr int HotPerMille = 430;
constexpr int HotKeys = 200;
constexpr int HotMs = 2500;
constexpr int HotSpots = 22;
constexpr int ClientsPerMachine = 4;

struct Counts {
  std::atomic<int> Sent{0};
  std::atomic<int> Served{0};
};

Verdict run(Recorder &Record) {
  // One zone, of which a machine is left: no zone is lost (faultTolerance.zones
  // is 0).
  std::vector<MachineOptions> Options;
  for (std::size_t I = 0; I < MachineCount; ++I)
    Options.push_back({"m" + std::to_string(I), "santander", "cantabrico",
                       {.Service = "consulta",
                        .Partitioned = true,
                        .Slots = 2,
                        .WorkMs = 50}});
  Fleet &Machines = Fleet::create(Options, Record);
  Machines.putConfig(makeConfig(
      7, Json::array({makeService("consulta", true)}),
      Json::array({makeRoute("/catalogo/", "safe", "consulta", 1200, 400)})));
  if (!Machines.start())
    return CannotRun;
  Clock::time_point End = Clock::now() + std::chrono::seconds(20);
  while (std::any_of(Options.begin(), Options.end(), [&](const auto &Each) {
    std::size_t Index = static_cast<std::size_t>(&Each - Options.data());
    return Machines[Index].Server->heldRows().empty();
  })) {
    if (Clock::now() > End)
      return CannotRun;
    sleepMs(50);
  }

  // For a control run: the same final fault without busy keys before it.
  bool EvenTraffic = std::getenv("EVEN_TRAFFIC") != nullptr;
  Counts Before, Recovering, After;
  std::atomic<Counts *> Phase{&Before};
  std::atomic<int> HotKey{0};
  std::atomic<int> PauseMs{20};
  std::atomic<bool> Stop{false};
  std::vector<std::thread> Clients;
  for (std::size_t I = 0; I < MachineCount * ClientsPerMachine; ++I)
    Clients.emplace_back([&, I] {
      std::mt19937 Random(static_cast<unsigned>(I));
      while (!Stop) {
        bool Hot = !EvenTraffic && Random() % 1000 < HotPerMille;
        int Key = Hot ? HotKey + static_cast<int>(Random() % HotKeys)
                      : static_cast<int>(Random() % 65536);
        // Clients of a machine that is gone use one that is left.
        Machine &At = Machines[I % MachineCount].pid() > 0
                          ? Machines[I % MachineCount]
                          : Machines[0];
        std::string Id = newId("");
        Counts *SentIn = Phase;
        ClientResult Result =
            sendRequest(At, "GET", "/catalogo/entry", Id, 1500, Key);
        ++SentIn->Sent;
        SentIn->Served += Result.Complete && Result.Answer.status() == 200 &&
                          Result.Answer.hasField("Server-Signature");
        Record.write("client: " + Id + " key=" + std::to_string(Key) +
                     " answered " + std::to_string(Result.Answer.status()));
        sleepMs(PauseMs);
      }
    });
  std::mt19937 Random(std::random_device{}());
  for (int I = 0; I < HotSpots; ++I) {
    HotKey = static_cast<int>(Random() % (65536 - HotKeys));
    Record.write("keys " + std::to_string(HotKey) + " to " +
                 std::to_string(HotKey + HotKeys - 1) + " are busy");
    sleepMs(HotMs);
  }
  // From here on a single backend could serve all requests.
  PauseMs = 2000;
  sleepMs(3000);
  Phase = &Recovering;
  if (troubleWanted()) {
    Record.write("all machines lose power");
    for (std::size_t I = 0; I < MachineCount; ++I) {
      Machines[I].killNode();
      Machines[I].Server->crash();
    }
    sleepMs(DownMs);
    Machines[0].startNode();
    Machines[0].Server->start(newId("i-"), unixMillis());
    Record.write("m0 is back; the other machines are removed");
  }
  sleepMs(static_cast<int>(RecoverySeconds * 1000));
  Phase = &After;
  sleepMs(18'000);
  Stop = true;
  for (std::thread &Each : Clients)
    Each.join();
  Json Map = Json::parse(Machines.store().get("oriole/keys/consulta"), nullptr,
                         false);
  Record.write("the key map has " +
               std::to_string(Map.is_object() ? Map["rows"].size() : 0) +
               " rows; largest answer to a heartbeat of m0: " +
               std::to_string(Machines[0].Server->largestAnswer()) +
               " bytes, answers over 4096 bytes: " +
               std::to_string(Machines[0].Server->oversizedAnswers()));
  auto Line = [&Record](const char *Name, const Counts &Each) {
    Record.write(std::string("RECOVER: ") + Name + ": " +
                 std::to_string(Each.Served) + " of " +
                 std::to_string(Each.Sent) + " served");
  };
  Line("before", Before);
  Line("in the first 15 s after", Recovering);
  Line("later than 15 s after", After);
  if (Before.Served * 4 < Before.Sent || After.Sent == 0)
    return CannotRun;
  return After.Served * 4 < After.Sent ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
