// Compare-and-swap on one counter per service and day.
#include "orioledoor/ownership/internal/spend_allocator.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include "absl/strings/str_format.h"
#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ownership::internal {
namespace {

// Limits the store's load to five transactions per second and account.
constexpr Duration WriteInterval = std::chrono::milliseconds(200);

std::uint64_t parseCount(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

} // namespace

std::string spendKey(std::string_view Service, std::uint32_t Day) {
  std::chrono::year_month_day Date{
      std::chrono::sys_days{std::chrono::days(Day)}};
  return absl::StrFormat("%s%s/%04d-%02u-%02u", keys::SpendPrefix,
                         std::string(Service), static_cast<int>(Date.year()),
                         static_cast<unsigned>(Date.month()),
                         static_cast<unsigned>(Date.day()));
}

void SpendAllocator::request(std::string_view From,
                             const SpendRequest &Received) {
  std::vector<PendingShare> &WaitingRequests =
      this->Accounts[AccountKey{Received.Service, Received.Day}]
          .WaitingRequests;
  // Members repeat a request until it is granted; it counts only once.
  auto Same = std::ranges::find(WaitingRequests, From, &PendingShare::From);
  if (Same == WaitingRequests.end())
    WaitingRequests.push_back(PendingShare{std::string(From), Received.Amount});
}

void SpendAllocator::writeShares(Account &Record, std::string Key,
                                 std::uint64_t Limit, std::uint64_t Id,
                                 Effects &Output) {
  std::uint64_t Remaining = Limit - std::min(Limit, Record.Granted);
  Record.TransactionShares.clear();
  Record.TransactionTotal = 0;
  for (PendingShare &W : Record.WaitingRequests) {
    std::uint64_t Share =
        std::min(W.Amount, Remaining - Record.TransactionTotal);
    Record.TransactionTotal += Share;
    Record.TransactionShares.push_back(PendingShare{std::move(W.From), Share});
  }
  Record.WaitingRequests.clear();
  Record.PendingRequest = Id;
  StoreTxn Txn;
  Txn.Compares = {{Key, Record.ModRevision}};
  Txn.Puts = {
      {Key, std::to_string(Record.Granted + Record.TransactionTotal), 0}};
  Output.push_back(CallStore{StoreRequest{.Id = Id, .Body = std::move(Txn)}});
}

void SpendAllocator::tick(Instant Now, const Catalogue &Entries,
                          const std::function<std::uint64_t()> &NextId,
                          Effects &Output) {
  for (auto &[Key, Record] : this->Accounts) {
    if (Record.WaitingRequests.empty() || Record.PendingRequest != 0 ||
        Now < Record.NextRequestAt)
      continue;
    const ServiceEntry *Entry = Entries.find(Key.Service);
    if (!Entry || Entry->Limits.SpendPerDay == 0) {
      Record.WaitingRequests.clear();
      continue;
    }
    Record.NextRequestAt = Now + WriteInterval;
    std::string StoreKey = spendKey(Entry->Name, Key.Day);
    std::uint64_t Id = NextId();
    if (Record.Loaded) {
      this->writeShares(Record, StoreKey, Entry->Limits.SpendPerDay, Id,
                        Output);
      continue;
    }
    Record.PendingRequest = Id;
    Output.push_back(
        CallStore{StoreRequest{.Id = Id, .Body = StoreRange{.Key = StoreKey}}});
  }
  // Removes accounts of earlier days that have no pending request.
  if (this->Accounts.size() > 1) {
    std::uint32_t Newest = 0;
    for (const auto &[Key, Record] : this->Accounts)
      Newest = std::max(Newest, Key.Day);
    std::erase_if(this->Accounts, [&](const auto &Entry) {
      return Entry.first.Day + 1 < Newest && Entry.second.PendingRequest == 0;
    });
  }
}

void SpendAllocator::sendGrants(const AccountKey &Key, Account &Record,
                                Effects &Output) {
  for (const PendingShare &W : Record.TransactionShares)
    Output.push_back(
        SendPeer{W.From, SpendGrant{Key.Service, W.Amount, Key.Day}});
  Record.TransactionShares.clear();
}

bool SpendAllocator::handle(const StoreReply &Reply, Effects &Output) {
  auto Found = std::ranges::find_if(this->Accounts, [&](const auto &Entry) {
    return Entry.second.PendingRequest != 0 &&
           Entry.second.PendingRequest == Reply.Id;
  });
  if (Found == this->Accounts.end())
    return false;
  auto &[Key, Record] = *Found;
  Record.PendingRequest = 0;
  if (!Record.Loaded || !Reply.Status.ok() || !Reply.Succeeded) {
    // After a transaction with an unknown outcome the counter is read again; if
    // the transaction was applied, its shares count as spent.
    Record.TransactionShares.clear();
    Record.Loaded = Reply.Status.ok();
    if (!Record.Loaded)
      return true;
    Record.Granted =
        Reply.Entries.empty() ? 0 : parseCount(Reply.Entries.front().Value);
    Record.ModRevision =
        Reply.Entries.empty() ? 0 : Reply.Entries.front().ModRevision;
    return true;
  }
  Record.Granted += Record.TransactionTotal;
  Record.ModRevision = Reply.Revision;
  sendGrants(Key, Record, Output);
  return true;
}

} // namespace orioledoor::ownership::internal
