// Implements the life cycle, reports and requests of the stand-in target.
#include "orioledoor/soak/soak_target.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "orioledoor/platform/names.h"
#include "orioledoor/platform/testing/target_codec.h"
#include "orioledoor/soak/soak_checker.h"
#include "orioledoor/standins/loop.h"

namespace orioledoor::soak {
namespace {

using sidecar::testing::ModelTarget;
using std::chrono::milliseconds;

constexpr Duration ReportInterval = milliseconds(870);
// Report interval while released keys are still in use.
constexpr Duration ReleaseInterval = milliseconds(100);
constexpr Duration ReportTimeout = milliseconds(1000);
constexpr Duration ForeignReportInterval = milliseconds(1500);
constexpr Duration StepInterval = milliseconds(20);
// Time for which a leaving target continues to serve.
constexpr Duration LeaveDelay = milliseconds(2600);
// Additional serving time of a leaving target whose node may restart meanwhile.
constexpr int MaxExtraLeaveMillis = 3000;
// Serving time of a target that deregisters first, and the lateness of reports.
constexpr Duration DeregisteredServingTime = milliseconds(7000);
constexpr int MinLatenessMillis = 1000;
constexpr int MaxLatenessMillis = 6000;
// Duration of a limit and of the time between two, and the limit itself, in
// requests per second. A target gets some 25 requests/s without a limit.
constexpr int MinLimitMillis = 6000;
constexpr int MaxLimitMillis = 12000;
constexpr double MinLimit = 0.5;
constexpr double MaxLimit = 12;
// Maximum time for which requests on released keys continue.
constexpr Duration MaxReleasedWorkTime = milliseconds(100);
// The platform's limit in bytes on the answer to a report.
constexpr std::size_t MaxReportAnswerBytes = 4096;

std::uint32_t readKey(const standins::Exchange &Request) {
  std::string Text = Request.header(platform::names::ShardKey);
  std::uint32_t Key = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Key);
  return Key;
}

} // namespace

SoakTarget::SoakTarget(standins::Loop &Events, wire::HttpClient &Client,
                       SoakChecker &Checker, SoakTargetOptions Options)
    : Events(Events), Client(Client), Checker(Checker),
      Options(std::move(Options)), Random(this->Options.Seed),
      LimitRandom(this->Options.Seed + 1),
      Http(Events, 0, [this](const ExchangePtr &Request) {
        this->handleRequest(Request);
      }) {
  Events.every(StepInterval, [this] {
    this->changeLimit(readClock());
    if (readClock() >= this->NextForeignReportAt)
      this->sendForeignReport();
    if (this->isUp() && !this->ReportPending && !this->Deregistered &&
        readClock() >= this->NextReportAt)
      this->sendReport();
  });
}

void SoakTarget::start(bool SameInstance) {
  if (!SameInstance)
    ++this->InstanceNumber;
  ++this->IncarnationNumber;
  auto Wall = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  this->LastStartMillis = std::max(Wall.count(), this->LastStartMillis + 1);
  this->Model = std::make_unique<ModelTarget>(
      this->Options.Service,
      this->Options.Name + "-" + std::to_string(this->InstanceNumber),
      this->LastStartMillis, 1.0);
  this->RunningRequests = 0;
  this->ReportPending = this->Deregistered = this->ReportedLeaving = false;
  this->NextReportAt = readClock();
  this->Limit.reset();
}

std::string SoakTarget::identity() const {
  return this->Model->instance() + "/" +
         std::to_string(this->IncarnationNumber);
}

void SoakTarget::setLimitsEnabled(bool Enabled) {
  this->LimitsEnabled = Enabled;
  this->NextLimitChangeAt = readClock();
}

void SoakTarget::excuseArrivalsUntil(Instant Until) {
  this->ArrivalsExcusedUntil = std::max(this->ArrivalsExcusedUntil, Until);
}

void SoakTarget::changeLimit(Instant Now) {
  if (!this->isUp() || Now < this->NextLimitChangeAt)
    return;
  std::uniform_int_distribution Millis(MinLimitMillis, MaxLimitMillis);
  this->NextLimitChangeAt = Now + milliseconds(Millis(this->LimitRandom));
  bool Limited = this->LimitsEnabled && this->LimitRandom() % 2 == 0;
  this->Limit.reset();
  if (Limited)
    this->Limit =
        std::uniform_real_distribution(MinLimit, MaxLimit)(this->LimitRandom);
  this->Checker.recordLimit(this->identity(), this->Limit, Now);
}

standins::HeaderList SoakTarget::answerHeaders() const {
  standins::HeaderList Headers;
  if (this->Limit)
    Headers.push_back(
        {platform::names::ServerLimit, std::to_string(*this->Limit)});
  if (this->isLeaving())
    Headers.push_back({platform::names::ServerLeaving, "1"});
  return Headers;
}

void SoakTarget::crash() {
  this->Model.reset();
  ++this->IncarnationNumber;
}

void SoakTarget::leave() {
  this->Model->Draining = true;
  this->NextReportAt = readClock();
  Duration Extra = milliseconds(
      std::uniform_int_distribution(0, MaxExtraLeaveMillis)(this->LimitRandom));
  this->Events.after(LeaveDelay + Extra,
                     [this, Incarnation = this->IncarnationNumber] {
                       if (Incarnation != this->IncarnationNumber)
                         return;
                       this->deregister([](bool) {});
                       this->crash();
                     });
}

void SoakTarget::leaveByDeregistration() {
  this->Model->Draining = this->Deregistered = true;
  this->deregister(
      [this, Incarnation = this->IncarnationNumber](bool Acknowledged) {
        if (Acknowledged && Incarnation == this->IncarnationNumber)
          this->recordLeavingAcknowledged();
      });
  this->Events.after(DeregisteredServingTime,
                     [this, Incarnation = this->IncarnationNumber] {
                       if (Incarnation == this->IncarnationNumber)
                         this->crash();
                     });
}

void SoakTarget::deregister(std::function<void(bool)> OnDone) {
  this->Client.call(
      {.Server = this->Options.Node,
       .Method = "POST",
       .Target = platform::testing::deregisterPath(this->Model->instance()),
       .Timeout = ReportTimeout},
      [OnDone = std::move(OnDone)](const wire::HttpResult &Result) {
        OnDone(!Result.Failure && Result.Answer.Status == 200);
      });
}

void SoakTarget::recordLeavingAcknowledged() {
  if (!this->NodeName.empty())
    this->Checker.recordLeavingAcknowledged(this->NodeName, this->identity(),
                                            readClock());
}

void SoakTarget::sendLate(const routing::TargetReport &Report) {
  std::uniform_int_distribution Millis(MinLatenessMillis, MaxLatenessMillis);
  this->Events.after(milliseconds(Millis(this->LimitRandom)), [this, Report] {
    this->send(Report, [](const wire::HttpResult &) {});
  });
}

void SoakTarget::sendReport() {
  this->ReportPending = true;
  routing::TargetReport Report = this->Model->report(readClock());
  Report.SoftwareVersion = "v1";
  Report.FailureDomain = "north-a";
  Report.Slots = this->Options.Slots;
  Report.Address = this->ReportedAddress;
  if (this->Options.ReportsPerLateReport != 0 &&
      this->LimitRandom() % this->Options.ReportsPerLateReport == 0) {
    this->ReportPending = false;
    this->NextReportAt = readClock() + ReportTimeout;
    return this->sendLate(Report);
  }
  this->ReportedLeaving = Report.Draining;
  this->send(Report, [this, Incarnation = this->IncarnationNumber](
                         const wire::HttpResult &Result) {
    if (Incarnation == this->IncarnationNumber)
      this->onReportAnswer(Result);
  });
}

void SoakTarget::sendForeignReport() {
  this->NextForeignReportAt = readClock() + ForeignReportInterval;
  bool NamesOtherAddress = ++this->ForeignReports % 3 == 0;
  routing::TargetReport Report;
  Report.Instance = "foreign-" + std::to_string(this->ForeignReports);
  Report.Service = NamesOtherAddress ? this->Options.Service : "unknown";
  Report.SoftwareVersion = "v1";
  Report.FailureDomain = "north-a";
  Report.Address = NamesOtherAddress ? "127.0.0.9:1" : this->ReportedAddress;
  Report.StartTimeMs = this->LastStartMillis + 1;
  Report.Sequence = 1;
  this->send(Report, [](const wire::HttpResult &) {});
}

void SoakTarget::send(const routing::TargetReport &Report,
                      wire::HttpClient::Callback OnDone) {
  this->Client.call({.Server = this->Options.Node,
                     .Method = "POST",
                     .Target = platform::testing::reportPath(Report.Instance),
                     .Headers = {{"Content-Type", "application/json"}},
                     .Body = platform::testing::encodeReport(Report),
                     .Timeout = ReportTimeout},
                    std::move(OnDone));
}

void SoakTarget::onReportAnswer(const wire::HttpResult &Result) {
  Instant Now = readClock();
  this->ReportPending = false;
  this->NextReportAt = Now + ReportInterval;
  if (Result.Failure || Result.Answer.Status != 200 ||
      Result.Answer.Body.size() > MaxReportAnswerBytes)
    return;
  if (this->ReportedLeaving)
    this->recordLeavingAcknowledged();
  absl::StatusOr<routing::ReportAnswer> Answer =
      platform::testing::decodeReportAnswer(Result.Answer.Body);
  if (!Answer.ok()) {
    this->Checker.addViolation("REPORT", std::string(Answer.status().message()),
                               Now);
    return;
  }
  for (const auto &[Key, Fence] :
       this->Model->applyAnswer(*Answer, Now, MaxReleasedWorkTime))
    this->Checker.recordAcquisition(this->Options.Name, Key, Fence, Now);
  if (this->Model->isReleasing(Now))
    this->NextReportAt = Now + ReleaseInterval;
}

void SoakTarget::reject(const ExchangePtr &Request, int Status) {
  standins::HeaderList Headers = this->answerHeaders();
  Headers.push_back({platform::names::AttemptId,
                     Request->header(platform::names::AttemptId)});
  Headers.push_back({platform::names::NotExecuted, "1"});
  Request->reply(Status, "", Headers);
}

void SoakTarget::handleRequest(const ExchangePtr &Request) {
  Instant Now = readClock();
  if (!this->isUp())
    return Request->drop();
  std::string Expected = Request->header(platform::names::ExpectedInstance);
  std::uint32_t Key = readKey(*Request);
  if ((!Expected.empty() && Expected != this->Model->instance()) ||
      (this->Options.Partitioned && !this->Model->holds(Key, Now)))
    return this->reject(Request, 421);
  std::string Attempt = Request->header(platform::names::AttemptId);
  std::string Target(Request->path());
  if (!Request->query().empty())
    Target.append("?").append(Request->query());
  this->Checker.checkParts(
      this->identity(), Attempt,
      {.Method = std::string(Request->method()),
       .Target = std::move(Target),
       .Body = std::string(Request->body()),
       .CallerService = Request->header(platform::names::CallerService)},
      Now);
  if (Now >= this->ArrivalsExcusedUntil)
    this->Checker.recordArrival(this->identity(), Attempt, Now);
  else
    this->Checker.recordLimit(this->identity(), this->Limit, Now);
  if (this->RunningRequests >= this->Options.Slots)
    return this->reject(Request, 503);
  ++this->RunningRequests;
  this->Checker.recordStart(this->Options.Name, Attempt,
                            Request->method() == "GET", Now);
  // Most requests are short; some run longer than a handover takes.
  Duration RunTime = milliseconds(10 + this->Random() % 30);
  if (this->Random() % this->Options.RequestsPerLongRequest == 0)
    RunTime = this->Options.LongRunTime;
  this->Events.after(
      RunTime, [this, Request, Attempt, Incarnation = this->IncarnationNumber] {
        if (Incarnation != this->IncarnationNumber)
          return Request->drop();
        --this->RunningRequests;
        standins::HeaderList Headers = this->answerHeaders();
        Headers.push_back({platform::names::AttemptId, Attempt});
        Headers.push_back({platform::names::ServerSignature, this->identity()});
        this->Checker.recordEnd(Attempt, readClock());
        Request->reply(200, Attempt, Headers);
      });
}

} // namespace orioledoor::soak
