// The commands `audit` and `explain`.
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

constexpr std::uint64_t DefaultRecords = 50;
// With --since or explain, which search.
constexpr std::uint64_t SearchedRecords = 500;
constexpr std::uint64_t MaxRecords = 5000;

std::uint64_t limitOf(const Invocation &Call, std::uint64_t Default) {
  std::uint64_t Limit = Call.number("limit").value_or(Default);
  if (Limit == 0 || Limit > MaxRecords)
    throw UsageError(
        absl::StrCat("--limit is ", Limit, "; expected 1 to ", MaxRecords));
  return Limit;
}

// --since in microseconds since 1970; 0 if it was not given.
std::int64_t sinceOf(const Invocation &Call) {
  if (!Call.has("since"))
    return 0;
  std::string Text = Call.text("since");
  absl::Duration Ago;
  if (absl::ParseDuration(Text, &Ago) && Ago > absl::ZeroDuration())
    return absl::ToUnixMicros(absl::Now() - Ago);
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

ExitStatus audit(const Invocation &Call) {
  std::int64_t Since = sinceOf(Call);
  std::uint64_t Limit =
      limitOf(Call, Since == 0 ? DefaultRecords : SearchedRecords);
  StoreSession Store(Call.Loop, Call.store());
  auto Trail = readAuditTrail(Store, Limit);
  if (!Trail.ok())
    return Call.Terminal.fail(Trail.status());
  bool ReachesBack =
      std::ranges::any_of(Trail->Records, [&](const AuditRecord &R) {
        return R.TimeMicros < Since;
      });
  std::erase_if(Trail->Records,
                [&](const AuditRecord &R) { return R.TimeMicros < Since; });
  printAudit(Call.Terminal, Trail->Records);
  if (!ReachesBack)
    warnIfTruncated(Call, *Trail, Limit);
  return ExitStatus::Success;
}

// Marks the members that live nodes know to be deposed. Successors serve
// before the store records it, for as long as the store is down.
void applyFacts(EventLoop &Loop, ownership::Assignment &Recorded) {
  for (const NodeStatus &Status :
       fetchStatuses(Loop, membersOf(Recorded), NodeAnswerLimit))
    for (MemberId Id : Status.Gone)
      if (ownership::Member *Member = Recorded.find(Id))
        Member->Deposed = true;
}

absl::StatusOr<Explanation> readExplanation(const Invocation &Call,
                                            StoreSession &Store) {
  auto Current = readCurrent(Store);
  if (!Current.ok())
    return Current.status();
  auto Services = parsePublished(Current->Published);
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
  applyFacts(Call.Loop, Recorded);
  return explainKey(*Services, Recorded, Call.Arguments[0], Call.Arguments[1]);
}

void printExplanation(const Console &To, const Explanation &Value,
                      const json &Members,
                      const std::vector<AuditRecord> &Records) {
  const ExplainedMember *Acting = Value.acting();
  To.Out << "service     " << Value.Service
         << (Value.DividedByKey
                 ? ""
                 : " (not divided by key: the slice of an operation "
                   "identifier, only for non-idempotent requests)")
         << "\nkey         " << Value.Key << "\nslice       " << Value.Slice
         << "\nowner       "
         << (Acting ? absl::StrCat("member ", Acting->Member.Id.Value, " ",
                                   Acting->Member.Name, " at ",
                                   Acting->Member.HttpAddress)
                    : std::string("none"))
         << "\nfence       "
         << (Acting ? absl::StrCat(Acting->Number.Value) : std::string("-"))
         << "\nassignment  version " << Value.AssignmentVersion << "\n\n";
  printRecords(To,
               {{"part", "PART"},
                {"member", "MEMBER"},
                {"node", "NODE"},
                {"address", "ADDRESS"},
                {"region", "REGION"},
                {"failure_domain", "FAILURE DOMAIN"},
                {"fence", "FENCE"},
                {"state", "STATE"}},
               Members);
  To.Out << '\n';
  printAudit(To, Records);
}

ExitStatus explain(const Invocation &Call) {
  std::uint64_t Limit = limitOf(Call, SearchedRecords);
  StoreSession Store(Call.Loop, Call.store());
  auto Found = readExplanation(Call, Store);
  if (!Found.ok())
    return Call.Terminal.fail(Found.status());
  auto Trail = readAuditTrail(Store, Limit);
  if (!Trail.ok())
    return Call.Terminal.fail(Trail.status());
  std::vector<std::string> Subjects{sliceSubject(Found->Service, Found->Slice)};
  if (!Found->Succession.empty())
    Subjects.push_back(memberSubject(Found->Succession.front().Member.Id));
  if (const ExplainedMember *Acting = Found->acting())
    Subjects.push_back(memberSubject(Acting->Member.Id));
  std::erase_if(Trail->Records, [&](const AuditRecord &Record) {
    return !concernsSlices(Record, Found->Service) &&
           std::ranges::none_of(Subjects, [&](const std::string &Subject) {
             return mentions(Record, Subject);
           });
  });
  json Out = explanationJson(*Found);
  if (Call.Terminal.Json) {
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

void addLimit(po::options_description &Options) {
  Options.add_options()("limit", po::value<std::string>()->value_name("N"),
                        "reads the latest N writes, at most 5000; default 50, "
                        "or 500 where records are searched");
}

void addAudit(po::options_description &Options) {
  addLimit(Options);
  Options.add_options()("since", po::value<std::string>()->value_name("TIME"),
                        "only records since a UTC time, such as "
                        "2026-01-31T08:00:00Z, or an age, such as 10m");
}

constexpr Command Commands[] = {
    {"audit", "", "lists audit records, latest first", addAudit, audit},
    {"explain", "SERVICE KEY", "shows the owner of a key and what led there",
     addLimit, explain},
};

} // namespace

std::span<const Command> auditCommands() { return Commands; }

} // namespace orioledoor::ctl
