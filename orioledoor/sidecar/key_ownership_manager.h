// Ties the keys of this node together: grants to its target, transfers, and,
// on the planning node, the key maps of all partitioned services.
//
//   routing::ReportAnswer Answer = Keys.report(Report, Target, Now, Out);
//   Keys.tick(Table, Now, Out);
#ifndef ORIOLEDOOR_SIDECAR_KEY_OWNERSHIP_MANAGER_H
#define ORIOLEDOOR_SIDECAR_KEY_OWNERSHIP_MANAGER_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/keyspace/key_grantor.h"
#include "orioledoor/keyspace/key_load_meter.h"
#include "orioledoor/keyspace/key_planner.h"
#include "orioledoor/routing/entry.h"
#include "orioledoor/sidecar/effect.h"
#include "orioledoor/sidecar/membership.h"

namespace orioledoor::sidecar {

struct KeyOwnershipOptions {
  keyspace::KeyGrantorOptions Grants;
  keyspace::KeyPlannerOptions Plans;
};

// Not thread-safe; no clock, socket or random source.
class KeyOwnershipManager {
public:
  // Members outlives the office.
  KeyOwnershipManager(KeyOwnershipOptions Options, Membership &Members);

  // A current report of the target, whose service is partitioned.
  routing::ReportAnswer report(const routing::TargetReport &Report,
                               const routing::TargetRef &Target, Instant Now,
                               Effects &Out);
  // Keys are about to come to Target, and none are to leave it: the answer to
  // its report is worth holding back for a moment.
  bool expectsKeys(std::string_view Service,
                   const routing::TargetRef &Target) const;
  // A new life of the target reported.
  void resetGrants() { this->Grantor.reset(); }
  bool holds(std::uint32_t Key, Instant Now) const {
    return this->Grantor.holds(Key, Now);
  }
  Instant holdsEnd() const { return this->Grantor.holdsEnd(); }
  // Who serves a key, as far as this node knows.
  routing::KeyOwner ownerOf(std::string_view Service, std::int32_t Key) const;

  // A request for Key arrived at the gate.
  void recordRequest(std::uint32_t Key, Instant Now) {
    this->Meter.recordRequest(Key, Now);
  }
  void recordLoad(const routing::KeyLoadNotice &Notice, Instant Now);
  // Capacity: requests a second that the target can serve.
  void reportLoad(std::string_view Service, const routing::TargetRef &Target,
                  double Capacity, Instant Now, Effects &Out);
  // Plans if it is this node's turn, and records transfers.
  void tick(const routing::SharedTable &Table, Instant Now, Effects &Out);
  // A reply of the store to a write or read of key maps. Returns whether the
  // known maps changed.
  bool onStoreReply(const StoreReply &Reply, Instant Now, Effects &Out);
  // Another node tells of a map. Returns whether the known maps changed.
  bool receiveKeyMap(const routing::KeyMapNotice &Notice, Effects &Out);
  // A node sent a request for a key that is not held here: it may not know the
  // present owners.
  void sendKeyMap(const std::string &Node, std::string_view Service,
                  Instant Now, Effects &Out);

  // Peer address of the node that plans; empty if none is known.
  std::string planningNode() const;

private:
  // A change of a key map that was sent and not answered.
  struct OpenWrite {
    std::uint64_t Id = 0;
    Instant NextAt;
    keyspace::KeyMap Map;
  };

  std::vector<keyspace::PlannerNode> plannerNodes() const;
  const StoredKeyMap *mapOf(std::string_view Service) const;
  void write(const std::string &Service, const keyspace::KeyMap &Map,
             const std::vector<keyspace::EntryCondition> &Conditions,
             Instant Now, Effects &Out);
  void read(std::string Key, bool Prefix, bool MayBeStale, Effects &Out);
  bool applyEntries(const StoreReply &Reply, Effects &Out);
  void recordTransfers(Instant Now, Effects &Out);
  bool canWrite(const std::string &Service, Instant Now) const;

  KeyOwnershipOptions Options;
  Membership &Members;
  keyspace::KeyGrantor Grantor;
  keyspace::KeyLoadMeter Meter;
  Instant LoadReportedAt;
  Instant PlannedAt;
  std::map<std::string, keyspace::KeyPlanner, std::less<>> Planners;
  std::map<std::string, OpenWrite, std::less<>> Writes;
  std::uint64_t NextId = 1;
  Instant MapsReadAt;
  // When a node was last told of the owners.
  std::map<std::string, Instant> KeyMapSentAt;
  // Of the target's last report; a grant is only made in answer to the next.
  std::string TransferService;
  routing::TargetRef TransferFrom;
  std::vector<keyspace::KeyTransfer> Transfers;
  std::vector<routing::GrantedRange> LastGrants;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_KEY_OWNERSHIP_MANAGER_H
