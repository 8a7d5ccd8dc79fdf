// Compare-and-swap on one counter a service and day.
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

// Bounds the store's load: at most five transactions a second an account.
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

void SpendAllocator::request(std::string_view From, const SpendRequest &Asked) {
  std::vector<Waiting> &Queue =
      this->Accounts[AccountKey{Asked.Service, Asked.Day}].Queue;
  // Members repeat a request that was not granted; it counts once.
  auto Same = std::ranges::find(Queue, From, &Waiting::From);
  if (Same == Queue.end())
    Queue.push_back(Waiting{std::string(From), Asked.Amount});
}

void SpendAllocator::write(Account &Target, std::string Key,
                           std::uint64_t Limit, std::uint64_t Id,
                           Effects &Output) {
  std::uint64_t Left = Limit - std::min(Limit, Target.Granted);
  Target.Pending.clear();
  Target.PendingTotal = 0;
  for (Waiting &W : Target.Queue) {
    std::uint64_t Part = std::min(W.Amount, Left - Target.PendingTotal);
    Target.PendingTotal += Part;
    Target.Pending.push_back(Waiting{std::move(W.From), Part});
  }
  Target.Queue.clear();
  Target.OpenRequest = Id;
  StoreTxn Txn;
  Txn.Compares = {{Key, Target.ModRevision}};
  Txn.Puts = {{Key, std::to_string(Target.Granted + Target.PendingTotal), 0}};
  Output.push_back(CallStore{StoreRequest{.Id = Id, .Body = std::move(Txn)}});
}

void SpendAllocator::tick(Instant Now, const Catalogue &Entries,
                          const std::function<std::uint64_t()> &NextId,
                          Effects &Output) {
  for (auto &[Key, Target] : this->Accounts) {
    if (Target.Queue.empty() || Target.OpenRequest != 0 ||
        Now < Target.NextStep)
      continue;
    const ServiceEntry *Entry = Entries.find(Key.Service);
    if (!Entry || Entry->Limits.SpendPerDay == 0) {
      Target.Queue.clear();
      continue;
    }
    Target.NextStep = Now + WriteInterval;
    std::string StoreKey = spendKey(Entry->Name, Key.Day);
    std::uint64_t Id = NextId();
    if (Target.Loaded) {
      this->write(Target, StoreKey, Entry->Limits.SpendPerDay, Id, Output);
      continue;
    }
    Target.OpenRequest = Id;
    Output.push_back(
        CallStore{StoreRequest{.Id = Id, .Body = StoreRange{.Key = StoreKey}}});
  }
  // Accounts of earlier days with nothing open are of no more use.
  if (this->Accounts.size() > 1) {
    std::uint32_t Newest = 0;
    for (const auto &[Key, Target] : this->Accounts)
      Newest = std::max(Newest, Key.Day);
    std::erase_if(this->Accounts, [&](const auto &Entry) {
      return Entry.first.Day + 1 < Newest && Entry.second.OpenRequest == 0;
    });
  }
}

void SpendAllocator::grant(const AccountKey &Key, Account &Target,
                           Effects &Output) {
  for (const Waiting &W : Target.Pending)
    Output.push_back(
        SendPeer{W.From, SpendGrant{Key.Service, W.Amount, Key.Day}});
  Target.Pending.clear();
}

bool SpendAllocator::handle(const StoreReply &Reply, Effects &Output) {
  auto Found = std::ranges::find_if(this->Accounts, [&](const auto &Entry) {
    return Entry.second.OpenRequest != 0 &&
           Entry.second.OpenRequest == Reply.Id;
  });
  if (Found == this->Accounts.end())
    return false;
  auto &[Key, Target] = *Found;
  Target.OpenRequest = 0;
  if (!Target.Loaded || !Reply.Status.ok() || !Reply.Succeeded) {
    // A transaction whose outcome is not known is read back; if it was
    // applied, its shares count as spent.
    Target.Pending.clear();
    Target.Loaded = Reply.Status.ok();
    if (!Target.Loaded)
      return true;
    Target.Granted =
        Reply.Entries.empty() ? 0 : parseCount(Reply.Entries.front().Value);
    Target.ModRevision =
        Reply.Entries.empty() ? 0 : Reply.Entries.front().ModRevision;
    return true;
  }
  Target.Granted += Target.PendingTotal;
  Target.ModRevision = Reply.Revision;
  grant(Key, Target, Output);
  return true;
}

} // namespace orioledoor::ownership::internal
