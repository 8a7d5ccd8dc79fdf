// Callers that read long answers slowly: what a node holds for them must stay
// within the memory of its machine.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

namespace lab {
namespace {

constexpr std::size_t AnswerBytes = 540'000;
constexpr double MemoryMb = 160;
constexpr std::size_t MemoryBytes = 160U << 20;
// Two machines, three times each: what the rule counts.
constexpr int MaxEnds = 3;
constexpr std::int64_t CallerInterval = 40;
// A caller waits for as long as it states.
constexpr std::int64_t CallerWaitMs = 60'000;
// Bytes that a slow caller reads in a second.
constexpr std::size_t SlowBytesPerSecond = 8192;

struct Tally {
  std::atomic<int> Sent = 0;
  std::atomic<int> Whole = 0;
  std::atomic<int> Refused = 0;
  std::atomic<int> Broken = 0;
};

// Sends one request and reads the answer, slowly or at once.
void readAnswer(int Port, const std::string &Id, bool Slow, Tally &Counts) {
  ++Counts.Sent;
  int Descriptor = connectTo(Port, 8192);
  if (Descriptor < 0) {
    ++Counts.Broken;
    return;
  }
  std::string Request =
      formatRequest("GET", "/archive/" + Id,
                    {{"Host", "lab.example"},
                     {"Attempt-Id", Id},
                     {"Deadline-Remaining", std::to_string(CallerWaitMs)}},
                    "");
  send(Descriptor, Request.data(), Request.size(), MSG_NOSIGNAL);
  std::string Answer;
  std::size_t Wanted = 0;
  char Bytes[8192];
  for (std::int64_t End = nowMs() + CallerWaitMs; nowMs() < End;) {
    if (Slow)
      sleepMs(1000 * 2048 / SlowBytesPerSecond);
    ssize_t Count = recv(Descriptor, Bytes, Slow ? 2048 : sizeof Bytes, 0);
    if (Count <= 0)
      break;
    Answer.append(Bytes, static_cast<std::size_t>(Count));
    if (Wanted == 0 && Answer.find("\r\n\r\n") != std::string::npos)
      Wanted = Answer.starts_with("HTTP/1.1 200")
                   ? Answer.find("\r\n\r\n") + 4 + AnswerBytes
                   : 1;
    if (Wanted > 0 && Answer.size() >= Wanted)
      break;
  }
  close(Descriptor);
  if (Wanted == 1)
    ++Counts.Refused;
  else
    ++(Wanted > 0 && Answer.size() >= Wanted ? Counts.Whole : Counts.Broken);
}

// Sends requests to one node until its process has ended MaxEnds times or the
// case ends. Returns how often it ended.
int pressNode(Node &Pressed, const std::string &Name, bool Slow, Tally &Counts,
              Tally &Ordinary, std::int64_t EndAt) {
  int Ends = 0;
  std::size_t Highest = 0;
  for (int I = 0; Ends < MaxEnds && nowMs() < EndAt; ++I) {
    std::string Id = Name + "-" + std::to_string(I);
    std::thread([&Pressed, &Counts, Id, Slow] {
      readAnswer(Pressed.Outbound, "s" + Id, Slow, Counts);
    }).detach();
    if (I % 8 == 0)
      std::thread([&Pressed, &Ordinary, Id] {
        readAnswer(Pressed.Outbound, "o" + Id, false, Ordinary);
      }).detach();
    sleepMs(CallerInterval);
    std::size_t Bytes = Pressed.residentBytes();
    Highest = std::max(Highest, Bytes);
    if (I % 50 == 0)
      record(Name + " has " + std::to_string(Bytes) + " bytes");
    bool EndedByItself = !Pressed.isRunning();
    if (!EndedByItself && Bytes <= MemoryBytes)
      continue;
    ++Ends;
    if (!EndedByItself) {
      record(Name + " has " + std::to_string(Bytes) +
             " bytes, more than its memory; the platform ends it");
      Pressed.kill(SIGKILL);
      Pressed.wait();
    }
    sleepMs(500);
    Pressed.start();
    Pressed.waitReady(10'000);
    sleepMs(1500);
  }
  record(Name + " had at most " + std::to_string(Highest) +
         " bytes and ended " + std::to_string(Ends) + " times");
  return Ends;
}

} // namespace

int runSlowReaders(const std::string &Directory) {
  // Threads of the stand-ins use these until the process ends.
  auto &Platform = *new Store();
  auto &Nodes = *new std::vector<std::unique_ptr<Node>>();
  auto &Targets = *new std::vector<std::unique_ptr<Target>>();
  auto &Counts = *new Tally();
  auto &Ordinary = *new Tally();
  Platform.put("op/config", makeConfig(5, {{.Name = "extrato"}},
                                       {{.Prefix = "/archive/",
                                         .Service = "extrato",
                                         .Kind = "download",
                                         .TimeoutMs = 2500}}));
  const char *Names[] = {"rec-a", "for-a", "pet-a"};
  for (int I = 0; I < 3; ++I) {
    Nodes.push_back(
        std::make_unique<Node>(NodeOptions{.Name = "node-" + std::to_string(I),
                                           .Zone = Names[I],
                                           .Region = "ne",
                                           .Service = "extrato",
                                           .StorePort = Platform.port(),
                                           .MemoryMb = MemoryMb,
                                           .LinkMbps = 200},
                               Directory));
    Targets.push_back(std::make_unique<Target>(
        TargetOptions{.Instance = "",
                      .Service = "extrato",
                      .Zone = Names[I],
                      .ControlPort = Nodes.back()->Control,
                      .Slots = 12,
                      .WorkMs = 100,
                      .AnswerBytes = AnswerBytes}));
    Nodes.back()->setTargetPort(Targets.back()->port());
    Nodes.back()->start();
    Targets.back()->start("i-" + std::to_string(I), wallMs());
  }
  for (const auto &Each : Nodes)
    if (!Each->waitReady(15'000)) {
      record("a node is not ready");
      return 2;
    }
  sleepMs(3000);
  record("calm: node-0 has " + std::to_string(Nodes[0]->residentBytes()) +
         " bytes");

  bool Slow = hasTrouble();
  std::int64_t EndAt = nowMs() + (Slow ? 80'000 : 30'000);
  int Ends[2] = {};
  std::thread Second([&] {
    Ends[1] = pressNode(*Nodes[1], "node-1", Slow, Counts, Ordinary, EndAt);
  });
  Ends[0] = pressNode(*Nodes[0], "node-0", Slow, Counts, Ordinary, EndAt);
  Second.join();
  sleepMs(3000);
  auto Report = [](const std::string &Who, const Tally &T) {
    record(Who + ": sent " + std::to_string(T.Sent) + ", whole " +
           std::to_string(T.Whole) + ", refused " + std::to_string(T.Refused) +
           ", broken off or unanswered " + std::to_string(T.Broken));
  };
  Report(Slow ? "slow callers" : "callers", Counts);
  Report("ordinary callers", Ordinary);
  for (const auto &Each : Nodes) {
    if (!Each->isRunning())
      continue;
    Each->kill(SIGKILL);
    Each->wait();
  }
  if (!Slow && Counts.Whole < Counts.Sent / 2) {
    record("too few requests were served to tell anything");
    return 2;
  }
  return Ends[0] >= MaxEnds && Ends[1] >= MaxEnds ? 1 : 0;
}

} // namespace lab
