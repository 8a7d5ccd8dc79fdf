// A heartbeat of another writer, with a service that no page or configuration
// names, arrives at a node whose backend holds keys.
#include <algorithm>
#include <thread>

#include "../harness/fleet.h"

using namespace review;

namespace {

// OWNER: "hold the same keys for over half a second".
constexpr double MaxSharedSeconds = 0.5;

// The first key that both hold now, or -1.
int sharedKey(Backend &Left, Backend &Right) {
  std::vector<HeldRow> LeftRows = Left.heldRows();
  std::vector<HeldRow> RightRows = Right.heldRows();
  for (const HeldRow &L : LeftRows)
    for (const HeldRow &R : RightRows)
      if (L.From <= R.To && R.From <= L.To)
        return std::max(L.From, R.From);
  return -1;
}

Verdict run(Recorder &Record) {
  BackendOptions Keyed{.Service = "consulta", .Partitioned = true};
  BackendOptions Plain{.Service = "licencias"};
  Fleet &Machines =
      Fleet::create({{"m0", "santander", "cantabrico", Keyed},
                     {"m1", "logrono", "ebro", Keyed},
                     {"m2", "burgos", "meseta-norte", Plain}},
                    Record);
  Machines.putConfig(makeConfig(
      7, Json::array({makeService("consulta", true),
                      makeService("licencias", false)}),
      Json::array({makeRoute("/catalogo/", "safe", "consulta", 1200, 400),
                   makeRoute("/concesion/", "unsafe", "licencias", 1500,
                             500)})));
  if (!Machines.start())
    return CannotRun;
  Backend &First = *Machines[0].Server;
  Backend &Second = *Machines[1].Server;
  Clock::time_point End = Clock::now() + std::chrono::seconds(20);
  while (First.heldRows().empty() || Second.heldRows().empty()) {
    if (Clock::now() > End)
      return CannotRun;
    sleepMs(50);
  }
  sleepMs(3000);

  std::atomic<bool> Stop{false};
  std::atomic<int> Answered{0};
  std::thread Clients([&] {
    for (int I = 0; !Stop; ++I) {
      std::string Id = newId("");
      ClientResult Result =
          I % 2 == 0
              ? sendRequest(Machines[2], "GET", "/catalogo/entry", Id, 1000,
                            I * 977 % 65536)
              : sendRequest(Machines[0], "POST", "/concesion/grant", Id, 1000,
                            -1, "grant");
      Answered += Result.Complete && Result.Answer.status() == 200;
      Record.write("client: " + Id + " answered " +
                   std::to_string(Result.Answer.status()));
      sleepMs(40);
    }
  });
  sleepMs(3000);
  if (troubleWanted()) {
    Json Beat = {{"address", Machines[0].Application.text()},
                 {"born", unixMillis()},
                 {"information",
                  {{"service", "inventario"},
                   {"version", "v1"},
                   {"zone", "santander"},
                   {"slots", 18}}},
                 {"status",
                  {{"state", "ready"},
                   {"sequence", 1},
                   {"coldRemainingMs", 0}}}};
    HttpMessage Answer;
    call(Machines[0].Control, "POST /Instances.Heartbeat/i-00000001 HTTP/1.1",
         {{"Host", Machines[0].Control.text()},
          {"Content-Type", "application/json"}},
         Beat.dump(), Millis(1000), Answer, Machines[0].Ip);
    Record.write("a heartbeat of another writer with the service inventario, "
                 "answered " +
                 std::to_string(Answer.status()));
  }
  double Longest = 0;
  double SharedSince = -1;
  End = Clock::now() + std::chrono::seconds(10);
  while (Clock::now() < End) {
    int Key = sharedKey(First, Second);
    double Now = Record.seconds();
    if (Key < 0) {
      if (SharedSince >= 0)
        Record.write("no key is held by both any more");
      SharedSince = -1;
    } else if (SharedSince < 0) {
      SharedSince = Now;
      Record.write("key " + std::to_string(Key) + " is held by m0 and m1");
    }
    if (SharedSince >= 0)
      Longest = std::max(Longest, Now - SharedSince);
    sleepMs(10);
  }
  Stop = true;
  Clients.join();
  if (Answered == 0)
    return CannotRun;
  auto Runs = Machines[2].Server->runs();
  auto Wrong = std::count_if(Runs.begin(), Runs.end(), [](const Run &Each) {
    return Each.CallerService != "consulta";
  });
  Record.write("OWNER: longest time for which both held a key: " +
               std::to_string(Longest) + " s");
  Record.write("UNASKED: requests of m0 that ran with another Caller-Service "
               "than consulta: " +
               std::to_string(Wrong) + " of " + std::to_string(Runs.size()));
  return Longest > MaxSharedSeconds || Wrong > 0 ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
