// Reads the audit keys in descending order, that is, latest first.
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

bool containsWholeWords(std::string_view Text, std::string_view Subject) {
  for (std::size_t Position = Text.find(Subject);
       Position != std::string_view::npos;
       Position = Text.find(Subject, Position + 1)) {
    std::size_t End = Position + Subject.size();
    bool AtWordStart =
        Position == 0 ||
        std::isalnum(static_cast<unsigned char>(Text[Position - 1])) == 0;
    bool AtWordEnd = End == Text.size() ||
                     std::isalnum(static_cast<unsigned char>(Text[End])) == 0;
    if (AtWordStart && AtWordEnd)
      return true;
  }
  return false;
}

AuditRecord makeUnreadableRecord(const StoreEntry &Entry,
                                 const absl::Status &Error) {
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
      Trail.Records.push_back(makeUnreadableRecord(Entry, Records.status()));
  }
  return Trail;
}

bool mentionsSubject(const AuditRecord &Record, std::string_view Subject) {
  std::array<std::string_view, 3> Fields{Record.Subject, Record.From,
                                         Record.To};
  return std::ranges::any_of(Fields, [&](std::string_view Text) {
    return containsWholeWords(Text, Subject);
  });
}

bool coversSlicesOf(const AuditRecord &Record, std::string_view Service) {
  std::string ServiceSuffix = " slices of " + std::string(Service);
  return Record.Subject.ends_with(" slices") ||
         Record.Subject.ends_with(ServiceSuffix);
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

void printAudit(const Console &Terminal,
                const std::vector<AuditRecord> &Records) {
  printRecords(Terminal,
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
