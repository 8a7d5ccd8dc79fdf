// Executes range, transaction and lease calls on the model.
#include "orioledoor/standins/store_execution.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <ranges>
#include <string_view>
#include <utility>

#include "orioledoor/base/error.h"

namespace orioledoor::standins {
namespace {

using platform::StoreHttpResponse;
using platform::StoreServiceCall;
using platform::StoreServiceRange;
using platform::StoreServiceWatch;

// Keys that only the operator of the platform may write.
constexpr std::array<std::string_view, 2> ReservedPrefixes{"op/", "servers/"};

StoreEntry toEntry(const StoredKey &Stored) {
  return {Stored.Key, Stored.Value, Stored.ModRevision};
}

bool isReserved(std::string_view Key) {
  return std::ranges::any_of(ReservedPrefixes, [Key](std::string_view Prefix) {
    return Key.starts_with(Prefix);
  });
}

absl::Status callError(absl::StatusCode Code, std::string_view Reason) {
  return makeError(Code, "serve call", "caller", Reason);
}

struct Executor {
  StoreModel &Model;
  Instant Now;
  // Set by a range call if further pages follow.
  bool HasMorePages = false;

  StoreReply operator()(const StoreServiceRange &Call) {
    StoreReply Reply{.Revision = this->Model.revision()};
    if (!Call.Range.Prefix) {
      if (const StoredKey *Found = this->Model.find(Call.Range.Key))
        Reply.Entries.push_back(toEntry(*Found));
      return Reply;
    }
    std::vector<StoredKey> Found =
        this->Model.range(Call.Range.Key, endOfPrefix(Call.Range.Key));
    auto Page = Found | std::views::filter([&](const StoredKey &Each) {
                  return Each.Key > Call.After || Call.After.empty();
                });
    std::ranges::transform(Page | std::views::take(platform::MaxPageItems),
                           std::back_inserter(Reply.Entries), toEntry);
    this->HasMorePages =
        std::ranges::distance(Page) > std::ssize(Reply.Entries);
    return Reply;
  }

  StoreReply operator()(const StoreTxn &Txn) {
    StoreReply Reply;
    if (std::ranges::any_of(Txn.Puts, isReserved, &StorePut::Key) ||
        std::ranges::any_of(Txn.Deletes, isReserved)) {
      Reply.Status = callError(absl::StatusCode::kPermissionDenied,
                               "only the operator writes this key");
      return Reply;
    }
    Reply.Succeeded =
        std::ranges::all_of(Txn.Compares, [this](const StoreCompare &Each) {
          const StoredKey *Found = this->Model.find(Each.Key);
          return (Found ? Found->ModRevision : 0) == Each.ModRevision;
        });
    if (!Reply.Succeeded) {
      for (const StoreCompare &Each : Txn.Compares)
        if (const StoredKey *Found = this->Model.find(Each.Key))
          Reply.Entries.push_back(toEntry(*Found));
      return Reply;
    }
    if (std::ranges::any_of(Txn.Puts, [this](const StorePut &Each) {
          return Each.Lease != 0 && !this->Model.hasLease(Each.Lease);
        })) {
      Reply.Status = callError(absl::StatusCode::kNotFound, "no such lease");
      return Reply;
    }
    this->Model.begin();
    for (const StorePut &Each : Txn.Puts)
      this->Model.put(Each.Key, Each.Value, Each.Lease);
    for (const std::string &Key : Txn.Deletes)
      this->Model.remove(Key, "");
    this->Model.commit();
    Reply.Revision = this->Model.revision();
    return Reply;
  }

  StoreReply operator()(const StoreLeaseGrant &Grant) {
    return {.Lease = this->Model.grantLease(Grant.TimeToLive, this->Now),
            .TimeToLive = Grant.TimeToLive};
  }
  StoreReply operator()(const StoreLeaseKeepAlive &KeepAlive) {
    std::optional<Duration> Left =
        this->Model.keepAlive(KeepAlive.Lease, this->Now);
    return {.Lease = KeepAlive.Lease,
            .TimeToLive = std::chrono::duration_cast<std::chrono::seconds>(
                Left.value_or(Duration(0)))};
  }
  StoreReply operator()(const StoreLeaseRevoke &Revoke) {
    StoreReply Reply;
    if (!this->Model.revokeLease(Revoke.Lease))
      Reply.Status = callError(absl::StatusCode::kNotFound, "no such lease");
    return Reply;
  }
  StoreReply operator()(const StoreServiceWatch &) { return {}; }
};

} // namespace

StoreHttpResponse executeCall(StoreModel &Model, const StoreServiceCall &Call,
                              Instant Now) {
  Executor Execute{Model, Now};
  StoreReply Reply = std::visit(Execute, Call);
  return platform::encodeReply(Call, Reply, Execute.HasMorePages);
}

std::vector<StoreChange>
toStoreChanges(const std::vector<StoredChange> &Changes) {
  std::vector<StoreChange> Result;
  std::ranges::transform(
      Changes, std::back_inserter(Result), [](const StoredChange &Each) {
        return StoreChange{toEntry(Each.After), Each.Deleted};
      });
  return Result;
}

} // namespace orioledoor::standins
