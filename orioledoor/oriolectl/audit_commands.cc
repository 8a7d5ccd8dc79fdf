// Implements the commands `audit` and `explain`.
#include <iostream>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "orioledoor/base/error.h"
#include "orioledoor/oriolectl/audit_trail.h"
#include "orioledoor/oriolectl/catalogue_store.h"
#include "orioledoor/oriolectl/commands.h"
#include "orioledoor/oriolectl/explanation.h"
#include "orioledoor/oriolectl/node_status.h"
#include "orioledoor/oriolectl/node_wait.h"
#include "orioledoor/oriolectl/store_session.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ctl {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

constexpr std::uint64_t DefaultWriteLimit = 50;
// The default for --since and `explain`, which filter the records they read.
constexpr std::uint64_t SearchWriteLimit = 500;
constexpr std::uint64_t MaxWriteLimit = 5000;

std::uint64_t parseLimit(const Invocation &Call, std::uint64_t Default) {
  std::uint64_t Limit = Call.optionNumber("limit").value_or(Default);
  if (Limit == 0 || Limit > MaxWriteLimit)
    throw UsageError(
        absl::StrCat("--limit is ", Limit, "; expected 1 to ", MaxWriteLimit));
  return Limit;
}

// Returns --since in microseconds since the Unix epoch, or 0 if it was not
// given.
std::int64_t parseSince(const Invocation &Call) {
  if (!Call.hasOption("since"))
    return 0;
  std::string Text = Call.optionText("since");
  absl::Duration Age;
  if (absl::ParseDuration(Text, &Age) && Age > absl::ZeroDuration())
    return absl::ToUnixMicros(absl::Now() - Age);
  absl::Time Time;
  std::string Error;
  if (absl::ParseTime(absl::RFC3339_full, Text, &Time, &Error))
    return absl::ToUnixMicros(Time);
  throw UsageError("--since is \"" + Text +
                   "\"; expected a UTC time such as 2026-01-31T08:00:00Z or "
                   "an age such as 90s, 10m or 2h");
}

void warnIfTruncated(const Invocation &Call, const AuditTrail &Trail,
                     std::uint64_t Limit) {
  if (Trail.Truncated)
    Call.Terminal.Err << "only the latest " << Limit
                      << " writes were read; --limit reads more\n";
}

ExitStatus runAudit(const Invocation &Call) {
  std::int64_t Since = parseSince(Call);
  std::uint64_t Limit =
      parseLimit(Call, Since == 0 ? DefaultWriteLimit : SearchWriteLimit);
  StoreSession Store(Call.Loop, Call.storeAddress());
  auto Trail = readAuditTrail(Store, Limit);
  if (!Trail.ok())
    return Call.Terminal.reportError(Trail.status());
  bool ReachedSince =
      std::ranges::any_of(Trail->Records, [&](const AuditRecord &R) {
        return R.TimeMicros < Since;
      });
  std::erase_if(Trail->Records,
                [&](const AuditRecord &R) { return R.TimeMicros < Since; });
  printAudit(Call.Terminal, Trail->Records);
  if (!ReachedSince)
    warnIfTruncated(Call, *Trail, Limit);
  return ExitStatus::Success;
}

// Marks the members as deposed that reachable nodes report as deposed or as
// having left. While the store is down, successors serve before the assignment
// records the deposition.
void markReportedDepositions(EventLoop &Loop, ownership::Assignment &Recorded) {
  for (const NodeStatus &Status :
       fetchStatuses(Loop, liveMemberAddresses(Recorded), NodeStatusTimeout))
    for (MemberId Id : Status.DepartedMembers)
      if (ownership::Member *Member = Recorded.find(Id))
        Member->Deposed = true;
}

absl::StatusOr<Explanation> readExplanation(const Invocation &Call,
                                            StoreSession &Store) {
  auto Current = readCurrentCatalogue(Store);
  if (!Current.ok())
    return Current.status();
  auto Services = parsePublishedCatalogue(Current->Published);
  if (!Services.ok())
    return Services.status();
  auto Entry = Store.readKey(keys::Assignment);
  if (!Entry.ok())
    return Entry.status();
  ownership::Assignment Recorded;
  if (*Entry) {
    auto Decoded = ownership::decodeAssignment((*Entry)->Value);
    if (!Decoded.ok())
      return Decoded.status();
    Recorded = std::move(*Decoded);
  }
  markReportedDepositions(Call.Loop, Recorded);
  return explainKey(*Services, Recorded, Call.Arguments[0], Call.Arguments[1]);
}

void printExplanation(const Console &Terminal, const Explanation &Value,
                      const json &Members,
                      const std::vector<AuditRecord> &Records) {
  const ExplainedMember *ActingOwner = Value.actingOwner();
  Terminal.Out << "service     " << Value.Service
               << (Value.DividedByKey
                       ? ""
                       : " (not divided by key: the slice of an operation "
                         "identifier, only for non-idempotent requests)")
               << "\nkey         " << Value.Key << "\nslice       "
               << Value.Slice << "\nowner       "
               << (ActingOwner
                       ? absl::StrCat("member ", ActingOwner->Member.Id.Value,
                                      " ", ActingOwner->Member.Name, " at ",
                                      ActingOwner->Member.HttpAddress)
                       : std::string("none"))
               << "\nfence       "
               << (ActingOwner ? absl::StrCat(ActingOwner->FenceNumber.Value)
                               : std::string("-"))
               << "\nassignment  version " << Value.AssignmentVersion << "\n\n";
  printRecords(Terminal,
               {{"part", "PART"},
                {"member", "MEMBER"},
                {"node", "NODE"},
                {"address", "ADDRESS"},
                {"region", "REGION"},
                {"failure_domain", "FAILURE DOMAIN"},
                {"fence", "FENCE"},
                {"state", "STATE"}},
               Members);
  Terminal.Out << '\n';
  printAudit(Terminal, Records);
}

ExitStatus runExplain(const Invocation &Call) {
  std::uint64_t Limit = parseLimit(Call, SearchWriteLimit);
  StoreSession Store(Call.Loop, Call.storeAddress());
  auto Found = readExplanation(Call, Store);
  if (!Found.ok())
    return Call.Terminal.reportError(Found.status());
  auto Trail = readAuditTrail(Store, Limit);
  if (!Trail.ok())
    return Call.Terminal.reportError(Trail.status());
  std::vector<std::string> Subjects{sliceSubject(Found->Service, Found->Slice)};
  if (!Found->Succession.empty())
    Subjects.push_back(memberSubject(Found->Succession.front().Member.Id));
  if (const ExplainedMember *ActingOwner = Found->actingOwner())
    Subjects.push_back(memberSubject(ActingOwner->Member.Id));
  std::erase_if(Trail->Records, [&](const AuditRecord &Record) {
    return !coversSlicesOf(Record, Found->Service) &&
           std::ranges::none_of(Subjects, [&](const std::string &Subject) {
             return mentionsSubject(Record, Subject);
           });
  });
  json Out = explanationJson(*Found);
  if (Call.Terminal.JsonOutput) {
    Out["audit"] = auditJson(Trail->Records);
    printJson(Call.Terminal, Out);
  } else {
    json Members = Out["succession"];
    Members.insert(Members.end(), Out["guardians"].begin(),
                   Out["guardians"].end());
    printExplanation(Call.Terminal, *Found, Members, Trail->Records);
  }
  warnIfTruncated(Call, *Trail, Limit);
  return ExitStatus::Success;
}

void addLimitOption(po::options_description &Options) {
  Options.add_options()("limit", po::value<std::string>()->value_name("N"),
                        "reads the latest N writes, at most 5000; default 50, "
                        "or 500 where records are searched");
}

void addAuditOptions(po::options_description &Options) {
  addLimitOption(Options);
  Options.add_options()("since", po::value<std::string>()->value_name("TIME"),
                        "only records since a UTC time, such as "
                        "2026-01-31T08:00:00Z, or an age, such as 10m");
}

constexpr Command Commands[] = {
    {"audit", "", "lists audit records, latest first", addAuditOptions,
     runAudit},
    {"explain", "SERVICE KEY", "shows the owner of a key and what led there",
     addLimitOption, runExplain},
};

} // namespace

std::span<const Command> auditCommands() { return Commands; }

} // namespace orioledoor::ctl
