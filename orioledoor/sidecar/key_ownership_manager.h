// Manages key ownership on one node: grants to its target, transfers of
// released keys and, on the planning node, the key maps of all partitioned
// services.
//
//   routing::ReportAnswer Answer = Keys.answerReport(Report, Target, Now, Out);
//   Keys.tick(Table, Now, Out);
#ifndef ORIOLEDOOR_SIDECAR_KEY_OWNERSHIP_MANAGER_H
#define ORIOLEDOOR_SIDECAR_KEY_OWNERSHIP_MANAGER_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
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

// Not thread-safe. Uses no clock, socket or random source.
class KeyOwnershipManager {
public:
  // Members must outlive this object.
  KeyOwnershipManager(KeyOwnershipOptions Options, Membership &Members);

  // Answers an up-to-date report of the target, whose service is partitioned,
  // and records transfers of keys that it released.
  routing::ReportAnswer answerReport(const routing::TargetReport &Report,
                                     const routing::TargetRef &Target,
                                     Instant Now, Effects &Out);
  // Returns whether Target is about to receive keys and is to give up none, so
  // that delaying the answer to its report briefly is worthwhile.
  bool expectsKeys(std::string_view Service,
                   const routing::TargetRef &Target) const;
  // Records the start of this process. To be called before any other event.
  void noteStart(Instant Now) { this->Grantor.noteStart(Now); }
  // Forgets the grants to the target, whose new process sent its first report.
  void resetGrants() { this->Grantor.reset(); }
  bool holds(std::uint32_t Key, Instant Now) const {
    return this->Grantor.holds(Key, Now);
  }
  // Returns the time at which every hold has ended that a process of this node
  // has granted.
  Instant holdsEnd() const { return this->Grantor.holdsEnd(); }
  // Returns the owner of a key as far as this node knows.
  routing::KeyOwner ownerOf(std::string_view Service, std::int32_t Key) const;

  // Counts a request for Key that arrived at the target gate and stands for
  // Demand requests; see routing::HotKeyMeter.
  void recordRequest(std::uint32_t Key, std::uint32_t Demand, Instant Now);
  void recordLoad(const routing::KeyLoadNotice &Notice, Instant Now);
  // Returns a target beside Node that owns keys, or an empty reference if there
  // is none. Takes time in proportion to the rows of all maps.
  routing::TargetRef ownerBeside(std::string_view Node) const;
  // Sends the demand for the target's keys to the planning node. Capacity is
  // the number of requests per second that the target can serve.
  void reportLoad(std::string_view Service, const routing::TargetRef &Target,
                  double Capacity, Instant Now, Effects &Out);
  // Sets the failure domains whose targets get no keys and lose those that they
  // have.
  void setEvacuations(const routing::EvacuatedDomains::Names &Domains) {
    this->Evacuations.replace(Domains, Instant());
  }
  // Plans key maps if this node is the planning node, and records transfers.
  void tick(const routing::SharedRouteTable &Table, Instant Now, Effects &Out);
  // Handles the reply of the store to a write or read of key maps. Returns
  // whether the known maps changed.
  bool onStoreReply(const StoreReply &Reply, Instant Now, Effects &Out);
  // Handles a key map that another node sent. Returns whether the known maps
  // changed.
  bool receiveKeyMap(const routing::KeyMapNotice &Notice, Effects &Out);
  // Handles a change that another node wrote. A change of a map that is not
  // known yet is kept until the changes before it arrive. Returns whether the
  // known maps changed.
  bool receiveChange(const routing::KeyMapChangeNotice &Notice, Instant Now,
                     Effects &Out);
  // Sends the key map of Service to Node, which sent a request for a key that
  // is not held here, if the map is newer than KnownRevision. Returns the size
  // of the map in bytes, or 0 if it was not sent.
  std::size_t sendKeyMap(const std::string &Node, std::string_view Service,
                         std::int64_t KnownRevision, Instant Now, Effects &Out);

  // Handles that the store came back from an older copy: forgets open writes
  // and what was observed of missing owners.
  void onEraRisen();
  // Number of repairs of key maps that this node wrote to the store.
  std::uint64_t repairs() const { return this->Repairs; }

  // Returns the peer address of the planning node, or an empty string if none
  // is known.
  std::string planningNode() const;

private:
  // The last change of a key map that was sent to the store.
  struct OpenWrite {
    std::uint64_t Id = 0;
    Instant NextWriteAt;
    keyspace::KeyMap Map;
    // What tells the other nodes of the change, without its revision.
    routing::Message Notice;
  };
  struct EarlyChange {
    std::int64_t Revision = 0;
    std::uint64_t Checksum = 0;
    keyspace::KeyMap Change;
  };
  // Changes whose base is not known yet, by the revision of their base.
  struct EarlyChanges {
    std::map<std::int64_t, EarlyChange> ByBase;
    // Time of the oldest one.
    Instant Since;
  };

  // Targets in other regions than AllowedRegions (empty: none are other) or in
  // evacuated failure domains count as not ready.
  std::vector<keyspace::PlannerNode>
  plannerNodes(std::span<const std::string> AllowedRegions) const;
  const StoredKeyMap *findKeyMap(std::string_view Service) const;
  void writeKeyMap(const std::string &Service, const keyspace::KeyMap &Map,
                   const std::vector<keyspace::EntryCondition> &Conditions,
                   Instant Now, Effects &Out);
  void readKeyMaps(std::string Key, bool Prefix, bool MayBeStale, Effects &Out);
  bool applyEntries(const StoreReply &Reply, Effects &Out);
  // Applies a map that a node sent or that was read from the store.
  bool applyDocument(const routing::KeyMapNotice &Notice, bool FromNode,
                     Effects &Out);
  // Applies the early changes of Service that follow the known map.
  bool applyEarlyChanges(const std::string &Service, Effects &Out);
  // Reads the maps whose early changes have waited too long for their base.
  void readMapsWithGaps(Instant Now, Effects &Out);
  void recordTransfers(Instant Now, Effects &Out);
  bool canWrite(const std::string &Service, Instant Now) const;
  // Repairs the maps that the store has from an older copy, or tells the
  // planning node what they lack.
  void repairKeyMaps(Instant Now, Effects &Out);
  // Records the rows of Target, of which Grantable lacks a part, that need a
  // new token: they are from before the era, and the target does not hold them.
  // A holder of which the store has lost the record may have had a higher
  // token.
  void noteUnheldRows(const StoredKeyMap *Stored,
                      const std::optional<keyspace::KeyMap> &Grantable,
                      const routing::TargetRef &Target, Instant Now);
  // Writes a new token for those rows.
  void renewTokens(Instant Now, Effects &Out);
  // Returns whether targets may hold keys of a first map that the store lost.
  bool mayHaveLostFirstMap(Instant Now) const;
  // Returns the time from which this node may write a repair of the map.
  Instant repairTime(const StoredKeyMap &Stored) const;
  // Returns the rows of Map that may be granted now: those that the target
  // holds, and those whose token was given out in this era. Other targets may
  // have held the others, and the store has lost the record.
  keyspace::KeyMap grantableRows(const StoredKeyMap &Stored,
                                 const routing::TargetReport &Report,
                                 const routing::TargetRef &Target,
                                 Instant Now) const;

  KeyOwnershipOptions Options;
  Membership &Members;
  routing::EvacuatedDomains Evacuations;
  keyspace::KeyGrantor Grantor;
  keyspace::KeyLoadMeter Meter;
  Instant LoadReportedAt;
  Instant PlannedAt;
  std::map<std::string, keyspace::KeyPlanner, std::less<>> Planners;
  std::map<std::string, OpenWrite, std::less<>> OpenWrites;
  std::map<std::string, EarlyChanges, std::less<>> Early;
  std::uint64_t NextId = 1;
  std::uint64_t Repairs = 0;
  Instant RowsSentAt;
  Instant MapsReadAt;
  // Time at which a key map was last sent to each node.
  std::map<std::string, Instant> KeyMapSentAt;
  // Transfers from the target's last report. Keys are only granted in the
  // answer to the next one.
  std::string TransferService;
  routing::TargetRef TransferFrom;
  std::vector<keyspace::KeyTransfer> PendingTransfers;
  std::vector<keyspace::KeyRange> UnheldRows;
  std::vector<routing::GrantedRange> LastGrants;
  // Whether the last answer left keys with the target that are to move.
  bool RetainsKeys = false;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_KEY_OWNERSHIP_MANAGER_H
