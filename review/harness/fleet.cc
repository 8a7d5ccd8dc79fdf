// The store, the backends, the machines and the case runner.
#include "fleet.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

// "A 2xx response acknowledges the heartbeat if it [...] is at most 4 KiB."
constexpr std::size_t MaxAnswerBytes = 4096;

constexpr char Base64Digits[] =
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
      Text += I + J > Bytes.size() ? '='
                                   : Base64Digits[Group >> (18 - 6 * J) & 63];
  }
  return Text;
}

std::string decodeBase64(const std::string &Text) {
  std::string Bytes;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (char C : Text) {
    const char *Found = std::find(Base64Digits, Base64Digits + 64, C);
    if (Found == Base64Digits + 64)
      break;
    Group = Group << 6 | static_cast<std::uint32_t>(Found - Base64Digits);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Bytes += static_cast<char>(Group >> Bits & 255);
    }
  }
  return Bytes;
}

std::string decodePercent(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result += static_cast<char>(
          std::strtol(Text.substr(I + 1, 2).c_str(), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  return Result;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Query;
  std::size_t Start = Target.find('?');
  if (Start == std::string::npos)
    return Query;
  std::istringstream Parts(Target.substr(Start + 1));
  for (std::string Part; std::getline(Parts, Part, '&');) {
    std::size_t Equals = Part.find('=');
    if (Equals != std::string::npos)
      Query[Part.substr(0, Equals)] = decodePercent(Part.substr(Equals + 1));
  }
  return Query;
}

// The fleet of the running case.
Fleet *TheFleet = nullptr;

std::string jsonResponse(int Status, const Json &Body) {
  return formatResponse(Status, {{"Content-Type", "application/json"}},
                        Body.dump());
}

std::string readWholeFile(const std::string &FileName) {
  std::ifstream File(FileName);
  if (!File)
    throw std::runtime_error("cannot read " + FileName);
  return {std::istreambuf_iterator<char>(File), {}};
}

// Fills in the placeholders of a settings template. A section from {{#NAME}} to
// {{/NAME}} is left out if NAME has no value; {{.}} stands for its value.
std::string renderTemplate(const std::string &Text,
                           const std::map<std::string, std::string> &Values) {
  std::string Result;
  std::size_t Position = 0;
  while (true) {
    std::size_t Open = Text.find("{{", Position);
    if (Open == std::string::npos)
      return Result + Text.substr(Position);
    std::size_t Close = Text.find("}}", Open);
    std::string Name = Text.substr(Open + 2, Close - Open - 2);
    if (Name.starts_with('#')) {
      Name.erase(0, 1);
      std::string End = "{{/" + Name + "}}";
      std::size_t Begin = Close + 2;
      std::size_t SectionEnd = Text.find(End, Begin);
      if (SectionEnd == std::string::npos)
        throw std::runtime_error("no end of section {{#" + Name + "}}");
      Result += Text.substr(Position, Open - Position);
      if (auto Value = Values.find(Name); Value != Values.end()) {
        std::map<std::string, std::string> Inner = Values;
        Inner["."] = Value->second;
        Result += renderTemplate(Text.substr(Begin, SectionEnd - Begin), Inner);
      }
      Position = SectionEnd + End.size();
      continue;
    }
    auto Found = Values.find(Name);
    if (Found == Values.end())
      throw std::runtime_error("no value for {{" + Name + "}}");
    Result += Text.substr(Position, Open - Position) + Found->second;
    Position = Close + 2;
  }
}

} // namespace

// Recorder --------------------------------------------------------------------

Recorder::Recorder(const std::string &FileName) : File(FileName) {
  if (!this->File)
    throw std::runtime_error("cannot write " + FileName);
}

double Recorder::seconds() const {
  return std::chrono::duration<double>(Clock::now() - this->Start).count();
}

void Recorder::write(const std::string &Line) {
  char Time[32];
  std::snprintf(Time, sizeof Time, "%8.3f ", this->seconds());
  std::lock_guard Lock(this->Mutex);
  this->File << Time << Line << "\n";
  this->File.flush();
}

// Store -----------------------------------------------------------------------

Store::Store(const Address &At, Recorder &Record) : Record(Record) {
  this->Http = std::make_unique<Server>(
      At, [this](Stream &Connection) { this->serve(Connection); });
  std::thread([this] {
    while (true) {
      sleepMs(20);
      this->expireLeases();
    }
  }).detach();
}

void Store::put(const std::string &Key, const std::string &Value) {
  std::lock_guard Lock(this->Mutex);
  ++this->Revision;
  this->write(Key, encodeBase64(Value), 0);
  this->Changed.notify_all();
}

std::string Store::get(const std::string &Key) {
  std::lock_guard Lock(this->Mutex);
  auto Found = this->Items.find(Key);
  return Found == this->Items.end() ? "" : decodeBase64(Found->second.Value);
}

void Store::write(const std::string &Key, const std::string &Value,
                  std::int64_t Lease) {
  Item &Stored = this->Items[Key];
  if (auto Found = this->Leases.find(Stored.Lease); Found != this->Leases.end())
    Found->second.Keys.erase(Key);
  if (Stored.Created == 0)
    Stored.Created = this->Revision;
  Stored.Value = Value;
  Stored.Revision = this->Revision;
  Stored.Lease = Lease;
  if (Lease != 0)
    this->Leases.at(Lease).Keys.insert(Key);
  this->History.push_back({Key, this->Revision, false, Stored});
}

void Store::remove(const std::string &Key) {
  auto Found = this->Items.find(Key);
  if (Found == this->Items.end())
    return;
  if (auto Lease = this->Leases.find(Found->second.Lease);
      Lease != this->Leases.end())
    Lease->second.Keys.erase(Key);
  this->Items.erase(Found);
  this->History.push_back({Key, this->Revision, true, {}});
}

void Store::endLease(std::int64_t Id) {
  std::set<std::string> Keys = this->Leases.at(Id).Keys;
  this->Leases.erase(Id);
  if (!Keys.empty())
    ++this->Revision;
  for (const std::string &Key : Keys) {
    this->remove(Key);
    this->Record.write("store: the lease of " + Key + " has ended");
  }
  this->Changed.notify_all();
}

void Store::expireLeases() {
  std::lock_guard Lock(this->Mutex);
  std::vector<std::int64_t> Ended;
  for (const auto &[Id, State] : this->Leases)
    if (State.End <= Clock::now())
      Ended.push_back(Id);
  for (std::int64_t Id : Ended)
    this->endLease(Id);
}

Json Store::toJson(const std::string &Key, const Item &Stored) {
  return {{"key", Key},
          {"value", Stored.Value},
          {"revision", Stored.Revision},
          {"created", Stored.Created},
          {"lease", Stored.Lease}};
}

void Store::serve(Stream &Connection) {
  HttpMessage Request;
  while (Connection.read(Request, Clock::now() + std::chrono::seconds(120))) {
    std::string Response;
    try {
      Response = this->handle(Request);
    } catch (const std::exception &Error) {
      Response = jsonResponse(400, {{"error", Error.what()}});
    }
    if (!Connection.write(Response))
      return;
  }
}

std::string Store::handle(const HttpMessage &Request) {
  std::string Target = Request.target();
  std::string Path = Target.substr(0, Target.find('?'));
  std::map<std::string, std::string> Query = parseQuery(Target);
  if (Path == "/kv-watch")
    return this->handleWatch(Query);
  std::lock_guard Lock(this->Mutex);
  if (Path == "/kv-key") {
    auto Found = this->Items.find(Query["key"]);
    if (Found == this->Items.end())
      return jsonResponse(404, {{"at", this->Revision}});
    Json Body = toJson(Found->first, Found->second);
    Body["at"] = this->Revision;
    return jsonResponse(200, Body);
  }
  if (Path == "/kv-range") {
    Json Found = Json::array();
    for (const auto &[Key, Stored] : this->Items)
      if (Key.starts_with(Query["pathPrefix"]) && Key > Query["after"])
        Found.push_back(toJson(Key, Stored));
    return jsonResponse(
        200, {{"items", Found}, {"hasMore", false}, {"at", this->Revision}});
  }
  if (Path == "/kv-txn")
    return this->handleTxn(Json::parse(Request.Body));
  if (Path == "/kv-lease") {
    int TtlMs = Json::parse(Request.Body).at("ttlMs");
    TtlMs = std::clamp(TtlMs, 1000, 600'000);
    this->Leases[++this->LastLease] = {TtlMs, Clock::now() + Millis(TtlMs), {}};
    return jsonResponse(200, {{"lease", this->LastLease}, {"ttlMs", TtlMs}});
  }
  std::int64_t Id = std::strtoll(Path.substr(Path.rfind('/') + 1).c_str(),
                                 nullptr, 10);
  auto Found = this->Leases.find(Id);
  if (Found == this->Leases.end())
    return jsonResponse(404, Json::object());
  if (Path.starts_with("/kv-keep/")) {
    Found->second.End = Clock::now() + Millis(Found->second.TtlMs);
    return jsonResponse(200, {{"ttlMs", Found->second.TtlMs}});
  }
  if (Path.starts_with("/kv-lease-end/")) {
    this->endLease(Id);
    return jsonResponse(200, Json::object());
  }
  return jsonResponse(400, Json::object());
}

std::string Store::handleTxn(const Json &Body) {
  Json Current = Json::array();
  bool Fits = true;
  for (const Json &Row : Body.at("expected")) {
    std::string Key = Row.at("key");
    auto Found = this->Items.find(Key);
    std::int64_t Known =
        Found == this->Items.end() ? 0 : Found->second.Revision;
    Fits &= Known == Row.at("revision").get<std::int64_t>();
    if (Found != this->Items.end())
      Current.push_back(toJson(Key, Found->second));
  }
  if (!Fits)
    return jsonResponse(412, {{"items", Current}});
  for (const Json &Row : Body.at("write")) {
    std::int64_t Lease = Row.value("lease", std::int64_t{0});
    if (Lease != 0 && !this->Leases.contains(Lease))
      return jsonResponse(404, Json::object());
    std::string Key = Row.at("key");
    if (Key.starts_with("op/") || Key.starts_with("servers/"))
      return jsonResponse(403, Json::object());
  }
  ++this->Revision;
  for (const Json &Row : Body.at("write"))
    this->write(Row.at("key"), Row.at("value"),
                Row.value("lease", std::int64_t{0}));
  for (const Json &Key : Body.at("remove"))
    this->remove(Key);
  this->Changed.notify_all();
  return jsonResponse(200, {{"revision", this->Revision}});
}

std::string
Store::handleWatch(const std::map<std::string, std::string> &Query) {
  std::int64_t After = std::stoll(Query.at("after"));
  const std::string &Prefix = Query.at("pathPrefix");
  Clock::time_point End =
      Clock::now() + Millis(std::stoll(Query.at("waitMs")));
  std::unique_lock Lock(this->Mutex);
  Json Events = Json::array();
  while (true) {
    for (const Event &Each : this->History) {
      if (Each.Revision <= After || !Each.Key.starts_with(Prefix))
        continue;
      if (Each.Deleted)
        Events.push_back({{"key", Each.Key},
                          {"revision", Each.Revision},
                          {"tombstone", true}});
      else
        Events.push_back(toJson(Each.Key, Each.Written));
    }
    if (!Events.empty() || Clock::now() >= End)
      return jsonResponse(200, {{"events", Events}, {"at", this->Revision}});
    this->Changed.wait_until(Lock, End);
  }
}

// Backend ---------------------------------------------------------------------

Backend::Backend(std::string Name, const Address &Application,
                 const Address &Control, std::string Zone,
                 BackendOptions Options, Recorder &Record)
    : Name(std::move(Name)), Application(Application), Control(Control),
      Zone(std::move(Zone)), Options(std::move(Options)), Record(Record) {
  this->Http = std::make_unique<Server>(
      Application, [this](Stream &Connection) { this->serve(Connection); });
  std::thread([this] { this->beatLoop(); }).detach();
}

void Backend::start(const std::string &Id, std::int64_t Born) {
  std::lock_guard Lock(this->Mutex);
  ++this->Life;
  this->Up = true;
  this->Id = Id;
  this->Born = Born;
  this->Sequence = 0;
  this->Held.clear();
  this->Releasing.clear();
  this->HeldUntil = {};
  this->HighestFence.assign(65536, 0);
  this->WorkByKey.clear();
  this->Freed = Json::array();
  this->Running = 0;
  this->Record.write("backend " + this->Name + ": starts as " + Id + " of " +
                     this->Options.Service);
}

void Backend::crash() {
  std::lock_guard Lock(this->Mutex);
  ++this->Life;
  this->Up = false;
  this->Held.clear();
  this->Releasing.clear();
  this->Record.write("backend " + this->Name + ": crashes");
}

bool Backend::isUp() {
  std::lock_guard Lock(this->Mutex);
  return this->Up;
}

std::string Backend::id() {
  std::lock_guard Lock(this->Mutex);
  return this->Id;
}

std::vector<HeldRow> Backend::heldRows() {
  std::lock_guard Lock(this->Mutex);
  if (!this->Up || Clock::now() >= this->HeldUntil)
    return {};
  return this->Held;
}

std::size_t Backend::largestAnswer() {
  std::lock_guard Lock(this->Mutex);
  return this->LargestAnswer;
}

int Backend::oversizedAnswers() {
  std::lock_guard Lock(this->Mutex);
  return this->OversizedAnswers;
}

std::vector<Run> Backend::runs() {
  std::lock_guard Lock(this->Mutex);
  return this->Runs;
}

bool Backend::holds(int Key, Clock::time_point Now) {
  return Now < this->HeldUntil &&
         std::any_of(this->Held.begin(), this->Held.end(),
                     [Key](const HeldRow &Row) {
                       return Row.From <= Key && Key <= Row.To;
                     });
}

void Backend::serve(Stream &Connection) {
  HttpMessage Request;
  while (Connection.read(Request, Clock::now() + std::chrono::seconds(10))) {
    std::string AttemptId = Request.field("Attempt-Id");
    Headers Echo = {{"Attempt-Id", AttemptId}};
    std::string KeyText = Request.field("Shard-Key");
    int Key = KeyText.empty() ? -1 : std::atoi(KeyText.c_str());
    std::uint64_t StartedLife = 0;
    std::string Response;
    {
      std::lock_guard Lock(this->Mutex);
      if (!this->Up)
        return Connection.reset();
      std::string Expected = Request.field("Expected-Instance");
      bool WrongInstance = !Expected.empty() && Expected != this->Id;
      bool NotHeld =
          this->Options.Partitioned && !this->holds(Key, Clock::now());
      bool Full = this->Running >= this->Options.Slots;
      Headers Rejected = Echo;
      Rejected.emplace_back("Not-Executed", "1");
      if (WrongInstance || NotHeld)
        Response = formatResponse(421, Rejected, "");
      else if (Full)
        Response = formatResponse(503, Rejected, "");
      if (Response.empty()) {
        ++this->Running;
        ++this->WorkByKey[Key];
        StartedLife = this->Life;
        this->Runs.push_back({AttemptId, this->Name,
                              Request.field("Caller-Service"),
                              Request.target(), Key, this->Record.seconds()});
        this->Record.write("backend " + this->Name + ": runs " + AttemptId +
                           " caller-service=" +
                           Request.field("Caller-Service") +
                           (Key >= 0 ? " key=" + KeyText : ""));
      }
    }
    if (this->SendBefore && StartedLife != 0)
      if (std::string Bytes = this->SendBefore(Request, Connection.id());
          !Bytes.empty() && !Connection.write(Bytes))
        return;
    if (StartedLife != 0) {
      sleepMs(this->Options.WorkMs);
      std::lock_guard Lock(this->Mutex);
      if (this->Life != StartedLife)
        return Connection.reset();
      --this->Running;
      if (--this->WorkByKey[Key] == 0)
        this->WorkByKey.erase(Key);
      Headers Fields = Echo;
      Fields.emplace_back("Server-Signature",
                          this->Id + "." + AttemptId);
      std::string Answer =
          "answer of " + this->Id + " to " + AttemptId + "\n";
      Answer.insert(0, std::string(
                           std::max(this->Options.AnswerBytes, Answer.size()) -
                               Answer.size(),
                           '.'));
      Response = formatResponse(200, Fields, Answer);
    }
    if (!Connection.write(Response))
      return;
  }
}

void Backend::beatLoop() {
  while (true) {
    int WaitMs = HeartbeatMs;
    bool MayBeat;
    {
      std::lock_guard Lock(this->Mutex);
      MayBeat = this->Up;
    }
    if (MayBeat && !this->Silent)
      this->beat();
    else
      WaitMs = 20;
    {
      std::lock_guard Lock(this->Mutex);
      if (!this->Releasing.empty())
        WaitMs = 80;
    }
    // A new life reports at once.
    std::uint64_t KnownLife;
    {
      std::lock_guard Lock(this->Mutex);
      KnownLife = this->Life;
    }
    for (int Slept = 0; Slept < WaitMs; Slept += 10) {
      sleepMs(10);
      std::lock_guard Lock(this->Mutex);
      if (this->Life != KnownLife)
        break;
    }
  }
}

void Backend::beat() {
  Json Body;
  std::string Path;
  std::uint64_t SentLife;
  Clock::time_point SentAt = Clock::now();
  {
    std::lock_guard Lock(this->Mutex);
    if (SentAt >= this->HeldUntil) {
      this->Held.clear();
      this->Releasing.clear();
    }
    SentLife = this->Life;
    Path = "/Instances.Heartbeat/" + this->Id;
    // Rows on which no work is left are released.
    std::erase_if(this->Releasing, [this](const HeldRow &Row) {
      bool Busy = std::any_of(
          this->WorkByKey.begin(), this->WorkByKey.end(),
          [&Row](const auto &Entry) {
            return Row.From <= Entry.first && Entry.first <= Row.To;
          });
      if (Busy)
        return false;
      char Token[32];
      std::snprintf(Token, sizeof Token, "%016llx",
                    static_cast<unsigned long long>(
                        0x5c0e7a21d94b0000ULL +
                        static_cast<unsigned long long>(++this->Handovers)));
      this->Freed.push_back({Row.From, Row.To, Token});
      return true;
    });
    Json Holds = Json::array();
    for (const auto *Rows : {&this->Held, &this->Releasing})
      for (const HeldRow &Row : *Rows)
        Holds.push_back({Row.From, Row.To, Row.Fence});
    Body = {{"address", this->Application.text()},
            {"born", this->Born},
            {"information",
             {{"service", this->Options.Service},
              {"version", "v1"},
              {"zone", this->Zone},
              {"slots", this->Options.Slots}}},
            {"status",
             {{"state", "ready"},
              {"sequence", ++this->Sequence},
              {"coldRemainingMs", 0}}}};
    if (this->Options.Partitioned) {
      Body["holds"] = Holds;
      Body["freedCount"] = this->Freed;
    }
  }
  HttpMessage Answer;
  bool Complete = call(this->Control, "POST " + Path + " HTTP/1.1",
                       {{"Host", this->Control.text()},
                        {"Content-Type", "application/json"}},
                       Body.dump(), Millis(1000), Answer, this->Control.Ip);
  std::lock_guard Lock(this->Mutex);
  if (this->Life != SentLife || !Complete || Answer.status() != 200)
    return;
  this->LargestAnswer = std::max(this->LargestAnswer, Answer.Body.size());
  if (Answer.Body.size() > MaxAnswerBytes) {
    if (this->OversizedAnswers++ % 10 == 0)
      this->Record.write("backend " + this->Name +
                         ": the answer to a heartbeat has " +
                         std::to_string(Answer.Body.size()) +
                         " bytes and is none");
    return;
  }
  this->Freed = Json::array();
  Json Parsed = Json::parse(Answer.Body, nullptr, false);
  if (Parsed.is_object() && Parsed.contains("holds"))
    this->applyAnswer(Parsed, SentAt);
}

void Backend::applyAnswer(const Json &Answer, Clock::time_point SentAt) {
  std::vector<HeldRow> Granted;
  for (const Json &Row : Answer.at("holds")) {
    HeldRow Added{Row.at(0), Row.at(1), Row.at(2)};
    bool Outdated = false;
    for (int Key = Added.From; Key <= Added.To; ++Key)
      Outdated |= this->HighestFence[static_cast<std::size_t>(Key)] >
                  Added.Fence;
    if (Outdated)
      continue;
    for (int Key = Added.From; Key <= Added.To; ++Key)
      this->HighestFence[static_cast<std::size_t>(Key)] = Added.Fence;
    Granted.push_back(Added);
  }
  // What is left out is released, part by part.
  for (const HeldRow &Row : this->Held) {
    int Start = -1;
    for (int Key = Row.From; Key <= Row.To + 1; ++Key) {
      bool LeftOut =
          Key <= Row.To &&
          std::none_of(Granted.begin(), Granted.end(),
                       [Key](const HeldRow &Each) {
                         return Each.From <= Key && Key <= Each.To;
                       });
      if (LeftOut && Start < 0)
        Start = Key;
      if (!LeftOut && Start >= 0) {
        this->Releasing.push_back({Start, Key - 1, Row.Fence});
        Start = -1;
      }
    }
  }
  std::string Rows;
  for (const HeldRow &Row : Granted)
    Rows += " [" + std::to_string(Row.From) + "," + std::to_string(Row.To) +
            "," + std::to_string(Row.Fence) + "]";
  int HoldMs = Answer.at("holdMs");
  auto SameRows = [](const std::vector<HeldRow> &Left,
                     const std::vector<HeldRow> &Right) {
    return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                      [](const HeldRow &L, const HeldRow &R) {
                        return L.From == R.From && L.To == R.To &&
                               L.Fence == R.Fence;
                      });
  };
  if (!SameRows(this->Held, Granted))
    this->Record.write("backend " + this->Name + ": holds" +
                       (Rows.size() < 400 ? Rows
                                          : " " + std::to_string(Granted.size()) +
                                                " rows") +
                       " for " + std::to_string(HoldMs) + " ms");
  this->Held = std::move(Granted);
  this->HeldUntil = SentAt + Millis(HoldMs);
}

// Machine ---------------------------------------------------------------------

Machine::Machine(const MachineOptions &Options, std::string Ip,
                 const std::vector<int> &Ports, const Address &Store,
                 const std::string &Directory, Recorder &Record)
    : Options(Options), Ip(std::move(Ip)), Outbound{this->Ip, Ports[0]},
      Control{this->Ip, Ports[1]}, Ready{this->Ip, Ports[2]},
      Application{this->Ip, Ports[3]}, Directory(Directory), Record(Record),
      SettingsFile(Directory + "/" + Options.Name + ".yaml") {
  this->Server = std::make_unique<Backend>(
      Options.Name, this->Application, this->Control, Options.Zone,
      Options.Backend, Record);
  std::map<std::string, std::string> Values = {
      {"nodeName", Options.Name},
      {"region", Options.Region},
      {"zone", Options.Zone},
      {"listen.outbound", this->Outbound.text()},
      {"listen.control", this->Control.text()},
      {"listen.ready", this->Ready.text()},
      {"ipAddress", this->Ip},
      {"internalPortRange.0", std::to_string(Ports[4])},
      {"internalPortRange.1", std::to_string(Ports[5])},
      {"application", this->Application.text()},
      {"service", Options.Backend.Service},
      {"platform.address", Store.text()},
      {"bounds.drainMs", std::to_string(DrainMs)},
      {"bounds.graceS", std::to_string(GraceS)},
      {"bounds.maxHoldMs", std::to_string(MaxHoldMs)},
      {"bounds.retryBudgetRatio", "0.2"},
      {"bounds.budgetExtraAttempts", "62"},
      {"bounds.budgetWindowS", "10"},
      {"limits.linkMbps", "1000.0"},
      {"limits.memoryMb", "260"}};
  std::ofstream(this->SettingsFile)
      << renderTemplate(readWholeFile("deploy/settings.yaml.tmpl"), Values);
}

std::string Machine::logFile() const {
  return this->Directory + "/" + this->Options.Name + ".log";
}

void Machine::startNode() {
  pid_t Parent = getpid();
  int Started[2];
  if (pipe2(Started, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot make a pipe");
  this->Pid = fork();
  if (this->Pid == 0) {
    // The node ends with this process, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent)
      _exit(2);
    if (!std::freopen(this->logFile().c_str(), "a", stdout) ||
        dup2(fileno(stdout), STDERR_FILENO) < 0)
      _exit(2);
    std::string Settings = "ORIOLEDOOR_CONFIG=" + this->SettingsFile;
    char Path[] = "PATH=/usr/bin:/bin";
    char *Environment[] = {Path, Settings.data(), nullptr};
    char Program[] = "target/orioledoor-node";
    char *Arguments[] = {Program, nullptr};
    execve(Program, Arguments, Environment);
    _exit(2);
  }
  // The pipe closes with the execve(); before it, the child has the memory of
  // this process.
  close(Started[1]);
  char Byte;
  while (read(Started[0], &Byte, 1) < 0 && errno == EINTR)
    continue;
  close(Started[0]);
  this->Record.write("machine " + this->Options.Name + ": node starts");
}

void Machine::signalNode(int Signal) const {
  if (this->Pid > 0)
    kill(this->Pid, Signal);
  this->Record.write("machine " + this->Options.Name + ": signal " +
                     std::to_string(Signal) + " to the node");
}

void Machine::killNode() {
  if (this->Pid <= 0)
    return;
  kill(this->Pid, SIGKILL);
  waitpid(this->Pid, nullptr, 0);
  this->Pid = -1;
}

bool Machine::isReady() const {
  HttpMessage Answer;
  return call(this->Ready, "GET /readiness HTTP/1.1",
              {{"Host", this->Ready.text()}}, "", Millis(500), Answer,
              this->Ip) &&
         Answer.status() == 200;
}

// Fleet -----------------------------------------------------------------------

Fleet::Fleet(const std::vector<MachineOptions> &Options, Recorder &Record)
    : Record(Record) {
  std::string Template = (std::filesystem::temp_directory_path() /
                          "orioledoor-review-XXXXXX")
                             .string();
  if (!mkdtemp(Template.data()))
    throw std::runtime_error("cannot make a temporary folder");
  this->Directory = Template;
  std::random_device Random;
  std::string Network = "127." + std::to_string(10 + Random() % 200) + "." +
                        std::to_string(Random() % 250) + ".";
  std::vector<std::string> Ips;
  for (std::size_t I = 0; I <= Options.size(); ++I)
    Ips.push_back(Network + std::to_string(10 + I));
  std::vector<int> Ports = findFreePorts(Ips, 7);
  Address StoreAddress{Ips.back(), Ports[6]};
  this->TheStore = std::make_unique<Store>(StoreAddress, Record);
  for (std::size_t I = 0; I < Options.size(); ++I)
    this->Machines.push_back(std::make_unique<Machine>(
        Options[I], Ips[I], Ports, StoreAddress, this->Directory, Record));
}

Fleet &Fleet::create(const std::vector<MachineOptions> &Options,
                     Recorder &Record) {
  TheFleet = new Fleet(Options, Record);
  return *TheFleet;
}

void Fleet::stop() {
  for (auto &Each : this->Machines)
    Each->killNode();
  if (std::getenv("KEEP_LOGS"))
    std::cerr << "logs: " << this->Directory << "\n";
  else
    std::filesystem::remove_all(this->Directory);
}

bool Fleet::start() {
  for (auto &Each : this->Machines) {
    Each->startNode();
    Each->Server->start(newId("i-"), unixMillis());
  }
  Clock::time_point End = Clock::now() + std::chrono::seconds(15);
  while (Clock::now() < End) {
    if (std::all_of(this->Machines.begin(), this->Machines.end(),
                    [](const auto &Each) { return Each->isReady(); }))
      return true;
    sleepMs(100);
  }
  return false;
}

void Fleet::putConfig(const Json &Config) {
  this->TheStore->put("op/config", Config.dump());
  this->Record.write("operator: configuration " +
                     Config.at("version").get<std::string>());
}

Json makeRoute(const std::string &Prefix, const std::string &Kind,
               const std::string &Service, int TimeoutMs,
               int TargetLatencyMs) {
  return {{"name", "r" + Prefix},
          {"pathPrefix", Prefix},
          {"kind", Kind},
          {"timeoutMs", TimeoutMs},
          {"targetLatencyMs", TargetLatencyMs},
          {"priority", 1},
          {"service", Service},
          {"attempts", 2}};
}

Json makeService(const std::string &Name, bool Partitioned) {
  Json Service = {{"name", Name},
                  {"healthPath", "/health"},
                  {"maxConnections", 130},
                  {"protocol", "h1"},
                  {"tls", false}};
  if (Partitioned) {
    Service["partitioned"] = true;
    Service["warmupS"] = 2.0;
    Service["grants"] = "heartbeat";
  }
  return Service;
}

Json makeConfig(int Version, const Json &Services, const Json &Routes) {
  char Text[16];
  std::snprintf(Text, sizeof Text, "%08x", Version);
  return {{"version", Text},
          {"services", Services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"virtualHosts", Json::array({{{"host", HostName},
                                         {"paths", Routes}}})}};
}

ClientResult sendRequest(const Machine &At, const std::string &Method,
                         const std::string &Path, const std::string &AttemptId,
                         int DeadlineMs, int Key, const std::string &Body) {
  Headers Fields = {{"Host", HostName},
                    {"Attempt-Id", AttemptId},
                    {"Deadline-Remaining", std::to_string(DeadlineMs)}};
  if (Key >= 0)
    Fields.emplace_back("Shard-Key", std::to_string(Key));
  ClientResult Result;
  Result.Complete =
      call(At.Outbound, Method + " " + Path + " HTTP/1.1", Fields, Body,
           Millis(DeadlineMs), Result.Answer, At.Ip);
  return Result;
}

std::int64_t unixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMs(int Count) { std::this_thread::sleep_for(Millis(Count)); }

std::string newId(const char *Prefix) {
  static std::mutex Mutex;
  static std::mt19937_64 Random{std::random_device{}()};
  std::lock_guard Lock(Mutex);
  char Text[32];
  std::snprintf(Text, sizeof Text, "%s%016llx", Prefix,
                static_cast<unsigned long long>(Random()));
  return Text;
}

bool troubleWanted() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

int runCase(int Count, char **Arguments,
            const std::function<Verdict(Recorder &)> &Body) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count != 2) {
    std::cerr << "usage: " << Arguments[0] << " RECORD\n";
    return CannotRun;
  }
  Verdict Result = CannotRun;
  try {
    static Recorder Record(Arguments[1]);
    Record.write(troubleWanted() ? "with the disruption"
                                 : "without the disruption");
    Result = Body(Record);
    const char *Text = Result == Held     ? "the rule held"
                       : Result == Broken ? "the rule was broken"
                                          : "the case could not run";
    Record.write(std::string("verdict: ") + Text);
    std::cout << Text << "\n" << std::flush;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
  }
  if (TheFleet)
    TheFleet->stop();
  std::_Exit(Result);
}

} // namespace review
