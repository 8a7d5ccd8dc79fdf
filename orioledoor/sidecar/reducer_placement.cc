// Handling of placement limits: evacuated failure domains and allowed regions.
#include <algorithm>

#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/reducer.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;

// A watch may deliver an old change first when the store answers again. The
// renewals of the lease show a loss of the store within 1.9 s (every 0.9 s,
// with a limit of 1 s), so a change that comes later after it is new.
constexpr Duration MinAnsweredTime = milliseconds(2000);
// A process that stood still reads the watch's answer within this time.
constexpr Duration MaxReadTime = milliseconds(1000);
// Nodes that start together know each other after this time.
constexpr Duration JoinTime = milliseconds(5000);
constexpr Duration PlaceCheckInterval = milliseconds(1000);

std::string join(const DomainNames &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ",") + Name;
  return Text;
}

} // namespace

void SidecarReducer::on(const EvacuationsChanged &Changed, Instant Now) {
  bool Configured = this->Options.EvacuationTime > Duration(0);
  if (!Configured) {
    for (const std::string &Domain : Changed.Domains)
      if (!this->UnknownDomains.contains(Domain))
        this->Out.push_back(
            LogRecord{&events::OperatorKeyIgnored,
                      {{"failure_domain", Domain},
                       {"why", "the settings state no time for evacuations"},
                       {"peer", "store"}}});
    this->UnknownDomains = Changed.Domains;
    return;
  }
  bool MayBeOld = Changed.MayBeOld ||
                  this->Members.answeredFor(Now) < MinAnsweredTime ||
                  (this->StandstillEndedAt != Instant() &&
                   Now - this->StandstillEndedAt < MaxReadTime);
  if (!Changed.Domains.empty() || !Changed.Ended.empty())
    this->Out.push_back(LogRecord{&events::EvacuationsRead,
                                  {{"failure_domains", join(Changed.Domains)},
                                   {"ended", join(Changed.Ended)},
                                   {"may_be_old", MayBeOld ? "yes" : "no"}}});
  this->Directory.setEvacuations(
      Changed.Domains, MayBeOld ? Now : Now + this->Options.EvacuationTime / 2);
  this->Keys.setEvacuations(Changed.Domains);
  const std::string &Own = this->Options.Place.FailureDomain;
  this->Gate.handleEvacuation({.Evacuated = Changed.Domains.contains(Own),
                               .Ended = Changed.Ended.contains(Own),
                               .MayBeOld = MayBeOld},
                              Now, this->RoutingEffects);
  this->publishStatus(Now);
}

void SidecarReducer::noteEvacuatedTarget(const routing::TargetStatus &Status,
                                         Instant Now) {
  if (this->Options.EvacuationTime <= Duration(0) ||
      Status.State != routing::TargetState::Evacuated ||
      Status.Target.Node == this->Options.Node)
    return;
  const routing::TargetView *View = this->Directory.find(Status.Target.Node);
  if (View && View->Place == this->Options.Place)
    this->Config.onEvacuationSeen(View->Place.FailureDomain, Now);
}

bool SidecarReducer::mayHoldKeys(std::string_view Service) const {
  if (!this->isPartitioned(Service))
    return false;
  auto Regions = routing::commonAllowedRegions(*this->Entry.table(), Service);
  return !Regions || routing::PlacementPolicy(*Regions).allowsRegion(
                         this->Options.Place.Region);
}

void SidecarReducer::reportUnknownPlaces(Instant Now) {
  if (!this->Members.isLoaded() || Now - this->StartedAt < JoinTime ||
      Now < this->NextPlaceCheckAt)
    return;
  this->NextPlaceCheckAt = Now + PlaceCheckInterval;
  const auto &Nodes = this->Members.nodes();
  auto IsKnown = [&Nodes](auto Field, const std::string &Name) {
    return std::ranges::any_of(Nodes, [&](const auto &Known) {
      return Known.second.Entry.Place.*Field == Name;
    });
  };
  if (this->Options.EvacuationTime > Duration(0)) {
    std::erase_if(this->UnknownDomains, [this](const std::string &Domain) {
      return !this->evacuatedDomains().contains(Domain);
    });
    for (const std::string &Domain : this->evacuatedDomains())
      if (!IsKnown(&routing::Location::FailureDomain, Domain) &&
          this->UnknownDomains.insert(Domain).second)
        this->Out.push_back(
            LogRecord{&events::EvacuationOfUnknownDomain,
                      {{"failure_domain", Domain}, {"peer", "store"}}});
  }
  const routing::SharedRouteTable &Table = this->Entry.table();
  // The regions of each version are compared once: the fleet is known by then.
  if (!Table || Table->Version == this->UnknownRegionsVersion)
    return;
  this->UnknownRegionsVersion = Table->Version;
  this->UnknownRegions.clear();
  std::string Version = std::to_string(Table->Version);
  for (const routing::Route &Route : Table->routes())
    for (const std::string &Region : Route.AllowedRegions)
      if (!IsKnown(&routing::Location::Region, Region) &&
          this->UnknownRegions.insert(Region).second)
        this->Out.push_back(LogRecord{&events::RegionUnknown,
                                      {{"region", Region},
                                       {"route", Route.Host + Route.Prefix},
                                       {"config", Version},
                                       {"peer", "store"}}});
  for (const auto &[Name, Policy] : Table->Services)
    if (auto Common = routing::commonAllowedRegions(*Table, Name);
        Policy.Partitioned && Common && Common->empty())
      this->Out.push_back(LogRecord{
          &events::RegionsDisjoint,
          {{"service", Name}, {"config", Version}, {"peer", "store"}}});
}

} // namespace orioledoor::sidecar
