// Implements the stand-ins and helpers.
#include "lab.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {
namespace {

const auto StartTime = std::chrono::steady_clock::now();
std::mutex RecordMutex;
std::FILE *RecordFile = nullptr;

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

// Returns false on the end of the connection.
bool sendAll(int Descriptor, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count = send(Descriptor, Bytes.data() + Sent, Bytes.size() - Sent,
                         MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

// Appends what arrives until Deadline; returns false if nothing did.
bool receive(int Descriptor, std::string &Buffer, std::int64_t Deadline) {
  pollfd Poll{Descriptor, POLLIN, 0};
  std::int64_t Left = Deadline - nowMs();
  if (Left <= 0 || poll(&Poll, 1, static_cast<int>(Left)) <= 0)
    return false;
  char Bytes[65536];
  ssize_t Count = recv(Descriptor, Bytes, sizeof Bytes, 0);
  if (Count <= 0)
    return false;
  Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

const char Alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &Bytes) {
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Text += I + J > Bytes.size() ? '=' : Alphabet[Group >> (18 - 6 * J) & 63];
  }
  return Text;
}

std::string decodeBase64(const std::string &Text) {
  std::string Bytes;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (char C : Text) {
    const char *Found = C == '=' ? nullptr : std::strchr(Alphabet, C);
    if (!Found || C == '\0')
      break;
    Group = Group << 6 | static_cast<std::uint32_t>(Found - Alphabet);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Bytes += static_cast<char>(Group >> Bits & 255);
    }
  }
  return Bytes;
}

std::map<std::string, std::string> parseQuery(const std::string &Query) {
  std::map<std::string, std::string> Fields;
  std::istringstream Parts(Query);
  std::string Part;
  while (std::getline(Parts, Part, '&')) {
    std::size_t Equals = Part.find('=');
    std::string Value;
    for (std::size_t I = Equals == std::string::npos ? Part.size() : Equals + 1;
         I < Part.size(); ++I) {
      if (Part[I] == '%' && I + 2 < Part.size()) {
        Value +=
            static_cast<char>(std::stoi(Part.substr(I + 1, 2), nullptr, 16));
        I += 2;
      } else {
        Value += Part[I];
      }
    }
    Fields[Part.substr(0, Equals)] = Value;
  }
  return Fields;
}

Response json(int Status, const Json &Body) {
  Response Result;
  Result.Status = Status;
  Result.Fields = {{"Content-Type", "application/json"}};
  Result.Body = Body.dump();
  return Result;
}

} // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - StartTime)
      .count();
}

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMs(std::int64_t Time) {
  if (Time > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Time));
}

void sleepUntil(std::int64_t At) { sleepMs(At - nowMs()); }

void openRecord(const std::string &Path) {
  RecordFile = std::fopen(Path.c_str(), "w");
  if (!RecordFile) {
    std::perror(Path.c_str());
    std::exit(2);
  }
}

void record(const std::string &Line) {
  std::lock_guard Lock(RecordMutex);
  std::fprintf(RecordFile, "%8.3f %s\n", static_cast<double>(nowMs()) / 1000,
               Line.c_str());
  std::fflush(RecordFile);
}

// HTTP -----------------------------------------------------------------------

std::string Message::field(const std::string &Name) const {
  for (const auto &[Key, Value] : this->Fields)
    if (lower(Key) == lower(Name))
      return Value;
  return {};
}

std::optional<Message> readMessage(int Descriptor, std::string &Buffer,
                                   bool IsResponse, std::int64_t Deadline) {
  std::size_t HeadEnd;
  while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!receive(Descriptor, Buffer, Deadline))
      return std::nullopt;
  Message Result;
  std::istringstream Head(Buffer.substr(0, HeadEnd));
  std::string Line;
  std::getline(Head, Line);
  std::istringstream First(Line);
  std::string Word;
  if (IsResponse) {
    First >> Word >> Result.Status;
  } else {
    First >> Result.Method >> Result.Path;
    if (std::size_t Mark = Result.Path.find('?'); Mark != std::string::npos) {
      Result.Query = Result.Path.substr(Mark + 1);
      Result.Path.resize(Mark);
    }
  }
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Start = Line.find_first_not_of(' ', Colon + 1);
    Result.Fields.emplace_back(Line.substr(0, Colon), Start == std::string::npos
                                                          ? ""
                                                          : Line.substr(Start));
  }
  Buffer.erase(0, HeadEnd + 4);
  std::string Length = Result.field("Content-Length");
  std::size_t Bytes = Length.empty() ? 0 : std::stoul(Length);
  while (Buffer.size() < Bytes)
    if (!receive(Descriptor, Buffer, Deadline))
      return std::nullopt;
  Result.Body = Buffer.substr(0, Bytes);
  Buffer.erase(0, Bytes);
  return Result;
}

HttpServer::HttpServer(Handler Serve) : Serve(std::move(Serve)) {
  this->Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof Address;
  if (bind(this->Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      listen(this->Listener, 128) != 0 ||
      getsockname(this->Listener, reinterpret_cast<sockaddr *>(&Address),
                  &Size) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  this->Port = ntohs(Address.sin_port);
  std::thread([this] { this->acceptAll(); }).detach();
}

void HttpServer::setDown(bool Down) {
  this->Down = Down;
  if (!Down)
    return;
  std::lock_guard Lock(this->Mutex);
  for (int Descriptor : this->Open)
    shutdown(Descriptor, SHUT_RDWR);
}

void HttpServer::acceptAll() {
  while (true) {
    int Descriptor = accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Descriptor < 0)
      continue;
    if (this->Down) {
      linger Reset{1, 0};
      setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
      close(Descriptor);
      continue;
    }
    int Enable = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof Enable);
    {
      std::lock_guard Lock(this->Mutex);
      this->Open.push_back(Descriptor);
    }
    std::thread([this, Descriptor] {
      this->serveConnection(Descriptor);
      {
        std::lock_guard Lock(this->Mutex);
        std::erase(this->Open, Descriptor);
      }
      close(Descriptor);
    }).detach();
  }
}

void HttpServer::serveConnection(int Descriptor) {
  std::string Buffer;
  while (auto Request =
             readMessage(Descriptor, Buffer, false, nowMs() + 120'000)) {
    Response Answer = this->Serve(*Request);
    if (Answer.Drop || this->Down)
      return;
    if (!Answer.Raw.empty()) {
      sendAll(Descriptor, Answer.Raw);
      return;
    }
    std::string Text = "HTTP/1.1 " + std::to_string(Answer.Status) + " X\r\n";
    for (const auto &[Name, Value] : Answer.Fields)
      Text += Name + ": " + Value + "\r\n";
    Text += "Content-Length: " + std::to_string(Answer.Body.size()) + "\r\n";
    if (Answer.Close)
      Text += "Connection: close\r\n";
    if (!sendAll(Descriptor, Text + "\r\n" + Answer.Body) || Answer.Close)
      return;
  }
}

int connectTo(int Port, int ReceiveBuffer) {
  int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBuffer > 0) {
    setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
               sizeof ReceiveBuffer);
    // Packets as on a real network; those of loopback are larger than all
    // buffers of a slow caller.
    int SegmentBytes = 1448;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes,
               sizeof SegmentBytes);
  }
  int Enable = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof Enable);
  // A full accept queue drops opening packets.
  timeval ConnectTimeout{3, 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_SNDTIMEO, &ConnectTimeout,
             sizeof ConnectTimeout);
  sockaddr_in Address = loopback(Port);
  if (connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
              sizeof Address) == 0)
    return Descriptor;
  close(Descriptor);
  return -1;
}

std::string formatRequest(const std::string &Method, const std::string &Path,
                          const Headers &Fields, const std::string &Body) {
  std::string Text = Method + " " + Path + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  if (!Body.empty() || Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

std::optional<Message> call(int Port, const std::string &Method,
                            const std::string &Path, const Headers &Fields,
                            const std::string &Body, std::int64_t TimeoutMs) {
  std::int64_t Deadline = nowMs() + TimeoutMs;
  int Descriptor = connectTo(Port);
  if (Descriptor < 0)
    return std::nullopt;
  Headers All = Fields;
  if (std::none_of(All.begin(), All.end(), [](const auto &Field) {
        return lower(Field.first) == "host";
      }))
    All.emplace_back("Host", "127.0.0.1");
  std::string Buffer;
  std::optional<Message> Answer;
  if (sendAll(Descriptor, formatRequest(Method, Path, All, Body)))
    Answer = readMessage(Descriptor, Buffer, true, Deadline);
  close(Descriptor);
  return Answer;
}

int freePort() {
  static std::vector<int> Held;
  int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof Address;
  int Enable = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof Enable);
  if (bind(Descriptor, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size) !=
          0) {
    std::perror("bind");
    std::exit(2);
  }
  close(Descriptor);
  int Port = ntohs(Address.sin_port);
  if (std::find(Held.begin(), Held.end(), Port) != Held.end())
    return freePort();
  Held.push_back(Port);
  return Port;
}

// Store ----------------------------------------------------------------------

Store::Store() : Http([this](const Message &M) { return this->serve(M); }) {
  this->Reaper = std::thread([this] {
    while (true) {
      sleepMs(20);
      std::lock_guard Lock(this->Mutex);
      std::vector<std::int64_t> Ended;
      for (const auto &[Id, Each] : this->Leases)
        if (nowMs() >= Each.EndsAt)
          Ended.push_back(Id);
      for (std::int64_t Id : Ended)
        this->endLease(Id);
    }
  });
  this->Reaper.detach();
}

void Store::endLease(std::int64_t Id) {
  this->Leases.erase(Id);
  for (auto Next = this->Items.begin(); Next != this->Items.end();) {
    if (Next->second.Lease != Id) {
      ++Next;
      continue;
    }
    this->History.push_back({++this->Revision, Next->first, std::nullopt});
    record("store: the lease of " + Next->first + " ended");
    Next = this->Items.erase(Next);
  }
  this->Changed.notify_all();
}

Json Store::encode(const std::string &Key, const Item &Stored) {
  return {{"key", Key},
          {"value", encodeBase64(Stored.Value)},
          {"revision", Stored.Revision},
          {"created", Stored.Created},
          {"lease", Stored.Lease}};
}

void Store::put(const std::string &Key, const std::string &Value) {
  std::lock_guard Lock(this->Mutex);
  Item &Stored = this->Items[Key];
  Stored.Value = Value;
  Stored.Revision = ++this->Revision;
  if (Stored.Created == 0)
    Stored.Created = Stored.Revision;
  this->History.push_back({this->Revision, Key, Stored});
  this->Changed.notify_all();
}

Response Store::serveTxn(const Json &Body) {
  std::lock_guard Lock(this->Mutex);
  bool Holds = true;
  Json Current = Json::array();
  for (const Json &Row : Body.value("expected", Json::array())) {
    auto Found = this->Items.find(Row.at("key").get<std::string>());
    std::int64_t Known =
        Found == this->Items.end() ? 0 : Found->second.Revision;
    Holds &= Known == Row.at("revision").get<std::int64_t>();
    if (Found != this->Items.end())
      Current.push_back(encode(Found->first, Found->second));
  }
  if (!Holds)
    return json(412, {{"items", Current}});
  for (const Json &Row : Body.value("write", Json::array())) {
    std::string Key = Row.at("key");
    if (Key.starts_with("op/") || Key.starts_with("servers/"))
      return json(403, Json::object());
    std::int64_t Lease = Row.value("lease", std::int64_t{0});
    if (Lease != 0 && !this->Leases.contains(Lease))
      return json(404, Json::object());
  }
  ++this->Revision;
  for (const Json &Row : Body.value("write", Json::array())) {
    std::string Key = Row.at("key");
    Item &Stored = this->Items[Key];
    Stored.Value = decodeBase64(Row.at("value"));
    Stored.Revision = this->Revision;
    if (Stored.Created == 0)
      Stored.Created = this->Revision;
    Stored.Lease = Row.value("lease", std::int64_t{0});
    this->History.push_back({this->Revision, Key, Stored});
  }
  for (const Json &Key : Body.value("remove", Json::array()))
    if (this->Items.erase(Key.get<std::string>()) > 0)
      this->History.push_back({this->Revision, Key, std::nullopt});
  this->Changed.notify_all();
  return json(200, {{"revision", this->Revision}});
}

Response Store::serveWatch(const std::map<std::string, std::string> &Query) {
  std::string Prefix = Query.at("pathPrefix");
  std::int64_t After = std::stoll(Query.at("after"));
  std::int64_t Deadline = nowMs() + std::stoll(Query.at("waitMs"));
  std::unique_lock Lock(this->Mutex);
  while (true) {
    Json Events = Json::array();
    for (const Change &Each : this->History) {
      if (Each.Revision <= After || !Each.Key.starts_with(Prefix))
        continue;
      if (Each.After)
        Events.push_back(encode(Each.Key, *Each.After));
      else
        Events.push_back({{"key", Each.Key},
                          {"revision", Each.Revision},
                          {"tombstone", true}});
    }
    if (!Events.empty() || nowMs() >= Deadline)
      return json(200, {{"events", Events}, {"at", this->Revision}});
    this->Changed.wait_for(Lock,
                           std::chrono::milliseconds(
                               std::max<std::int64_t>(1, Deadline - nowMs())));
  }
}

Response Store::serve(const Message &Request) {
  std::map<std::string, std::string> Query = parseQuery(Request.Query);
  if (Request.Path == "/kv-txn")
    return this->serveTxn(Json::parse(Request.Body));
  if (Request.Path == "/kv-watch")
    return this->serveWatch(Query);
  std::lock_guard Lock(this->Mutex);
  if (Request.Path == "/kv-key") {
    auto Found = this->Items.find(Query["key"]);
    if (Found == this->Items.end())
      return json(404, {{"at", this->Revision}});
    Json Item = encode(Found->first, Found->second);
    Item["at"] = this->Revision;
    return json(200, Item);
  }
  if (Request.Path == "/kv-range") {
    Json Items = Json::array();
    for (const auto &[Key, Stored] : this->Items)
      if (Key.starts_with(Query["pathPrefix"]) && Key > Query["after"])
        Items.push_back(encode(Key, Stored));
    return json(200,
                {{"items", Items}, {"hasMore", false}, {"at", this->Revision}});
  }
  if (Request.Path == "/kv-lease") {
    std::int64_t Ttl = Json::parse(Request.Body).at("ttlMs");
    std::int64_t Id = ++this->NextLease;
    this->Leases[Id] = {Ttl, nowMs() + Ttl};
    return json(200, {{"lease", Id}, {"ttlMs", Ttl}});
  }
  auto IdAfter = [&Request](const std::string &Prefix) {
    return std::stoll(Request.Path.substr(Prefix.size()));
  };
  if (Request.Path.starts_with("/kv-keep/")) {
    auto Found = this->Leases.find(IdAfter("/kv-keep/"));
    if (Found == this->Leases.end())
      return json(404, Json::object());
    Found->second.EndsAt = nowMs() + Found->second.TtlMs;
    return json(200, {{"ttlMs", Found->second.TtlMs}});
  }
  if (Request.Path.starts_with("/kv-lease-end/")) {
    this->endLease(IdAfter("/kv-lease-end/"));
    return json(200, Json::object());
  }
  return json(404, Json::object());
}

// Target ---------------------------------------------------------------------

Target::Target(TargetOptions Options)
    : Options(std::move(Options)),
      Http([this](const Message &M) { return this->serve(M); }) {
  this->Beats = std::thread([this] { this->beatLoop(); });
  this->Beats.detach();
}

void Target::start(const std::string &Instance, std::int64_t Born) {
  {
    std::lock_guard Lock(this->Mutex);
    this->Instance = Instance;
    this->Born = Born;
    this->Sequence = 0;
    this->Draining = false;
    this->Running = 0;
    this->Up = true;
  }
  this->Leaving = false;
  this->Http.setDown(false);
  record("target " + Instance + " starts, born " + std::to_string(Born));
}

void Target::crash() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Up = false;
  }
  this->Http.setDown(true);
  record("target " + this->Instance + " crashes");
}

void Target::setDraining() {
  std::lock_guard Lock(this->Mutex);
  this->Draining = true;
  this->Leaving = true;
  record("target " + this->Instance + " reports draining from now on");
}

void Target::pauseBeats(bool Paused) {
  std::lock_guard Lock(this->Mutex);
  this->Paused = Paused;
}

std::pair<std::string, std::string> Target::makeBeat() {
  std::lock_guard Lock(this->Mutex);
  Json Body{{"address", "127.0.0.1:" + std::to_string(this->port())},
            {"born", this->Born},
            {"information",
             {{"service", this->Options.Service},
              {"version", "v1"},
              {"zone", this->Options.Zone},
              {"slots", this->Options.Slots}}},
            {"status",
             {{"state", this->Draining ? "draining" : "ready"},
              {"sequence", ++this->Sequence},
              {"coldRemainingMs", 0}}},
            {"holds", Json::array()},
            {"freedCount", Json::array()}};
  return {"/Instances.Heartbeat/" + this->Instance, Body.dump()};
}

int Target::deliver(const std::pair<std::string, std::string> &Beat) {
  bool SaysDraining = Beat.second.find("\"draining\"") != std::string::npos;
  auto Answer = call(this->Options.ControlPort, "POST", Beat.first,
                     {{"Content-Type", "application/json"}}, Beat.second, 1000);
  int Status = Answer ? Answer->Status : 0;
  if (SaysDraining && Status == 200 && this->LeaveAckedAt == 0) {
    this->LeaveAckedAt = nowMs();
    record("target " + this->Instance + ": draining is acknowledged");
  }
  return Status;
}

int Target::deregister() {
  this->Leaving = true;
  auto Answer = call(this->Options.ControlPort, "POST",
                     "/Instances.Deregister/" + this->Instance,
                     {{"Content-Type", "application/json"}}, "{}", 1000);
  int Status = Answer ? Answer->Status : 0;
  record("target " + this->Instance +
         " deregisters: " + std::to_string(Status));
  if (Status == 200 && this->LeaveAckedAt == 0)
    this->LeaveAckedAt = nowMs();
  return Status;
}

void Target::beatLoop() {
  std::int64_t Next = 0;
  while (true) {
    sleepMs(10);
    {
      std::lock_guard Lock(this->Mutex);
      if (!this->Up || this->Paused || nowMs() < Next)
        continue;
    }
    Next = nowMs() + 870;
    this->deliver(this->makeBeat());
  }
}

std::vector<Run> Target::runs() {
  std::lock_guard Lock(this->Mutex);
  return this->Runs;
}

Response Target::serve(const Message &Request) {
  std::string AttemptId = Request.field("Attempt-Id");
  Response Answer;
  Answer.Fields = {{"Attempt-Id", AttemptId}, {"Instance-Id", this->Instance}};
  if (this->Leaving)
    Answer.Fields.emplace_back("Server-Leaving", "1");
  Answer.Close = this->Leaving;
  std::string Load;
  {
    std::lock_guard Lock(this->Mutex);
    if (!this->Up) {
      Answer.Drop = true;
      return Answer;
    }
    Load = std::to_string(this->Running) + ",0," +
           std::to_string(this->Options.Slots);
    Answer.Fields.emplace_back("Server-Load", Load);
    if (Request.Path == "/health") {
      Answer.Status = this->Draining ? 503 : 200;
      return Answer;
    }
    std::string Expected = Request.field("Expected-Instance");
    if (!Expected.empty() && Expected != this->Instance) {
      record("target " + this->Instance + " answers 421 to " + AttemptId);
      Answer.Status = 421;
      Answer.Fields.emplace_back("Not-Executed", "1");
      return Answer;
    }
    if (this->Running >= this->Options.Slots) {
      Answer.Status = 503;
      Answer.Fields.emplace_back("Not-Executed", "1");
      return Answer;
    }
    ++this->Running;
    this->Runs.push_back({nowMs(), AttemptId, Request.Path});
  }
  record("target " + this->Instance + " runs " + AttemptId);
  sleepMs(this->Options.WorkMs);
  {
    std::lock_guard Lock(this->Mutex);
    --this->Running;
  }
  Answer.Fields.emplace_back("Server-Signature", "3e1b.07." + AttemptId);
  Answer.Body.assign(this->Options.AnswerBytes, 'x');
  return Answer;
}

// Node -----------------------------------------------------------------------

Node::Node(NodeOptions Options, const std::string &Directory)
    : Outbound(freePort()), Control(freePort()), Ready(freePort()),
      Peer(freePort()), Metrics(freePort()), Options(std::move(Options)),
      Settings(Directory + "/" + this->Options.Name + ".yaml"),
      Log(Directory + "/" + this->Options.Name + ".log") {}

Node::~Node() {
  if (this->isRunning())
    ::kill(this->Pid, SIGKILL);
  this->wait();
}

void Node::start() {
  const NodeOptions &O = this->Options;
  auto Address = [](int Port) {
    return "\"127.0.0.1:" + std::to_string(Port) + "\"\n";
  };
  std::ofstream File(this->Settings);
  File << "sidecar:\n  node_name: \"" << O.Name << "\"\n  region: \""
       << O.Region << "\"\n  failure_domain: \"" << O.Zone
       << "\"\n  outbound: " << Address(this->Outbound)
       << "  control: " << Address(this->Control)
       << "  ready: " << Address(this->Ready)
       << "  peer: " << Address(this->Peer)
       << "  metrics: " << Address(this->Metrics)
       << "  target: " << Address(O.TargetPort) << "  service: \"" << O.Service
       << "\"\n  store: " << Address(O.StorePort) << "  drain_ms: " << O.DrainMs
       << "\n  stop_grace_s: " << O.GraceS
       << "\n  max_hold_ms: 10000\n  retry_ratio: 0.2\n  retry_extra: 62\n"
          "  retry_window_s: 10\n  link_mbps: "
       << O.LinkMbps << "\n  memory_mb: " << O.MemoryMb << "\n";
  File.close();
  int Output =
      open(this->Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  this->Pid = fork();
  if (this->Pid == 0) {
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("ORIOLEDOOR_CONFIG", this->Settings.c_str(), 1);
    execl("target/orioledoor-node", "target/orioledoor-node", nullptr);
    _exit(127);
  }
  close(Output);
  this->StartedAt = nowMs();
  record("node " + O.Name + " starts");
}

void Node::kill(int Signal) {
  record("node " + this->Options.Name + " gets signal " +
         std::to_string(Signal));
  ::kill(this->Pid, Signal);
}

int Node::wait() {
  int Status = 0;
  if (this->Pid > 0)
    waitpid(this->Pid, &Status, 0);
  this->Pid = -1;
  return Status;
}

bool Node::isRunning() {
  if (this->Pid <= 0)
    return false;
  int Status = 0;
  if (waitpid(this->Pid, &Status, WNOHANG) == 0)
    return true;
  record("node " + this->Options.Name + " has ended, status " +
         std::to_string(Status));
  this->Pid = -1;
  return false;
}

bool Node::isReady() const {
  auto Answer = call(this->Ready, "GET", "/readiness", {}, "", 500);
  return Answer && Answer->Status == 200;
}

bool Node::waitReady(std::int64_t TimeoutMs) const {
  for (std::int64_t End = nowMs() + TimeoutMs; nowMs() < End; sleepMs(20))
    if (this->isReady())
      return true;
  return false;
}

std::size_t Node::residentBytes() const {
  std::ifstream File("/proc/" + std::to_string(this->Pid) + "/status");
  std::string Word;
  std::size_t Kilobytes = 0;
  while (File >> Word)
    if (Word == "VmRSS:") {
      File >> Kilobytes;
      break;
    }
  return Kilobytes * 1024;
}

// Common parts ---------------------------------------------------------------

std::string makeConfig(int Version, const std::vector<ServiceOptions> &Services,
                       const std::vector<RouteOptions> &Routes) {
  char Text[16];
  std::snprintf(Text, sizeof Text, "%08x", Version);
  Json Config{{"version", Text},
              {"services", Json::array()},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 67108864},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}},
              {"virtualHosts", Json::array()}};
  for (const ServiceOptions &Each : Services) {
    Json Service{{"name", Each.Name},
                 {"healthPath", "/health"},
                 {"maxConnections", 130},
                 {"protocol", "h1"},
                 {"tls", false}};
    if (Each.Partitioned) {
      Service["partitioned"] = true;
      Service["warmupS"] = 2.0;
      Service["grants"] = "heartbeat";
    }
    Config["services"].push_back(Service);
  }
  Json Paths = Json::array();
  for (const RouteOptions &Each : Routes)
    Paths.push_back({{"name", "r-" + Each.Service},
                     {"pathPrefix", Each.Prefix},
                     {"kind", Each.Kind},
                     {"timeoutMs", Each.TimeoutMs},
                     {"targetLatencyMs", 500},
                     {"priority", 1},
                     {"service", Each.Service},
                     {"attempts", Each.Attempts}});
  Config["virtualHosts"].push_back({{"host", "lab.example"}, {"paths", Paths}});
  return Config.dump();
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

} // namespace lab
