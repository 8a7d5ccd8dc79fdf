// A faulty backend sends additional bytes after some of its complete responses.
// They arrive late, where the next response is expected, and carry neither an
// attempt id nor a signature.
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "../harness/fleet.h"

using namespace review;

namespace {

// The largest dose of `garble` with `extra late`: 0.6 of the servers, 0.03 of
// their answers, for 5 s. Here it is two of four servers, and every 34th answer.
constexpr int AnswersPerFault = 34;
constexpr double FaultSeconds = 5;
constexpr std::size_t MachineCount = 4;
constexpr std::size_t FaultyCount = 2;
constexpr std::size_t Clients = 12;
constexpr int PauseMs = 15;

Verdict run(Recorder &Record) {
  BackendOptions Plain{.Service = "licencias", .WorkMs = 20};
  Fleet &Machines =
      Fleet::create({{"m0", "santander", "cantabrico", Plain},
                     {"m1", "bilbao", "cantabrico", Plain},
                     {"m2", "logrono", "ebro", Plain},
                     {"m3", "burgos", "meseta-norte", Plain}},
                    Record);
  Machines.putConfig(makeConfig(
      7, Json::array({makeService("licencias", false)}),
      Json::array({makeRoute("/concesion/", "unsafe", "licencias", 1500, 500),
                   makeRoute("/vigencia/", "safe", "licencias", 1500, 500)})));
  if (!Machines.start())
    return CannotRun;
  sleepMs(3000);

  std::mutex Mutex;
  std::map<std::uint64_t, bool> Due;
  std::array<int, FaultyCount> Answers{};
  int Faults = 0;
  std::atomic<double> FaultsFrom{1e9};
  for (std::size_t Faulty = 0; troubleWanted() && Faulty < FaultyCount;
       ++Faulty)
    Machines[Faulty].Server->SendBefore =
        [&, Faulty](const HttpMessage &Request,
                    std::uint64_t Connection) -> std::string {
      std::lock_guard Lock(Mutex);
      double Since = Record.seconds() - FaultsFrom;
      if (Since < 0 || Since > FaultSeconds)
        return "";
      bool SendNow = std::exchange(Due[Connection], false);
      // The answer to this request is followed by additional bytes.
      if (++Answers[Faulty] % AnswersPerFault == 0)
        Due[Connection] = true;
      if (!SendNow)
        return "";
      ++Faults;
      Record.write("backend m" + std::to_string(Faulty) +
                   ": late additional bytes of an earlier answer, "
                   "where " +
                   Request.field("Attempt-Id") + " is answered");
      return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
             "Content-Length: 10\r\n\r\nlate bytes";
    };

  FaultsFrom = Record.seconds() + 1;
  double End = Record.seconds() + 1 + FaultSeconds + 1;
  std::atomic<int> Good{0};
  std::atomic<int> Unsigned{0};
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < Clients; ++I)
    Threads.emplace_back([&, I] {
      for (int N = 0; Record.seconds() < End; ++N) {
        std::string Id = newId("");
        bool Safe = N % 2 == 0;
        ClientResult Result = sendRequest(
            Machines[I % MachineCount], Safe ? "GET" : "POST",
            Safe ? "/vigencia/licence" : "/concesion/grant", Id, 2000, -1,
            Safe ? "" : "grant");
        int Status = Result.Answer.status();
        std::string Signature = Result.Answer.field("Server-Signature");
        Record.write("client: " + Id + (Safe ? " safe" : " unsafe") +
                     " answered " + std::to_string(Status) + " signature=" +
                     (Signature.empty() ? "none" : Signature) + " body=" +
                     (Status == 200
                          ? Result.Answer.Body.substr(
                                0, Result.Answer.Body.find('\n'))
                          : "-"));
        if (Result.Complete && Status == 200) {
          bool IsOwn = Signature.ends_with("." + Id) &&
                       Result.Answer.Body.ends_with(" to " + Id + "\n");
          ++(IsOwn ? Good : Unsigned);
        }
        sleepMs(PauseMs);
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  std::lock_guard Lock(Mutex);
  Record.write("additional bytes sent " + std::to_string(Faults) +
               " times after " + std::to_string(Answers[0] + Answers[1]) +
               " answers of m0 and m1");
  Record.write("MIXED: successes without the backend's signature or with "
               "another body: " +
               std::to_string(Unsigned) + "; proper ones: " +
               std::to_string(Good));
  if (Good == 0 || (troubleWanted() && Faults == 0))
    return CannotRun;
  return Unsigned > 0 ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
