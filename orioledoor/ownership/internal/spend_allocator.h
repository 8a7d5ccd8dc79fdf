// Grants shares of a service's daily spend. Each share is recorded in the store
// before it is granted; a share whose grant is lost counts as spent. Part of
// Coordinator.
#ifndef ORIOLEDOOR_OWNERSHIP_INTERNAL_SPEND_ALLOCATOR_H
#define ORIOLEDOOR_OWNERSHIP_INTERNAL_SPEND_ALLOCATOR_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/effect.h"
#include "orioledoor/ownership/message.h"

namespace orioledoor {
struct Catalogue;
} // namespace orioledoor

namespace orioledoor::ownership::internal {

// Returns the store key of a service's spend on Day (days since 1970, UTC).
std::string spendKey(std::string_view Service, std::uint32_t Day);

// Not thread-safe. Deterministic.
class SpendAllocator {
public:
  void request(std::string_view From, const SpendRequest &Received);

  // Sends the store requests that are due. At most one request per service and
  // day is pending; shares requested in the meantime are combined in the next
  // one.
  void tick(Instant Now, const Catalogue &Entries,
            const std::function<std::uint64_t()> &NextId, Effects &Output);

  // Processes Reply and returns true if it belongs to a request of this object;
  // otherwise returns false.
  bool handle(const StoreReply &Reply, Effects &Output);

private:
  struct PendingShare {
    std::string From;
    std::uint64_t Amount = 0;
  };
  struct Account {
    bool Loaded = false;
    std::uint64_t Granted = 0;
    // 0 if the key is absent.
    std::int64_t ModRevision = 0;
    std::uint64_t PendingRequest = 0;
    Instant NextRequestAt;
    std::vector<PendingShare> WaitingRequests;
    // The shares in the pending transaction.
    std::vector<PendingShare> TransactionShares;
    std::uint64_t TransactionTotal = 0;
  };
  struct AccountKey {
    ServiceId Service;
    std::uint32_t Day = 0;
    friend auto operator<=>(const AccountKey &, const AccountKey &) = default;
  };

  void writeShares(Account &Record, std::string Key, std::uint64_t Limit,
                   std::uint64_t Id, Effects &Output);
  static void sendGrants(const AccountKey &Key, Account &Record,
                         Effects &Output);

  std::map<AccountKey, Account> Accounts;
};

} // namespace orioledoor::ownership::internal

#endif // ORIOLEDOOR_OWNERSHIP_INTERNAL_SPEND_ALLOCATOR_H
