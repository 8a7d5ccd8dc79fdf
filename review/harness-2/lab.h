// Stand-ins and helpers for the scripted cases 6 to 10: a key-value store, a
// target with heartbeats, callers, and node processes, all on 127.0.0.1.
//
// Everything is blocking code on threads, so that a case reads like its
// timeline. A process runs one case and ends all processes that it started.
#ifndef ORIOLEDOOR_REVIEW_HARNESS_2_LAB_H
#define ORIOLEDOOR_REVIEW_HARNESS_2_LAB_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

namespace lab {

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Milliseconds since the start of the case, on the steady clock.
std::int64_t nowMs();
// Milliseconds of the time of day.
std::int64_t wallMs();
void sleepMs(std::int64_t Time);
void sleepUntil(std::int64_t At);

// record.txt -----------------------------------------------------------------

void openRecord(const std::string &Path);
// Writes one line with the time of the case.
void record(const std::string &Line);

// HTTP -----------------------------------------------------------------------

struct Message {
  // Request line or status line.
  std::string Method;
  std::string Path;
  std::string Query;
  int Status = 0;
  Headers Fields;
  std::string Body;

  std::string field(const std::string &Name) const;
};

// Response that a server handler returns. Raw, if set, is sent as it is, and
// the connection is closed after it.
struct Response {
  int Status = 200;
  Headers Fields;
  std::string Body;
  bool Close = false;
  std::string Raw;
  // Closes the connection without a response.
  bool Drop = false;
};

// Serves one thread per connection until the process ends.
class HttpServer {
public:
  using Handler = std::function<Response(const Message &)>;
  explicit HttpServer(Handler Serve);
  int port() const { return this->Port; }
  // Closes all connections and refuses new ones while down.
  void setDown(bool Down);

private:
  void acceptAll();
  void serveConnection(int Descriptor);

  Handler Serve;
  int Port = 0;
  int Listener = -1;
  std::atomic<bool> Down = false;
  std::mutex Mutex;
  std::vector<int> Open;
};

int connectTo(int Port, int ReceiveBuffer = 0);
std::string formatRequest(const std::string &Method, const std::string &Path,
                          const Headers &Fields, const std::string &Body);
// Reads one message; IsResponse tells which first line it has.
std::optional<Message> readMessage(int Descriptor, std::string &Buffer,
                                   bool IsResponse, std::int64_t Deadline);
// One call on a new connection. Empty if there is no whole response in time.
std::optional<Message> call(int Port, const std::string &Method,
                            const std::string &Path, const Headers &Fields,
                            const std::string &Body, std::int64_t TimeoutMs);

// Returns a port that nobody listens on.
int freePort();

// Store ----------------------------------------------------------------------

// The platform's key-value store: items, conditions, leases, watches.
class Store {
public:
  Store();
  int port() const { return this->Http.port(); }
  // A write of the operator or a backend.
  void put(const std::string &Key, const std::string &Value);

private:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct Change {
    std::int64_t Revision = 0;
    std::string Key;
    // Empty if the item was removed.
    std::optional<Item> After;
  };
  struct Lease {
    std::int64_t TtlMs = 0;
    std::int64_t EndsAt = 0;
  };

  Response serve(const Message &Request);
  Response serveTxn(const Json &Body);
  Response serveWatch(const std::map<std::string, std::string> &Query);
  void endLease(std::int64_t Id);
  static Json encode(const std::string &Key, const Item &Stored);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::int64_t Revision = 100;
  std::int64_t NextLease = 7000;
  std::map<std::string, Item> Items;
  std::map<std::int64_t, Lease> Leases;
  std::vector<Change> History;
  HttpServer Http;
  std::thread Reaper;
};

// Target ---------------------------------------------------------------------

struct Run {
  std::int64_t At = 0;
  std::string AttemptId;
  std::string Target;
};

struct TargetOptions {
  std::string Instance;
  std::string Service;
  std::string Zone;
  int ControlPort = 0;
  int Slots = 18;
  std::int64_t WorkMs = 100;
  std::size_t AnswerBytes = 200;
};

// A backend beside a node: answers requests and sends heartbeats.
class Target {
public:
  explicit Target(TargetOptions Options);
  int port() const { return this->Http.port(); }
  // Starts a new incarnation under Instance and sends heartbeats.
  void start(const std::string &Instance, std::int64_t Born);
  // Ends the incarnation as a crash does.
  void crash();
  void setDraining();
  // Stops or resumes the regular heartbeats.
  void pauseBeats(bool Paused);
  // Returns a heartbeat of this moment, which may be delivered later.
  std::pair<std::string, std::string> makeBeat();
  // Sends a heartbeat; returns the status, 0 if there is no response in 1 s.
  int deliver(const std::pair<std::string, std::string> &Beat);
  int deregister();
  // After a deregistration, and while draining, its answers say that it leaves.
  std::atomic<bool> Leaving = false;
  // Time of the first acknowledged "draining" or deregistration; 0: none.
  std::atomic<std::int64_t> LeaveAckedAt = 0;
  std::vector<Run> runs();

private:
  void beatLoop();
  Response serve(const Message &Request);

  TargetOptions Options;
  std::mutex Mutex;
  std::string Instance;
  std::int64_t Born = 0;
  std::int64_t Sequence = 0;
  bool Up = false;
  bool Draining = false;
  bool Paused = false;
  int Running = 0;
  std::vector<Run> Runs;
  HttpServer Http;
  std::thread Beats;
};

// Node -----------------------------------------------------------------------

struct NodeOptions {
  std::string Name;
  std::string Zone;
  std::string Region;
  std::string Service;
  int StorePort = 0;
  int TargetPort = 0;
  double MemoryMb = 260;
  double LinkMbps = 1000;
  std::int64_t DrainMs = 2000;
  std::int64_t GraceS = 6;
};

// The project's node as a process, started with the command of the deploy file.
class Node {
public:
  Node(NodeOptions Options, const std::string &Directory);
  ~Node();
  void setTargetPort(int Port) { this->Options.TargetPort = Port; }
  void start();
  void kill(int Signal);
  // Waits until the process has ended; returns its status as waitpid() does.
  int wait();
  bool isRunning();
  bool isReady() const;
  bool waitReady(std::int64_t TimeoutMs) const;
  // Resident bytes, 0 if it does not run.
  std::size_t residentBytes() const;
  pid_t pid() const { return this->Pid; }

  int Outbound;
  int Control;
  int Ready;
  int Peer;
  int Metrics;
  std::atomic<std::int64_t> StartedAt = 0;

private:
  NodeOptions Options;
  std::string Settings;
  std::string Log;
  pid_t Pid = -1;
};

// A service of the site has six backends, one in each zone.
inline constexpr int MachineCount = 6;
inline constexpr const char *Zones[MachineCount] = {
    "santander", "logrono", "burgos", "bilbao", "tudela", "palencia"};
inline constexpr const char *Regions[MachineCount] = {
    "cantabrico", "ebro", "meseta-norte", "cantabrico", "ebro", "meseta-norte"};

// Common parts of the cases ---------------------------------------------------

struct ServiceOptions {
  std::string Name;
  bool Partitioned = false;
};

struct RouteOptions {
  std::string Prefix;
  std::string Service;
  std::string Kind;
  int TimeoutMs = 1500;
  int Attempts = 2;
};

// Text of op/config.
std::string makeConfig(int Version, const std::vector<ServiceOptions> &Services,
                       const std::vector<RouteOptions> &Routes);

// Whether TROUBLE is unset or not 0.
bool hasTrouble();

// Each returns the exit status of its script.
int runSlowReaders(const std::string &Directory);
int runForgottenDeregistration(const std::string &Directory);
int runClockStep(const std::string &Directory);
int runLateHeartbeat(const std::string &Directory);

} // namespace lab

#endif // ORIOLEDOOR_REVIEW_HARNESS_2_LAB_H
