// The failure domains that the operator evacuates, as the store shows them.
//
//   EvacuationFollower Evacuations;
//   if (auto Changed = Evacuations.applyRead(Reply)) ...
//   if (auto Changed = Evacuations.applyWatch(Update)) ...
#ifndef ORIOLEDOOR_SIDECAR_EVACUATION_FOLLOWER_H
#define ORIOLEDOOR_SIDECAR_EVACUATION_FOLLOWER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/routing/evacuated_domains.h"
#include "orioledoor/store/store_types.h"

namespace orioledoor::sidecar {

using DomainNames = routing::EvacuatedDomains::Names;

// The evacuated failure domains are known for the first time, or have changed.
struct EvacuationsChanged {
  DomainNames Domains{};
  // Domains whose evacuation has ended, also if its beginning was not known.
  DomainNames Ended{};
  // The change was found by a read, or by a watch that was interrupted before.
  bool MayBeOld = false;
};

// A key of the operator that has no meaning.
struct InvalidOperatorKey {
  std::string Key{};
  std::string Fault{};
};

// Not thread-safe. Uses no clock or socket.
class EvacuationFollower {
public:
  // Takes over a read of all keys of the operator, unless a watch has shown
  // later changes. KeepVanished: evacuations that the reply does not show stay
  // in force.
  std::optional<EvacuationsChanged> applyRead(const StoreReply &Reply,
                                              bool KeepVanished = false);
  std::optional<EvacuationsChanged> applyWatch(const StoreWatchUpdate &Update);

  // Empty until the first read.
  const DomainNames &domains() const { return this->Domains; }
  // Returns the invalid keys that were found since the last call, each key
  // once.
  std::vector<InvalidOperatorKey> takeInvalidKeys();

private:
  // Adds the domain that the key evacuates to Domains.
  void addDomain(std::string_view Key, DomainNames &Domains);
  // Revisions of the store are compared only within an era.
  void enterEra(std::int64_t Era);

  bool Loaded = false;
  DomainNames Domains;
  // All changes up to this revision are known.
  std::int64_t Revision = 0;
  std::int64_t Era = 0;
  // The watch was interrupted, so the next changes may be old.
  bool Interrupted = false;
  // Invalid keys that were found before; at most MaxReportedKeys.
  std::set<std::string, std::less<>> Reported;
  std::vector<InvalidOperatorKey> Invalid;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_EVACUATION_FOLLOWER_H
