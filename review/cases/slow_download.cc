// A node is stopped on its own while clients with slow links receive large
// answers through it.
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include <sys/socket.h>
#include <sys/wait.h>

#include "../harness/fleet.h"

using namespace review;

namespace {

constexpr std::size_t AnswerBytes = 8'200'000;
// About 23 Mbit/s: the whole answer takes 2.8 s.
constexpr double BytesPerSecond = 2'930'000;
constexpr int ReceiveBuffer = 64 << 10;
// The platform probes the readiness once a second; after two misses the clients
// of the machine send nothing more there.
constexpr int ProbeMs = 1000;
constexpr int StopAfterProbeMs = 300;
// The requests are sent this long after the SIGTERM, before the second miss.
constexpr int SendAfterMs = 1600;
constexpr int DeadlineMs = 3000;
constexpr int RouteTimeoutMs = 3000;
constexpr std::size_t ClientCount = 3;

struct Download {
  std::string Id;
  std::size_t Length = 0;
  std::size_t Received = 0;
  int Status = 0;
  double SentAt = 0;
  double EndedAt = 0;

  bool isComplete() const {
    return this->Status == 200 && this->Received == this->Length;
  }
};

// Reads one answer at BytesPerSecond.
Download download(const Machine &At, Recorder &Record) {
  Download Result;
  Result.Id = newId("");
  int Socket = connectTo(At.Outbound, At.Ip, Millis(1000));
  if (Socket < 0)
    return Result;
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
             sizeof ReceiveBuffer);
  Stream Connection(Socket);
  Result.SentAt = Record.seconds();
  Connection.write("GET /catalogo/package HTTP/1.1\r\nHost: " + HostName +
                   "\r\nAttempt-Id: " + Result.Id +
                   "\r\nDeadline-Remaining: " + std::to_string(DeadlineMs) +
                   "\r\n\r\n");
  std::string Head;
  std::string Bytes(32768, 0);
  while (true) {
    ssize_t Count = recv(Socket, Bytes.data(), Bytes.size(), 0);
    if (Count <= 0)
      break;
    std::size_t Size = static_cast<std::size_t>(Count);
    if (Result.Length == 0) {
      Head.append(Bytes, 0, Size);
      std::size_t End = Head.find("\r\n\r\n");
      if (End == std::string::npos)
        continue;
      Result.Status = std::atoi(Head.c_str() + 9);
      std::size_t Field = Head.find("Content-Length: ");
      Result.Length = std::strtoul(Head.c_str() + Field + 16, nullptr, 10);
      Size = Head.size() - End - 4;
    }
    Result.Received += Size;
    if (Result.Received >= Result.Length)
      break;
    double Due = Result.SentAt +
                 static_cast<double>(Result.Received) / BytesPerSecond;
    if (double Wait = Due - Record.seconds(); Wait > 0)
      sleepMs(static_cast<int>(Wait * 1000));
  }
  Result.EndedAt = Record.seconds();
  return Result;
}

Verdict run(Recorder &Record) {
  BackendOptions Catalogue{
      .Service = "consulta", .WorkMs = 20, .AnswerBytes = AnswerBytes};
  BackendOptions Other{.Service = "registro"};
  Fleet &Machines =
      Fleet::create({{"m0", "santander", "cantabrico", Other},
                     {"m1", "bilbao", "cantabrico", Catalogue}},
                    Record);
  Machines.putConfig(makeConfig(
      7, Json::array({makeService("consulta", false),
                      makeService("registro", false)}),
      Json::array({makeRoute("/catalogo/", "safe", "consulta", RouteTimeoutMs,
                             500)})));
  if (!Machines.start())
    return CannotRun;
  // No disruption for longer than `contactMs` before the requests.
  sleepMs(4500);

  auto Probe = [&] {
    Record.write(Machines[0].isReady() ? "probe of m0: ready"
                                       : "probe of m0: a miss");
  };
  Probe();
  sleepMs(StopAfterProbeMs);
  if (troubleWanted())
    Machines[0].signalNode(SIGTERM);
  double StoppedAt = Record.seconds();
  sleepMs(ProbeMs - StopAfterProbeMs);
  Probe();
  while (Record.seconds() < StoppedAt + SendAfterMs / 1000.0)
    sleepMs(1);
  std::vector<Download> Downloads(ClientCount);
  std::vector<std::thread> Clients;
  for (Download &Each : Downloads)
    Clients.emplace_back([&] {
      Each = download(Machines[0], Record);
      Record.write("client: " + Each.Id + " status " +
                   std::to_string(Each.Status) + ", " +
                   std::to_string(Each.Received) + " of " +
                   std::to_string(Each.Length) + " bytes, sent " +
                   std::to_string(Each.SentAt - StoppedAt) + " s and ended " +
                   std::to_string(Each.EndedAt - StoppedAt) +
                   " s after the signal");
    });
  if (troubleWanted()) {
    // The platform: SIGKILL after graceS.
    double KillAt = StoppedAt + GraceS;
    while (Record.seconds() < KillAt &&
           waitpid(Machines[0].pid(), nullptr, WNOHANG) == 0)
      sleepMs(10);
    if (Record.seconds() < KillAt)
      Record.write("the node of m0 ended " +
                   std::to_string(Record.seconds() - StoppedAt) +
                   " s after the signal");
    else
      Machines[0].killNode();
  }
  for (std::thread &Each : Clients)
    Each.join();
  std::size_t Cut = 0;
  std::size_t Whole = 0;
  for (const Download &Each : Downloads) {
    Whole += Each.isComplete();
    Cut += Each.Status == 200 && !Each.isComplete() &&
           Each.EndedAt - Each.SentAt < RouteTimeoutMs / 1000.0;
  }
  auto Ran = Machines[1].Server->runs().size();
  Record.write("LOST: answers cut: " + std::to_string(Cut) +
               ", whole: " + std::to_string(Whole) + "; requests run: " +
               std::to_string(Ran));
  if (Ran < ClientCount)
    return CannotRun;
  return Cut > 0 ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
