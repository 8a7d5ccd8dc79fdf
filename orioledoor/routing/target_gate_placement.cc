// The gate's check of placement limits: regions that routes do not allow, and
// the evacuation of its failure domain.
#include <string>
#include <utility>
#include <vector>

#include "orioledoor/routing/events.h"
#include "orioledoor/routing/internal/log_text.h"
#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing {
namespace {

using internal::field;
using internal::millis;

} // namespace

void TargetGate::setRoutes(const RouteTable &Table, Instant Now, Effects &Out) {
  this->ForbiddenClasses.clear();
  for (const Route &Candidate : Table.routes())
    if (!PlacementPolicy(Candidate.AllowedRegions)
             .allowsRegion(this->Options.Place.Region))
      for (const WeightedService &Part : Candidate.Services)
        this->ForbiddenClasses.insert(requestClassOf(Part.Service, Candidate));
  this->refuseMisplacedCalls(Now, Out);
}

PlacementVerdict TargetGate::checkPlacement(const Forward &Request,
                                            Instant Now) const {
  if (this->ForbiddenClasses.contains(Request.RequestClass))
    return PlacementVerdict::RegionNotAllowed;
  return this->Evacuation.mayStart(Request.Key != NoKey, Now)
             ? PlacementVerdict::Allowed
             : PlacementVerdict::Evacuated;
}

void TargetGate::notePlacementRefusal(const std::string &From,
                                      const Forward &Request, Instant Now,
                                      Effects &Out) {
  PlacementVerdict Verdict = this->checkPlacement(Request, Now);
  if (Verdict == PlacementVerdict::Evacuated)
    ++this->EvacuationRefusals;
  if (Verdict != PlacementVerdict::RegionNotAllowed)
    return;
  ++this->RegionRefusals;
  Out.push_back(LogRecord{
      &events::CallMisplaced,
      {field("request", Request.AttemptId), field("from", From),
       field("service", Request.Service),
       field("region", this->Options.Place.Region),
       field("config_there", std::to_string(Request.ConfigVersion))}});
}

void TargetGate::refuseMisplacedCalls(Instant Now, Effects &Out) {
  std::vector<std::uint64_t> Misplaced;
  for (const auto &[Id, Call] : this->Calls)
    if (!Call.Started &&
        this->checkPlacement(Call.Request, Now) != PlacementVerdict::Allowed)
      Misplaced.push_back(Id);
  for (std::uint64_t Id : Misplaced) {
    const ForwardedCall &Call = this->Calls.at(Id);
    this->notePlacementRefusal(Call.From, Call.Request, Now, Out);
    this->Queue.remove(Id);
    this->finishCall(Id, {.Code = Outcome::NoTarget}, Now, Out);
  }
  if (!Misplaced.empty())
    this->fetchBodies(Now, Out);
}

void TargetGate::handleEvacuation(const EvacuationNews &News, Instant Now,
                                  Effects &Out) {
  if (this->Options.EvacuationTime <= Duration(0))
    return;
  // The other half is for the news to arrive here, and for the keys' moves.
  Duration Grace = this->Options.EvacuationTime / 2;
  switch (this->Evacuation.update(News, Grace, Now)) {
  case TargetEvacuation::Change::None:
    return;
  case TargetEvacuation::Change::Began:
    this->GraceEndHandled = false;
    Out.push_back(LogRecord{
        &events::TargetEvacuated,
        {field("instance", this->Target.Instance),
         field("failure_domain", this->Options.Place.FailureDomain),
         field("grace_ms", millis(News.MayBeOld ? Duration(0) : Grace)),
         field("waiting", std::to_string(this->Queue.waiting())),
         field("running", std::to_string(this->Queue.running()))}});
    this->refuseMisplacedCalls(Now, Out);
    return;
  case TargetEvacuation::Change::Ended:
    Out.push_back(
        LogRecord{&events::EvacuationEnded,
                  {field("instance", this->Target.Instance),
                   field("failure_domain", this->Options.Place.FailureDomain),
                   field("running", std::to_string(this->Queue.running()))}});
    return;
  }
}

void TargetGate::endEvacuationGrace(Instant Now, Effects &Out) {
  if (this->GraceEndHandled || this->Evacuation.mayStart(true, Now))
    return;
  this->GraceEndHandled = true;
  Out.push_back(
      LogRecord{&events::EvacuationGraceEnded,
                {field("instance", this->Target.Instance),
                 field("waiting", std::to_string(this->Queue.waiting())),
                 field("running", std::to_string(this->Queue.running()))}});
  this->refuseMisplacedCalls(Now, Out);
}

} // namespace orioledoor::routing
