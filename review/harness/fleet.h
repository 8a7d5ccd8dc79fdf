// A small deployment on loopback: the platform's store, one machine for each
// node with its backend, and clients.
//
// Each machine has an address of its own in 127.0.0.0/8. The nodes are the
// program of deploy/system.toml with settings made from its template.
#ifndef REVIEW_HARNESS_FLEET_H
#define REVIEW_HARNESS_FLEET_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "net.h"

namespace review {

using Json = nlohmann::json;

// Bounds of the deployment, as the platform's pages give them for the small
// sites.
inline constexpr int HeartbeatMs = 870;
inline constexpr int DrainMs = 2000;
inline constexpr int GraceS = 6;
inline constexpr int MaxHoldMs = 10000;

// Writes record.txt: one line for each thing that was seen, with its time in
// seconds since the start. Thread-safe.
class Recorder {
public:
  explicit Recorder(const std::string &FileName);
  void write(const std::string &Line);
  double seconds() const;

private:
  std::mutex Mutex;
  std::ofstream File;
  Clock::time_point Start = Clock::now();
};

// The platform's metadata store. Thread-safe.
class Store {
public:
  Store(const Address &At, Recorder &Record);
  // Writes as the operator.
  void put(const std::string &Key, const std::string &Value);
  // The decoded value, or "".
  std::string get(const std::string &Key);

private:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct Event {
    std::string Key;
    std::int64_t Revision = 0;
    bool Deleted = false;
    Item Written;
  };
  struct Lease {
    int TtlMs = 0;
    Clock::time_point End;
    std::set<std::string> Keys;
  };

  void serve(Stream &Connection);
  std::string handle(const HttpMessage &Request);
  std::string handleTxn(const Json &Body);
  std::string handleWatch(const std::map<std::string, std::string> &Query);
  void write(const std::string &Key, const std::string &Value,
             std::int64_t Lease);
  void remove(const std::string &Key);
  void endLease(std::int64_t Id);
  void expireLeases();
  static Json toJson(const std::string &Key, const Item &Stored);

  Recorder &Record;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::int64_t Revision = 1;
  std::int64_t LastLease = 1000;
  std::map<std::string, Item> Items;
  std::map<std::int64_t, Lease> Leases;
  std::vector<Event> History;
  std::unique_ptr<Server> Http;
};

struct HeldRow {
  int From = 0;
  int To = 0;
  std::int64_t Fence = 0;
};

struct BackendOptions {
  std::string Service;
  bool Partitioned = false;
  int Slots = 18;
  int WorkMs = 30;
  // Least size of the body of an answer.
  std::size_t AnswerBytes = 0;
};

// One run of a request at a backend.
struct Run {
  std::string AttemptId;
  std::string Backend;
  std::string CallerService;
  std::string Path;
  int Key = -1;
  double At = 0;
};

// A sound backend: heartbeats, holds and requests. Thread-safe.
class Backend {
public:
  Backend(std::string Name, const Address &Application, const Address &Control,
          std::string Zone, BackendOptions Options, Recorder &Record);

  // Starts a new life. Born is the Unix millisecond of its start.
  void start(const std::string &Id, std::int64_t Born);
  // Ends the life at once; connections break.
  void crash();
  bool isUp();
  std::string id();
  const std::string &name() const { return this->Name; }
  const std::string &service() const { return this->Options.Service; }
  const Address &application() const { return this->Application; }
  // The keys that this backend holds now.
  std::vector<HeldRow> heldRows();
  std::vector<Run> runs();
  // Answers to heartbeats: the largest body, and how many bodies were too large
  // to be an acknowledgment.
  std::size_t largestAnswer();
  int oversizedAnswers();
  // A fault: called for each request with the number of its connection. The
  // bytes that it returns are sent before the request runs.
  std::function<std::string(const HttpMessage &Request,
                            std::uint64_t Connection)>
      SendBefore;
  // Heartbeats pause while this is set.
  std::atomic<bool> Silent{false};

private:
  void serve(Stream &Connection);
  void beat();
  void beatLoop();
  void applyAnswer(const Json &Answer, Clock::time_point SentAt);
  bool holds(int Key, Clock::time_point Now);

  const std::string Name;
  const Address Application;
  const Address Control;
  const std::string Zone;
  const BackendOptions Options;
  Recorder &Record;
  std::mutex Mutex;
  std::uint64_t Life = 0;
  bool Up = false;
  std::string Id;
  std::int64_t Born = 0;
  std::int64_t Sequence = 0;
  std::int64_t Handovers = 0;
  std::vector<HeldRow> Held;
  // Rows that were left out of the last answer while work on them goes on.
  std::vector<HeldRow> Releasing;
  Clock::time_point HeldUntil;
  std::vector<std::int64_t> HighestFence;
  std::map<int, int> WorkByKey;
  Json Freed = Json::array();
  int Running = 0;
  std::vector<Run> Runs;
  std::size_t LargestAnswer = 0;
  int OversizedAnswers = 0;
  std::unique_ptr<Server> Http;
};

struct MachineOptions {
  std::string Name;
  std::string Zone;
  std::string Region;
  BackendOptions Backend;
};

// A machine: one node and the backend beside it.
class Machine {
public:
  Machine(const MachineOptions &Options, std::string Ip,
          const std::vector<int> &Ports, const Address &Store,
          const std::string &Directory, Recorder &Record);

  // To be called on the main thread: the node ends with the thread.
  void startNode();
  // Sends a signal to the node.
  void signalNode(int Signal) const;
  void killNode();
  bool isReady() const;
  pid_t pid() const { return this->Pid; }
  std::string logFile() const;

  const MachineOptions Options;
  const std::string Ip;
  const Address Outbound, Control, Ready, Application;
  std::unique_ptr<Backend> Server;

private:
  std::string Directory;
  Recorder &Record;
  std::string SettingsFile;
  pid_t Pid = -1;
};

// The deployment of one case. Never destroyed, since threads of its stand-ins
// run until the process exits; runCase() stops its nodes.
class Fleet {
public:
  static Fleet &create(const std::vector<MachineOptions> &Machines,
                       Recorder &Record);
  // Starts backends and nodes, and waits until all nodes are ready.
  bool start();
  Machine &operator[](std::size_t Index) { return *this->Machines[Index]; }
  std::size_t size() const { return this->Machines.size(); }
  Store &store() { return *this->TheStore; }
  void putConfig(const Json &Config);
  // Ends all nodes and removes the temporary files.
  void stop();

private:
  Fleet(const std::vector<MachineOptions> &Machines, Recorder &Record);

  Recorder &Record;
  std::string Directory;
  std::unique_ptr<Store> TheStore;
  std::vector<std::unique_ptr<Machine>> Machines;
};

// A route of a configuration.
Json makeRoute(const std::string &Prefix, const std::string &Kind,
               const std::string &Service, int TimeoutMs, int TargetLatencyMs);
Json makeConfig(int Version, const Json &Services, const Json &Routes);
Json makeService(const std::string &Name, bool Partitioned);

inline const std::string HostName = "desk.example";

// A client's request to the node of a machine.
struct ClientResult {
  bool Complete = false;
  HttpMessage Answer;
};
ClientResult sendRequest(const Machine &At, const std::string &Method,
                         const std::string &Path, const std::string &AttemptId,
                         int DeadlineMs, int Key = -1,
                         const std::string &Body = "");

std::int64_t unixMillis();
void sleepMs(int Count);
std::string newId(const char *Prefix);
// False with TROUBLE=0 in the environment.
bool troubleWanted();

// Exit status of a case.
enum Verdict { Held = 0, Broken = 1, CannotRun = 2 };
// Runs Body, ends all processes, and returns its verdict as the exit status.
int runCase(int Count, char **Arguments,
            const std::function<Verdict(Recorder &)> &Body);

} // namespace review

#endif // REVIEW_HARNESS_FLEET_H
