// Callers that send chunked bodies, stop just short of their end and stay open:
// ordinary callers must still get answers.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

namespace lab {
namespace {

constexpr std::int64_t ContactMs = 3000;
// Descriptors of a machine, and as many stalled callers.
constexpr int Descriptors = 4100;
constexpr int OrdinaryCallers = 10;
// The stalled callers stay for this long.
constexpr std::int64_t StallMs = 15'000;

// The platform's question whether the node is ready, once a second on a kept
// connection.
class Probe {
public:
  explicit Probe(int Port) : Descriptor(connectTo(Port)) {}
  bool isReady() {
    std::string Request =
        formatRequest("GET", "/readiness", {{"Host", "127.0.0.1"}}, "");
    if (send(this->Descriptor, Request.data(), Request.size(), MSG_NOSIGNAL) <
        0)
      return false;
    auto Answer =
        readMessage(this->Descriptor, this->Buffer, true, nowMs() + 900);
    return Answer && Answer->Status == 200;
  }

private:
  int Descriptor;
  std::string Buffer;
};

} // namespace

int runStalledCallers(const std::string &Directory) {
  rlimit Files{};
  getrlimit(RLIMIT_NOFILE, &Files);
  Files.rlim_cur = Files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Files);
  if (Files.rlim_max < Descriptors + 500) {
    record("the stand-ins have too few descriptors");
    return 2;
  }
  // Threads of the stand-ins use these until the process ends.
  auto &Platform = *new Store();
  Platform.put("op/config", makeConfig(5, {{.Name = "registro"}},
                                       {{.Prefix = "/deposito/",
                                         .Service = "registro",
                                         .Kind = "upload"}}));
  auto &Nodes = *new std::vector<std::unique_ptr<Node>>();
  auto &Targets = *new std::vector<std::unique_ptr<Target>>();
  const char *Zones[] = {"santander", "logrono", "burgos"};
  const char *Regions[] = {"cantabrico", "ebro", "meseta-norte"};
  for (int I = 0; I < 3; ++I) {
    Nodes.push_back(
        std::make_unique<Node>(NodeOptions{.Name = "node-" + std::to_string(I),
                                           .Zone = Zones[I],
                                           .Region = Regions[I],
                                           .Service = "registro",
                                           .StorePort = Platform.port(),
                                           .Descriptors = Descriptors},
                               Directory));
    Targets.push_back(std::make_unique<Target>(
        TargetOptions{.Instance = "",
                      .Service = "registro",
                      .Zone = Zones[I],
                      .ControlPort = Nodes.back()->Control}));
    Nodes.back()->setTargetPort(Targets.back()->port());
    Nodes.back()->start();
    Targets.back()->start("i-" + std::to_string(I), wallMs());
  }
  for (const auto &Each : Nodes)
    if (!Each->waitReady(15'000))
      return 2;
  sleepMs(4000);

  Node &Pressed = *Nodes[0];
  std::atomic<bool> Stop = false;
  std::atomic<std::int64_t> LastAnswered = nowMs();
  std::atomic<std::int64_t> LongestSilence = 0;
  std::atomic<std::int64_t> LastReady = nowMs();
  std::atomic<int> Tried = 0;
  std::atomic<int> Answered = 0;
  std::vector<std::thread> Threads;
  // Ordinary callers: a small upload each half second, on a new connection.
  for (int I = 0; I < OrdinaryCallers; ++I)
    Threads.emplace_back([&, I] {
      for (int Number = 0; !Stop; ++Number) {
        std::string Id = "o" + std::to_string(I) + "-" + std::to_string(Number);
        ++Tried;
        auto Answer = call(Pressed.Outbound, "POST", "/deposito/" + Id,
                           {{"Host", "lab.example"},
                            {"Attempt-Id", Id},
                            {"Deadline-Remaining", "1500"}},
                           "small", 1500);
        if (Answer) {
          ++Answered;
          LastAnswered = nowMs();
        }
        sleepMs(500);
      }
    });
  Probe Readiness(Pressed.Ready);
  Threads.emplace_back([&] {
    while (!Stop) {
      bool Ready = Readiness.isReady();
      if (Ready)
        LastReady = nowMs();
      record(std::string("node-0 says ") + (Ready ? "ready" : "not ready") +
             "; " + std::to_string(Answered) + " of " + std::to_string(Tried) +
             " ordinary requests answered so far");
      sleepMs(1000);
    }
  });
  // The time without an answer counts while the node says that it is ready.
  Threads.emplace_back([&] {
    for (; !Stop; sleepMs(20))
      if (nowMs() - LastReady < 2000)
        LongestSilence =
            std::max<std::int64_t>(LongestSilence, nowMs() - LastAnswered);
  });
  sleepMs(3000);

  std::vector<int> Stalled;
  if (hasTrouble()) {
    record("callers send chunked bodies and stop short of their end");
    const std::string Part(1000, 'x');
    std::vector<std::thread> Openers;
    std::mutex Mutex;
    for (int I = 0; I < 20; ++I)
      Openers.emplace_back([&, I] {
        for (int Number = 0; Number < Descriptors / 20; ++Number) {
          int Descriptor = connectTo(Pressed.Outbound);
          if (Descriptor < 0)
            continue;
          std::string Request =
              "POST /deposito/x HTTP/1.1\r\nHost: lab.example\r\nAttempt-Id: "
              "s" +
              std::to_string(I) + "-" + std::to_string(Number) +
              "\r\nDeadline-Remaining: 3000\r\nTransfer-Encoding: "
              "chunked\r\n\r\n3e8\r\n" +
              Part + "\r\n";
          send(Descriptor, Request.data(), Request.size(), MSG_NOSIGNAL);
          std::lock_guard Lock(Mutex);
          Stalled.push_back(Descriptor);
        }
      });
    std::int64_t EndAt = nowMs() + StallMs;
    for (std::thread &Each : Openers)
      Each.join();
    record(std::to_string(Stalled.size()) + " such callers are connected");
    sleepUntil(EndAt);
  } else {
    sleepMs(StallMs);
  }
  Stop = true;
  for (std::thread &Each : Threads)
    Each.join();
  record("longest time without any answer, while the node said it was ready: " +
         std::to_string(LongestSilence) + " ms; " + std::to_string(Answered) +
         " of " + std::to_string(Tried) + " ordinary requests answered");
  for (const auto &Each : Nodes) {
    if (!Each->isRunning())
      continue;
    Each->kill(SIGKILL);
    Each->wait();
  }
  for (int Descriptor : Stalled)
    close(Descriptor);
  return LongestSilence > ContactMs ? 1 : 0;
}

} // namespace lab
