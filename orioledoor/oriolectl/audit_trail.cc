// Reads the audit keys from the end.
#include "orioledoor/oriolectl/audit_trail.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>

#include <nlohmann/json.hpp>

#include "orioledoor/oriolectl/store_session.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ctl {
namespace {

bool appearsIn(std::string_view Text, std::string_view Subject) {
  for (std::size_t At = Text.find(Subject); At != std::string_view::npos;
       At = Text.find(Subject, At + 1)) {
    std::size_t End = At + Subject.size();
    bool Starts =
        At == 0 || std::isalnum(static_cast<unsigned char>(Text[At - 1])) == 0;
    bool Ends = End == Text.size() ||
                std::isalnum(static_cast<unsigned char>(Text[End])) == 0;
    if (Starts && Ends)
      return true;
  }
  return false;
}

AuditRecord unreadable(const StoreEntry &Entry, const absl::Status &Error) {
  AuditRecord Record;
  Record.Subject = Entry.Key;
  Record.Outcome = std::string(Error.message());
  return Record;
}

} // namespace

absl::StatusOr<AuditTrail> readAuditTrail(StoreSession &Store,
                                          std::uint64_t Limit) {
  auto Entries = Store.read({.Key = keys::AuditPrefix,
                             .Prefix = true,
                             .Limit = static_cast<std::int64_t>(Limit),
                             .Descending = true});
  if (!Entries.ok())
    return Entries.status();
  AuditTrail Trail;
  Trail.Truncated = Entries->size() >= Limit;
  for (const StoreEntry &Entry : *Entries) {
    auto Records = decodeAuditRecords(Entry.Value);
    if (Records.ok())
      std::ranges::move(*Records, std::back_inserter(Trail.Records));
    else
      Trail.Records.push_back(unreadable(Entry, Records.status()));
  }
  return Trail;
}

bool mentions(const AuditRecord &Record, std::string_view Subject) {
  std::array<std::string_view, 3> Texts{Record.Subject, Record.From, Record.To};
  return std::ranges::any_of(
      Texts, [&](std::string_view Text) { return appearsIn(Text, Subject); });
}

bool concernsSlices(const AuditRecord &Record, std::string_view Service) {
  std::string Named = " slices of " + std::string(Service);
  return Record.Subject.ends_with(" slices") || Record.Subject.ends_with(Named);
}

nlohmann::json auditJson(const std::vector<AuditRecord> &Records) {
  nlohmann::json Out = nlohmann::json::array();
  for (const AuditRecord &Record : Records)
    Out.push_back({{"time", formatTime(Record.TimeMicros)},
                   {"time_us", Record.TimeMicros},
                   {"actor", Record.Actor},
                   {"action", Record.Action},
                   {"subject", Record.Subject},
                   {"from", Record.From},
                   {"to", Record.To},
                   {"reason", Record.Reason},
                   {"outcome", Record.Outcome}});
  return Out;
}

void printAudit(const Console &To, const std::vector<AuditRecord> &Records) {
  printRecords(To,
               {{"time", "TIME"},
                {"actor", "ACTOR"},
                {"action", "ACTION"},
                {"subject", "SUBJECT"},
                {"from", "FROM"},
                {"to", "TO"},
                {"reason", "REASON"},
                {"outcome", "OUTCOME"}},
               auditJson(Records));
}

} // namespace orioledoor::ctl
