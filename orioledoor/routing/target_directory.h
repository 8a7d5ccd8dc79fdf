// An entry node's view of all targets: their locations and load, and whether
// their nodes can be reached. Chooses the target of a request among a sample of
// each ring (target_choice.h, domain_spill.h).
//
//   Directory.setNode("tcp://10.1.0.8:7620", {"bilbao", "cantabrico"});
//   Directory.update(Status, Now);
//   TargetChoice Choice = Directory.choose(Request, Now);
#ifndef ORIOLEDOOR_ROUTING_TARGET_DIRECTORY_H
#define ORIOLEDOOR_ROUTING_TARGET_DIRECTORY_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/domain_spill.h"
#include "orioledoor/routing/evacuated_domains.h"
#include "orioledoor/routing/location.h"
#include "orioledoor/routing/placement_policy.h"
#include "orioledoor/routing/target_choice.h"
#include "orioledoor/routing/target_status.h"

namespace orioledoor::routing {

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
  // Expected answer bytes of the requests that were sent after StatusAt.
  std::uint64_t AnswerBytesSinceStatus = 0;
  // Request classes of which the target refused a request as Busy, and until
  // when it gets no more of them.
  struct BusyClass {
    RequestClassId RequestClass = 0;
    Instant Until;
  };
  std::vector<BusyClass> Busy;
  // Place in the index of candidates; empty if the target is not ready.
  std::string IndexedService;
  Distance IndexedRing = Distance::SameDomain;
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
  bool isBusy(RequestClassId RequestClass, Instant Now) const;
};

// Properties of a request that the choice of a target depends on.
struct ChoiceInput {
  std::string_view Service{};
  RequestClassId RequestClass = 0;
  // Size of the request's body.
  std::size_t Bytes = 0;
  // Expected size of the answer.
  std::uint64_t AnswerBytes = 0;
  // Target latency of the route; 0 if there is none. The request then leaves
  // its failure domain and region wherever the caller gains by it.
  Duration TargetLatency{0};
  // Number of targets that refused the request. After the first refusal it may
  // leave its failure domain, and after the second its region, whatever share
  // of its class leaves.
  int Refusals = 0;
  // Nodes that the request was already sent to.
  std::span<const std::string> Excluded{};
  // Regions in which the request may run; empty if all may.
  std::span<const std::string> AllowedRegions{};
};

struct TargetChoice {
  // Null if no target is ready. Valid until nodes are added or removed.
  const std::string *Node = nullptr;
  // How long the request may wait for a slot at Node before another target is
  // better: until the second-best target of the sample would answer as soon or,
  // if that is later, until the request would no longer stay in its failure
  // domain or region. 0 if there is no other target.
  Duration CostGapToNext{0};
  Distance Ring = Distance::SameDomain;
  // Changes of the shares that leave the failure domain and the region, by
  // SpillBoundary.
  std::array<std::optional<SpillStep>, SpillBoundaryCount> Steps{};
};

struct SpillCounters {
  // Choices by Distance.
  std::array<std::uint64_t, DistanceCount> ChoicesByRing{};
  // Changes of a share.
  std::uint64_t Steps = 0;
};

// Not thread-safe. choose() takes constant time in the number of nodes, as long
// as a fixed share of them may take the request; updates are logarithmic in it.
class TargetDirectory {
public:
  // DrainTime: time from a target's announcement that it is leaving until it
  // gets no new requests. Seed: of the generator that samples targets; must
  // differ between nodes, which otherwise compare the same targets.
  explicit TargetDirectory(Location OwnLocation, std::string OwnNode,
                           Duration DrainTime = std::chrono::seconds(2),
                           std::uint64_t Seed = 1);
  // The index of candidates refers to the views.
  TargetDirectory(const TargetDirectory &) = delete;
  TargetDirectory &operator=(const TargetDirectory &) = delete;

  // Adds a node or changes its location.
  void setNode(const std::string &Node, const Location &Place,
               std::uint64_t LinkBytesPerSecond = 0);
  void removeNode(const std::string &Node);
  // Stores a status unless it is older than the known one. Returns whether the
  // state or the target changed.
  bool update(const TargetStatus &Status, Instant Now);

  // A request was sent to Node, with the expected size of its answer.
  void noteSent(const std::string &Node, std::uint64_t AnswerBytes = 0);
  // Node refused a request of this class as Busy. It gets no other one until
  // RetryAfter (0 if unknown) or 250 ms are over, whichever is sooner, unless
  // no other target is left.
  void noteBusy(const std::string &Node, RequestClassId RequestClass,
                Duration RetryAfter, Instant Now);
  // A request that was sent to Node is no longer open.
  void noteEnded(const std::string &Node);
  // Avoids a node that could not be reached, for a time that doubles with each
  // consecutive failure.
  void noteUnreachable(const std::string &Node, Instant Now);
  // Node was reached; ends its avoidance.
  void noteReached(const std::string &Node);

  // Returns the target with the lowest estimated cost among a sample of each
  // ring that the request may go to. Targets that are busy, and nodes that are
  // unreachable, are only chosen if there is no other.
  TargetChoice choose(const ChoiceInput &Request, Instant Now);
  // Number of targets that may take the request, however loaded they are, but
  // not more than Limit.
  std::size_t countReady(const ChoiceInput &Request,
                         std::size_t Limit = SIZE_MAX);

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

  // Records that the target is leaving, unless that is known already.
  void noteLeaving(const TargetRef &Target, Instant Now);
  // Returns whether the target has been leaving for the drain time. This holds
  // whatever its node says later, since a restarted node may not know it.
  bool hasDrained(const TargetRef &Target, Instant Now) const;
  // Returns for how long the target has been known to leave; nothing if it is
  // not known to.
  std::optional<Duration> leavingFor(const TargetRef &Target,
                                     Instant Now) const;
  // Returns the targets beside Node that are known to leave, also those that
  // its present process has not heard of. Linear in the number of leaving
  // targets of the fleet.
  std::vector<TargetRef> leavingBeside(std::string_view Node) const;

  const TargetView *find(const std::string &Node) const;
  // Distance of a place from this node.
  Distance distanceTo(const Location &Place) const;
  const std::map<std::string, TargetView> &views() const { return this->Views; }

  // Estimated cost of sending the request to Node, in units of time: the
  // expected time to the answer, with additions for targets that are near their
  // capacity or fail requests.
  Duration costOf(const std::string &Node, const TargetView &View,
                  const ChoiceInput &Request, Instant Now) const {
    return this->estimate(Node, View, Request, Now).Total;
  }

  const SpillCounters &spillCounters() const { return this->Counters; }
  // Calls Visit(Service, RequestClass, State) for each class of which some
  // requests have left a failure domain or region.
  template <typename Visitor> void forEachSpill(Visitor Visit) const {
    for (const auto &[RequestClass, Entry] : this->Spills)
      if (Entry.HasLeft)
        Visit(Entry.Service, RequestClass, Entry.State);
  }

private:
  struct CostEstimate {
    Duration Total{0};
    // Part of Total that the request waits for a slot.
    Duration Wait{0};
  };

  // The best targets of a sample.
  struct RingSample {
    const TargetEntry *Best = nullptr;
    CostEstimate BestCost;
    std::optional<Duration> NextTotal;
    // When the newest view of the sample arrived.
    Instant SeenAt;

    std::optional<Duration> total() const {
      return this->Best ? std::optional(this->BestCost.Total) : std::nullopt;
    }
    void take(const TargetEntry &Candidate, const CostEstimate &Cost);
    // Adds the targets of another sample.
    void take(const RingSample &Other);
  };

  struct SpillEntry {
    std::string Service;
    DomainSpill State;
    // A share was above 0 at some time.
    bool HasLeft = false;
  };
  // Estimated time that a request occupies a slot of a target.
  struct ServiceTimeEstimate {
    double Micros = 0;
    // False if the target has no recent measurement although other targets have
    // one.
    bool Measured = false;
  };

  // Whether the target may take the request, however loaded it is.
  bool isEligible(const TargetEntry &Candidate,
                  const ChoiceInput &Request) const;
  // Whether the target may be asked while there are others.
  bool isPreferred(const TargetEntry &Candidate, const ChoiceInput &Request,
                   Instant Now) const;
  template <typename Predicate>
  RingSample sampleRing(Distance Ring, const ChoiceInput &Request, Instant Now,
                        Predicate IsEligible);
  RingSample sampleAll(const ChoiceInput &Request, Instant Now,
                       bool IncludeUnreachable);
  // Whether this request may leave if its caller gains by it. Reports the times
  // to the share of its class.
  bool mayLeave(SpillBoundary Boundary, const SpillTimes &Times,
                const ChoiceInput &Request, SpillEntry &Spill, Instant Now,
                TargetChoice &Choice);
  SpillEntry &spillOf(const ChoiceInput &Request);
  CostEstimate estimate(const std::string &Node, const TargetView &View,
                        const ChoiceInput &Request, Instant Now) const;
  // Time that Bytes take over this node's link and that of the target.
  Duration transferTime(const TargetView &View, std::uint64_t Bytes) const;
  // Brings the place of a view in the index up to date.
  void reindex(TargetEntry &Entry);

  ServiceTimeEstimate estimateServiceTime(const TargetView &View,
                                          RequestClassId RequestClass,
                                          Instant Now) const;
  // Present slowdown of a target relative to its stated times; 1 if it is not
  // known.
  static double presentSlowdown(const TargetView &View, Instant Now);
  // Typical time at fast targets; 0 if no target has a measurement.
  double baselineOf(RequestClassId RequestClass) const;
  void updateBaselines(const TargetStatus &Status);

  Location OwnLocation;
  std::string OwnNode;
  // 0 if unknown.
  std::uint64_t OwnLinkBytesPerSecond = 0;
  Duration DrainTime;
  std::map<std::string, TargetView> Views;
  // Ready targets by service and ring. Invariant: refers to elements of Views.
  CandidateIndex Candidates;
  std::unordered_map<RequestClassId, SpillEntry> Spills;
  SpillCounters Counters;
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
