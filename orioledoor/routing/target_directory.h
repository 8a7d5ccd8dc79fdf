// An entry node's view of all targets: their locations and load, and whether
// their nodes can be reached. Chooses the target of a request.
//
//   Directory.setNode("tcp://10.1.0.8:7620", {"bilbao", "cantabrico"});
//   Directory.update(Status, Now);
//   TargetChoice Choice = Directory.choose(Request, Now);
#ifndef ORIOLEDOOR_ROUTING_TARGET_DIRECTORY_H
#define ORIOLEDOOR_ROUTING_TARGET_DIRECTORY_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/evacuated_domains.h"
#include "orioledoor/routing/location.h"
#include "orioledoor/routing/placement_policy.h"
#include "orioledoor/routing/target_status.h"

namespace orioledoor::routing {

// How far two VMs are apart.
enum class Distance : std::uint8_t { SameDomain, SameRegion, OtherRegion };
inline constexpr std::size_t DistanceCount = 3;

// What is known about a node and its target.
struct TargetView {
  Location Place;
  // Link capacity of the node's VM; 0 if unknown.
  std::uint64_t LinkBytesPerSecond = 0;
  TargetStatus Status;
  Instant StatusAt;
  // Open requests that this node has sent there.
  std::uint32_t Outstanding = 0;
  // Those of them that were sent after StatusAt.
  std::uint32_t SentSinceStatus = 0;
  // The node could not be reached and is avoided until this time.
  Instant AvoidUntil;
  std::uint32_t Failures = 0;

  // Estimated wait of a new request because of the target's rate limit, if the
  // status is StatusAge old.
  Duration waitForStart(Duration StatusAge) const;
  // Time that the target's link needs to transfer Bytes; 0 if its capacity is
  // unknown.
  Duration transferTime(std::uint64_t Bytes) const {
    std::uint64_t Rate = this->LinkBytesPerSecond;
    return Duration(
        Rate == 0 ? 0 : static_cast<std::int64_t>(Bytes * 1'000'000 / Rate));
  }
};

// Properties of a request that the choice of a target depends on.
struct ChoiceInput {
  std::string_view Service{};
  RequestClassId RequestClass = 0;
  // Size of the request plus the expected size of the answer.
  std::size_t Bytes = 0;
  // Nodes that the request was already sent to.
  std::span<const std::string> Excluded{};
  // Regions in which the request may run; empty if all may.
  std::span<const std::string> AllowedRegions{};
};

struct TargetChoice {
  // Null if no target is ready. Valid until nodes are added or removed.
  const std::string *Node = nullptr;
  // Estimated additional cost of the second-best target; 0 if there is none.
  Duration CostGapToNext{0};
};

// Not thread-safe. choose() is linear in the number of nodes.
class TargetDirectory {
public:
  // DrainTime: time from a target's announcement that it is leaving until it
  // gets no new requests.
  explicit TargetDirectory(Location OwnLocation, std::string OwnNode,
                           Duration DrainTime = std::chrono::seconds(2));

  // Adds a node or changes its location.
  void setNode(const std::string &Node, const Location &Place,
               std::uint64_t LinkBytesPerSecond = 0);
  void removeNode(const std::string &Node);
  // Stores a status unless it is older than the known one. Returns whether the
  // state or the target changed.
  bool update(const TargetStatus &Status, Instant Now);

  // A request was sent to Node.
  void noteSent(const std::string &Node);
  // A request that was sent to Node is no longer open.
  void noteEnded(const std::string &Node);
  // Avoids a node that could not be reached, for a time that doubles with each
  // consecutive failure.
  void noteUnreachable(const std::string &Node, Instant Now);
  // Node was reached; ends its avoidance.
  void noteReached(const std::string &Node);

  // Returns the target of the service with the lowest estimated cost.
  TargetChoice choose(const ChoiceInput &Request, Instant Now) const;
  // Number of ready targets of the service that are not in Excluded, in the
  // allowed regions (empty: in all) and outside of evacuated failure domains.
  std::size_t
  countReady(std::string_view Service, std::span<const std::string> Excluded,
             std::span<const std::string> AllowedRegions = {}) const;

  // Sets the failure domains whose targets get nothing new. KeysServedUntil: as
  // in EvacuatedDomains.
  void setEvacuations(const EvacuatedDomains::Names &Domains,
                      Instant KeysServedUntil) {
    this->Evacuations.replace(Domains, KeysServedUntil);
  }
  // Returns whether a request without a key, or its body, may go to Node. A
  // node whose place is not known is in no allowed region.
  PlacementVerdict
  checkPlacement(const std::string &Node,
                 std::span<const std::string> AllowedRegions) const;
  // The same for a request whose key the target beside Node owns: it may go to
  // an evacuated target until the grace is over.
  PlacementVerdict checkOwner(const std::string &Node,
                              std::span<const std::string> AllowedRegions,
                              Instant Now) const;

  // Returns whether the target has been leaving for the drain time. This holds
  // whatever its node says later, since a restarted node may not know it.
  bool hasDrained(const TargetRef &Target, Instant Now) const;
  // Returns for how long the target has been known to leave; nothing if it is
  // not known to.
  std::optional<Duration> leavingFor(const TargetRef &Target,
                                     Instant Now) const;

  const TargetView *find(const std::string &Node) const;
  // Distance of a place from this node.
  Distance distanceTo(const Location &Place) const;
  const std::map<std::string, TargetView> &views() const { return this->Views; }

  // Estimated cost of sending the request to Node, in units of time.
  Duration costOf(const std::string &Node, const TargetView &View,
                  const ChoiceInput &Request, Instant Now) const;

private:
  // Estimated time that a request occupies a slot of a target.
  struct ServiceTimeEstimate {
    double Micros = 0;
    // False if the target has no recent measurement although other targets have
    // one.
    bool Measured = false;
  };

  // Returns whether the target may be chosen for the request.
  bool isCandidate(const std::string &Node, const TargetView &View,
                   const ChoiceInput &Request) const;
  ServiceTimeEstimate estimateServiceTime(const TargetView &View,
                                          RequestClassId RequestClass,
                                          Instant Now) const;
  // Typical time at fast targets; 0 if no target has a measurement.
  double baselineOf(RequestClassId RequestClass) const;
  void updateBaselines(const TargetStatus &Status);
  void noteLeaving(const TargetRef &Target, Instant Now);

  Location OwnLocation;
  std::string OwnNode;
  Duration DrainTime;
  std::map<std::string, TargetView> Views;
  EvacuatedDomains Evacuations;
  // When each leaving target was first known to leave. Kept when its node is
  // removed, since it may come back beside the same target.
  std::map<TargetRef, Instant> LeavingSince;
  // Lowest mean service time of any target by request class, in microseconds.
  // Rises slowly while all targets are slower.
  std::map<RequestClassId, double> Baselines;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_DIRECTORY_H
