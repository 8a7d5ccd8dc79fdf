// Handling of what the target says of itself: which reports count, when they
// are answered, and when a silent target has ended.
#include <utility>

#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/reducer.h"

namespace orioledoor::sidecar {
namespace {

using routing::TargetRef;
using routing::TargetState;
using std::chrono::milliseconds;

// A target that stays silent after its last hold has ended holds no keys. The
// margin covers a report in transit.
constexpr Duration EndedMargin = milliseconds(300);
// A target accepts keys only in the answer to its report and discards answers
// that take longer than a second. The answer to a target that is about to
// receive keys is deferred until the keys are available, at most for this time;
// otherwise they would wait for the next report.
constexpr Duration MaxReportDeferral = milliseconds(600);

} // namespace

std::string_view
SidecarReducer::mismatchOf(const routing::TargetReport &Report) const {
  if (Report.Address != this->Options.TargetAddress)
    return "the address is not that of the target in the settings";
  // The settings may already name the successor of a target that still works.
  const TargetRef &Known = this->Gate.target();
  bool IsKnown = Known && Report.Instance == Known.Instance &&
                 Report.StartTimeMs == Known.StartTimeMs &&
                 Report.Service == this->Gate.service();
  if (!IsKnown && Report.Service != this->Options.Service)
    return "the service is not that of the settings";
  return {};
}

void SidecarReducer::on(TargetReportReceived Received, Instant Now) {
  const routing::TargetReport &Report = Received.Report;
  if (std::string_view Mismatch = this->mismatchOf(Report); !Mismatch.empty()) {
    ++this->RefusedReports;
    this->Out.push_back(
        LogRecord{&events::ReportRefused,
                  {{"instance", Report.Instance},
                   {"why", std::string(Mismatch)},
                   {"service", Report.Service},
                   {"address", Report.Address},
                   {"expected_service", this->Options.Service},
                   {"expected_address", this->Options.TargetAddress}}});
    this->Out.push_back(RefuseReport{Received.Id, std::string(Mismatch)});
    return;
  }
  routing::ReportVerdict Verdict =
      this->Gate.handleReport(Report, Now, this->RoutingEffects);
  if (Verdict == routing::ReportVerdict::Stale) {
    this->Out.push_back(ReplyToReport{Received.Id, {}});
    return;
  }
  this->ReportedAt = Now;
  if (Verdict == routing::ReportVerdict::NewIncarnation)
    this->Keys.resetGrants();
  this->EndedTarget = {};
  this->publishStatus(Now);
  if (this->Deferred)
    this->Out.push_back(ReplyToReport{this->Deferred->Report.Id, {}});
  bool ExpectsKeys =
      this->mayHoldKeys(Report.Service) &&
      this->Gate.state() == TargetState::Ready &&
      this->Keys.expectsKeys(Report.Service, this->Gate.target());
  this->Deferred = {std::move(Received),
                    ExpectsKeys ? Now + MaxReportDeferral : Now};
  this->answerDeferredReport(Now);
}

void SidecarReducer::answerDeferredReport(Instant Now) {
  if (!this->Deferred)
    return;
  const routing::TargetReport &Report = this->Deferred->Report.Report;
  if (Now < this->Deferred->Until && this->Gate.state() == TargetState::Ready &&
      this->Keys.expectsKeys(Report.Service, this->Gate.target()))
    return;
  routing::ReportAnswer Answer;
  if (this->isPartitioned(Report.Service))
    Answer =
        this->Keys.answerReport(Report, this->Gate.target(), Now, this->Out);
  this->Out.push_back(
      ReplyToReport{this->Deferred->Report.Id, std::move(Answer)});
  this->Deferred.reset();
}

void SidecarReducer::on(const TargetDeregistered &Deregistered, Instant Now) {
  this->Gate.handleShutdown(Deregistered.Instance, Deregistered.WallTimeMs, Now,
                            this->RoutingEffects);
  this->publishStatus(Now);
}

void SidecarReducer::updateEndedTarget(Instant Now) {
  if (Now <= this->Keys.holdsEnd() + EndedMargin)
    return;
  const TargetRef &Target = this->Gate.target();
  if (!Target) {
    if (std::exchange(this->OwnersChanged, false))
      this->EndedTarget = this->Keys.ownerBeside(this->Options.Node);
    return;
  }
  if (this->isPartitioned(this->Gate.service()) &&
      Now - this->ReportedAt > this->Options.Keys.Grants.HoldTime)
    this->EndedTarget = Target;
}

} // namespace orioledoor::sidecar
