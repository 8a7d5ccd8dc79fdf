// Lives, reports and requests of a stand-in target.
#include "orioledoor/soak/soak_target.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "orioledoor/platform/names.h"
#include "orioledoor/platform/testing/target_codec.h"
#include "orioledoor/soak/soak_judge.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::soak {
namespace {

using sidecar::testing::ModelTarget;
using std::chrono::milliseconds;

constexpr Duration ReportInterval = milliseconds(870);
// While released keys are still in use.
constexpr Duration ReleaseInterval = milliseconds(100);
constexpr Duration ReportTimeout = milliseconds(1000);
constexpr Duration StepInterval = milliseconds(20);
// A leaving target serves on for this long.
constexpr Duration LeaveTime = milliseconds(2600);
// Work on released keys ends at the latest then.
constexpr Duration WorkTime = milliseconds(100);
// The platform bounds what it reads of an answer.
constexpr std::size_t MaxReportAnswer = 4096;
constexpr std::size_t TailOfWork = 50;

std::uint32_t keyOf(const standins::Exchange &Request) {
  std::string Text = Request.header(platform::names::ShardKey);
  std::uint32_t Key = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Key);
  return Key;
}

} // namespace

SoakTarget::SoakTarget(standins::Loop &Events, wire::HttpClient &Client,
                       SoakJudge &Judge, SoakTargetOptions Options)
    : Events(Events), Client(Client), Judge(Judge), Options(std::move(Options)),
      Random(this->Options.Seed),
      Http(Events, 0, [this](const Call &Request) { this->serve(Request); }) {
  Events.every(StepInterval, [this] {
    if (this->up() && !this->Reporting && readClock() >= this->ReportAt)
      this->report();
  });
}

void SoakTarget::start(bool SameInstance) {
  if (!SameInstance)
    ++this->InstanceNumber;
  ++this->LifeNumber;
  auto Wall = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  this->LastBorn = std::max(Wall.count(), this->LastBorn + 1);
  this->Life = std::make_unique<ModelTarget>(
      this->Options.Name + "-" + std::to_string(this->InstanceNumber),
      this->LastBorn, 1.0);
  this->Running = 0;
  this->Reporting = false;
  this->ReportAt = readClock();
}

void SoakTarget::crash() {
  this->Life.reset();
  ++this->LifeNumber;
}

void SoakTarget::leave() {
  this->Life->Draining = true;
  this->ReportAt = readClock();
  this->Events.after(LeaveTime, [this, Number = this->LifeNumber] {
    if (Number != this->LifeNumber)
      return;
    std::string Path =
        platform::testing::deregisterPath(this->Life->instance());
    this->Client.call({.Server = this->Options.Node,
                       .Method = "POST",
                       .Target = Path,
                       .Timeout = ReportTimeout},
                      [](const wire::HttpResult &) {});
    this->crash();
  });
}

void SoakTarget::report() {
  this->Reporting = true;
  routing::TargetReport Report = this->Life->report(readClock());
  Report.Service = this->Options.Service;
  Report.SoftwareVersion = "v1";
  Report.FailureDomain = "north-a";
  Report.Slots = this->Options.Slots;
  Report.Address = "127.0.0.1:" + std::to_string(this->port());
  std::string Body = platform::testing::encodeReport(Report);
  this->Client.call(
      {.Server = this->Options.Node,
       .Method = "POST",
       .Target = platform::testing::reportPath(this->Life->instance()),
       .Headers = {{"Content-Type", "application/json"}},
       .Body = Body,
       .Timeout = ReportTimeout},
      [this, Number = this->LifeNumber](const wire::HttpResult &Result) {
        if (Number == this->LifeNumber)
          this->answered(Result);
      });
}

void SoakTarget::answered(const wire::HttpResult &Result) {
  Instant Now = readClock();
  this->Reporting = false;
  this->ReportAt = Now + ReportInterval;
  if (Result.Failure || Result.Answer.Status != 200 ||
      Result.Answer.Body.size() > MaxReportAnswer)
    return;
  absl::StatusOr<routing::ReportAnswer> Answer =
      platform::testing::decodeReportAnswer(Result.Answer.Body);
  if (!Answer.ok()) {
    this->Judge.note("REPORT", std::string(Answer.status().message()), Now);
    return;
  }
  for (const auto &[Key, Fence] :
       this->Life->applyAnswer(*Answer, Now, WorkTime))
    this->Judge.took(this->Options.Name, Key, Fence, Now);
  if (this->Life->isReleasing(Now))
    this->ReportAt = Now + ReleaseInterval;
}

void SoakTarget::refuse(const Call &Request, int Status) {
  Request->reply(Status, "",
                 {{platform::names::AttemptId,
                   Request->header(platform::names::AttemptId)},
                  {platform::names::NotExecuted, "1"}});
}

void SoakTarget::serve(const Call &Request) {
  Instant Now = readClock();
  if (!this->up())
    return Request->drop();
  std::string Expected = Request->header(platform::names::ExpectedInstance);
  std::uint32_t Key = keyOf(*Request);
  if ((!Expected.empty() && Expected != this->Life->instance()) ||
      (this->Options.Partitioned && !this->Life->holds(Key, Now)))
    return this->refuse(Request, 421);
  if (this->Running >= this->Options.Slots)
    return this->refuse(Request, 503);
  ++this->Running;
  std::string Attempt = Request->header(platform::names::AttemptId);
  this->Judge.began(this->Options.Name, Attempt, Request->method() == "GET",
                    Now);
  // Most work is short; some of it outlasts a handover.
  Duration Work = milliseconds(10 + this->Random() % 30);
  if (this->Random() % TailOfWork == 0)
    Work = milliseconds(300);
  this->Events.after(Work, [this, Request, Attempt, Number = this->LifeNumber] {
    if (Number != this->LifeNumber)
      return Request->drop();
    --this->Running;
    Request->reply(200, Attempt,
                   {{platform::names::AttemptId, Attempt},
                    {platform::names::ServerSignature, this->Options.Name}});
  });
}

} // namespace orioledoor::soak
