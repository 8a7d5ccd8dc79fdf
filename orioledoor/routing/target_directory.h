// What an entry node believes of the targets of the fleet: where they are,
// their load, and whether their nodes can be reached.
//
//   Directory.setNode("tcp://10.1.0.8:7620", {"bilbao", "cantabrico"});
//   Directory.update(Status, Now);
//   const TargetView *To = Directory.choose("licencias", Request, Now);
#ifndef ORIOLEDOOR_ROUTING_TARGET_DIRECTORY_H
#define ORIOLEDOOR_ROUTING_TARGET_DIRECTORY_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/target_status.h"

namespace orioledoor::routing {

struct Location {
  std::string FailureDomain;
  std::string Region;

  friend bool operator==(const Location &, const Location &) = default;
};

struct TargetView {
  Location Place;
  // The link of the node's VM; 0: not known.
  std::uint64_t LinkBytesPerSecond = 0;
  TargetStatus Status;
  Instant StatusAt;
  // Requests of this node that are open there.
  std::uint32_t Outstanding = 0;
  // Of these, sent after StatusAt.
  std::uint32_t SentSince = 0;
  // The node could not be reached; preferred again after this.
  Instant SuspectUntil;
  std::uint32_t Failures = 0;

  // How long bytes to the target hold its link; 0 if the link is not known.
  Duration transferTime(std::uint64_t Bytes) const {
    std::uint64_t Rate = this->LinkBytesPerSecond;
    return Duration(
        Rate == 0 ? 0 : static_cast<std::int64_t>(Bytes * 1'000'000 / Rate));
  }
};

// What matters of a request when its target is chosen.
struct ChoiceInput {
  std::string_view Service{};
  WorkId Work = 0;
  // Bytes that travel to the target and, by estimate, back.
  std::size_t Bytes = 0;
  // Nodes that the request has been at.
  std::span<const std::string> Excluded{};
};

struct TargetChoice {
  // Null if no target is ready; valid until nodes are added or removed.
  const std::string *Node = nullptr;
  // 0 if there is no other target.
  Duration NextCostsMore{0};
};

// Not thread-safe. Choosing is linear in the targets of the service.
class TargetDirectory {
public:
  explicit TargetDirectory(Location Own, std::string OwnNode);

  // Adds a node or moves it to another place.
  void setNode(const std::string &Node, const Location &Place,
               std::uint64_t LinkBytesPerSecond = 0);
  void removeNode(const std::string &Node);
  // Takes a status over if it is not older than the known one. Returns whether
  // the state or the target changed.
  bool update(const TargetStatus &Status, Instant Now);

  void noteSent(const std::string &Node);
  void noteEnded(const std::string &Node);
  // The node could not be reached, for a time that doubles with each failure.
  void noteUnreachable(const std::string &Node, Instant Now);
  void noteReached(const std::string &Node);

  // The best target of the service, and how much the next one costs beyond it.
  TargetChoice choose(const ChoiceInput &Request, Instant Now) const;
  // Ready targets of the service outside of Excluded.
  std::size_t countReady(std::string_view Service,
                         std::span<const std::string> Excluded) const;

  const TargetView *find(const std::string &Node) const;
  const std::map<std::string, TargetView> &views() const { return this->Views; }

  // Estimated cost of sending the request there, in time units.
  Duration costOf(const std::string &Node, const TargetView &View,
                  const ChoiceInput &Request, Instant Now) const;

private:
  // How long the work is expected to hold a slot of a target.
  struct Expectation {
    double Micros = 0;
    // From a recent measurement of this target, or nothing is known of any.
    bool Measured = false;
  };

  Expectation expect(const TargetView &View, WorkId Work, Instant Now) const;
  // How long it takes at good targets; 0 if it was never measured.
  double baselineOf(WorkId Work) const;
  void noteTimes(const TargetStatus &Status);

  Location Own;
  std::string OwnNode;
  std::map<std::string, TargetView> Views;
  // By kind of work, in microseconds: the least mean of any target, rising
  // slowly while all are slower.
  std::map<WorkId, double> Baselines;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_DIRECTORY_H
