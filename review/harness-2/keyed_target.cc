// Implements the holds of a backend.
#include "keyed_target.h"

#include <algorithm>
#include <thread>

namespace lab {
namespace {

constexpr std::int64_t HeartbeatMs = 870;
// Interval of heartbeats until all keys that were left out are given up.
constexpr std::int64_t ReleaseMs = 90;

std::string range(int From, int To) {
  return "[" + std::to_string(From) + ", " + std::to_string(To) + "]";
}

} // namespace

KeyedTarget::KeyedTarget(std::string Instance, std::string Service,
                         std::string Zone, int ControlPort)
    : Instance(std::move(Instance)), Service(std::move(Service)),
      Zone(std::move(Zone)), ControlPort(ControlPort),
      Http([this](const Message &M) { return this->serve(M); }) {}

void KeyedTarget::start() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Up = true;
    this->Born = wallMs();
  }
  record("target " + this->Instance + " starts");
  std::thread([this] { this->beatLoop(); }).detach();
}

void KeyedTarget::setDraining() {
  std::lock_guard Lock(this->Mutex);
  this->Draining = true;
  record("target " + this->Instance + " reports draining from now on");
}

KeyedTarget::KeyState KeyedTarget::stateOf(int Key) {
  std::lock_guard Lock(this->Mutex);
  this->expire();
  return this->States[Key];
}

int KeyedTarget::someKey() {
  std::lock_guard Lock(this->Mutex);
  this->expire();
  auto Found =
      std::find(this->States.begin(), this->States.end(), KeyState::Held);
  return Found == this->States.end()
             ? -1
             : static_cast<int>(Found - this->States.begin());
}

int KeyedTarget::lastKey() {
  std::lock_guard Lock(this->Mutex);
  this->expire();
  auto Found =
      std::find(this->States.rbegin(), this->States.rend(), KeyState::Held);
  return Found == this->States.rend()
             ? -1
             : KeyCount - 1 - static_cast<int>(Found - this->States.rbegin());
}

Json KeyedTarget::takeStraggler() {
  std::lock_guard Lock(this->Mutex);
  return this->Straggler;
}

int KeyedTarget::deliverLate(const Json &Beat) {
  auto Answer =
      call(this->ControlPort, "POST", "/Instances.Heartbeat/" + this->Instance,
           {{"Content-Type", "application/json"}}, Beat.dump(), 1000);
  return Answer ? Answer->Status : 0;
}

// Keys whose lease has run out are not reported as given up.
void KeyedTarget::expire() {
  if (nowMs() < this->HoldsUntil)
    return;
  for (KeyState &State : this->States)
    if (State == KeyState::Held)
      State = KeyState::None;
}

Json KeyedTarget::makeBeat() {
  std::lock_guard Lock(this->Mutex);
  this->expire();
  Json Holds = Json::array();
  for (int From = 0; From < KeyCount;) {
    int To = From;
    while (To + 1 < KeyCount && this->States[To + 1] == this->States[From] &&
           this->Fences[To + 1] == this->Fences[From])
      ++To;
    if (this->States[From] != KeyState::None)
      Holds.push_back({From, To, this->Fences[From]});
    From = To + 1;
  }
  Json FreedList = Json::array();
  for (const Freed &Each : this->FreedRows)
    FreedList.push_back({Each.From, Each.To, Each.Handover});
  return {{"address", "127.0.0.1:" + std::to_string(this->port())},
          {"born", this->Born},
          {"information",
           {{"service", this->Service},
            {"version", "v1"},
            {"zone", this->Zone},
            {"slots", 18}}},
          {"status",
           {{"state", this->Draining ? "draining" : "ready"},
            {"sequence", ++this->Sequence},
            {"coldRemainingMs", 0}}},
          {"holds", Holds},
          {"freedCount", FreedList}};
}

void KeyedTarget::giveUp(int From, int To) {
  std::string Handover =
      this->Instance + "-" + std::to_string(++this->NextHandover);
  this->FreedRows.push_back({From, To, Handover});
  for (int Key = From; Key <= To; ++Key)
    this->States[Key] = KeyState::None;
  record("target " + this->Instance + " gives up " + range(From, To));
}

void KeyedTarget::take(const Json &Answer, std::int64_t SentAt) {
  {
    std::lock_guard Lock(this->Mutex);
    this->expire();
    std::vector<bool> Listed(KeyCount, false);
    std::int64_t Until = SentAt + Answer.at("holdMs").get<std::int64_t>();
    for (const Json &Row : Answer.at("holds")) {
      int From = Row.at(0);
      int To = Row.at(1);
      std::int64_t Fence = Row.at(2);
      if (std::any_of(this->HighestFences.begin() + From,
                      this->HighestFences.begin() + To + 1,
                      [Fence](std::int64_t Seen) { return Seen > Fence; })) {
        record("target " + this->Instance + " refuses " + range(From, To));
        continue;
      }
      int NewFrom = -1;
      for (int Key = From; Key <= To; ++Key) {
        Listed[Key] = true;
        if (this->States[Key] != KeyState::Held && NewFrom < 0)
          NewFrom = Key;
        bool IsLastNew = NewFrom >= 0 &&
                         (Key == To || this->States[Key + 1] == KeyState::Held);
        this->States[Key] = KeyState::Held;
        this->Fences[Key] = this->HighestFences[Key] = Fence;
        if (!IsLastNew)
          continue;
        record("target " + this->Instance + " takes " + range(NewFrom, Key) +
               " with fence " + std::to_string(Fence));
        NewFrom = -1;
      }
    }
    this->HoldsUntil = Until;
    // Gives up what is left out, except for keys with running requests.
    int From = -1;
    for (int Key = 0; Key <= KeyCount; ++Key) {
      bool Frees =
          Key < KeyCount && !Listed[Key] && this->States[Key] == KeyState::Held;
      if (Frees && this->Running[Key] > 0) {
        this->States[Key] = KeyState::WorkingOff;
        record("target " + this->Instance + " is still at work on key " +
               std::to_string(Key) + ", which was left out");
        Frees = false;
      }
      if (Frees && From < 0)
        From = Key;
      if (!Frees && From >= 0) {
        this->giveUp(From, Key - 1);
        From = -1;
      }
    }
  }
}

void KeyedTarget::beatLoop() {
  std::int64_t Next = 0;
  while (true) {
    sleepMs(10);
    if (nowMs() < Next)
      continue;
    std::int64_t SentAt = nowMs();
    Json Beat = this->makeBeat();
    if (this->HoldBackNext.exchange(false)) {
      std::lock_guard Lock(this->Mutex);
      this->Straggler = Beat;
      record("target " + this->Instance + " sends heartbeat " +
             Beat.at("status").at("sequence").dump() +
             ", which is held up; holds " + Beat.at("holds").dump());
      // No acknowledgement within a second.
      Next = SentAt + 1000;
      continue;
    }
    if (std::int64_t Delay = this->DelayMs; Delay > 0) {
      record("target " + this->Instance + " sends heartbeat " +
             Beat.at("status").at("sequence").dump() + ", which arrives " +
             std::to_string(Delay) + " ms late");
      std::thread([this, Beat, At = SentAt + Delay] {
        sleepUntil(At);
        this->deliverLate(Beat);
      }).detach();
      Next = SentAt + 1000;
      continue;
    }
    auto Answer = call(
        this->ControlPort, "POST", "/Instances.Heartbeat/" + this->Instance,
        {{"Content-Type", "application/json"}}, Beat.dump(), 1000);
    if (Answer && Answer->Status == 200) {
      this->AckedAt = nowMs();
      {
        std::lock_guard Lock(this->Mutex);
        this->FreedRows.erase(
            this->FreedRows.begin(),
            this->FreedRows.begin() +
                static_cast<std::ptrdiff_t>(Beat.at("freedCount").size()));
      }
      Json Body = Json::parse(Answer->Body, nullptr, false);
      if (Body.is_object() && Body.contains("holds"))
        this->take(Body, SentAt);
    }
    std::lock_guard Lock(this->Mutex);
    bool Releasing = !this->FreedRows.empty() ||
                     std::find(this->States.begin(), this->States.end(),
                               KeyState::WorkingOff) != this->States.end();
    Next = SentAt + (Releasing ? ReleaseMs : HeartbeatMs);
  }
}

Response KeyedTarget::serve(const Message &Request) {
  std::string AttemptId = Request.field("Attempt-Id");
  Response Answer;
  Answer.Fields = {{"Attempt-Id", AttemptId}, {"Instance-Id", this->Instance}};
  if (Request.Path == "/health")
    return Answer;
  std::string KeyText = Request.field("Shard-Key");
  int Key = KeyText.empty() ? 0 : std::stoi(KeyText);
  std::string WorkText =
      Request.Query.starts_with("work=") ? Request.Query.substr(5) : "100";
  {
    std::lock_guard Lock(this->Mutex);
    this->expire();
    std::string Expected = Request.field("Expected-Instance");
    if ((!Expected.empty() && Expected != this->Instance) ||
        this->States[Key] != KeyState::Held) {
      Answer.Status = 421;
      Answer.Fields.emplace_back("Not-Executed", "1");
      return Answer;
    }
    ++this->Running[Key];
    record("target " + this->Instance + " begins " + AttemptId + " on key " +
           std::to_string(Key));
  }
  sleepMs(std::stoll(WorkText));
  {
    std::lock_guard Lock(this->Mutex);
    record("target " + this->Instance + " ends " + AttemptId);
    if (--this->Running[Key] == 0 && this->States[Key] == KeyState::WorkingOff)
      this->giveUp(Key, Key);
  }
  Answer.Fields.emplace_back("Server-Signature", "3e1b.07." + AttemptId);
  Answer.Body = "done";
  return Answer;
}

} // namespace lab
