// Detects that the store came back from an older copy, from the era that it
// states in every answer, and makes revisions comparable across eras.
//
//   StoreEra Era;
//   switch (Era.observe(Answered, Reply.Era)) {
//   case StoreEra::Verdict::Risen: ...   // everything is written and read
//   again case StoreEra::Verdict::Old: ...     // the answer does not count
//   case StoreEra::Verdict::Current: Era.qualify(Reply);
//   }
//
// A store that came back gives revisions out again. Inside a node, and in the
// messages between nodes, a revision is therefore a qualified one: the era in
// the upper bits, the store's revision in the lower ones. Qualified revisions
// of a later era are greater than all of an earlier era. With a store that
// states no era, both kinds are equal.
#ifndef ORIOLEDOOR_SIDECAR_STORE_ERA_H
#define ORIOLEDOOR_SIDECAR_STORE_ERA_H

#include <cstdint>
#include <optional>

#include "orioledoor/store/store_types.h"

namespace orioledoor::sidecar {

// 2^44 revisions last for 460 years at the store's 1,200 writes/s.
inline constexpr int RevisionBits = 44;
inline constexpr std::int64_t MaxStoreEra =
    (std::int64_t{1} << (62 - RevisionBits)) - 1;

// Returns the era of a qualified revision.
constexpr std::int64_t eraOf(std::int64_t Qualified) {
  return Qualified >> RevisionBits;
}
// Returns the store's revision of a qualified one.
constexpr std::int64_t storeRevision(std::int64_t Qualified) {
  return Qualified & ((std::int64_t{1} << RevisionBits) - 1);
}
// Returns the qualified revision. Revision 0, which stands for an absent key,
// is greater than all revisions of earlier eras too.
constexpr std::int64_t qualifiedRevision(std::int64_t Era,
                                         std::int64_t Revision) {
  return (Era << RevisionBits) + Revision;
}

// The status of a call whose answer is of an earlier era: what it did is lost
// or not.
absl::Status earlierEraError();

// Value type; not thread-safe. All calls take constant time, except qualify(),
// which is linear in the entries.
class StoreEra {
public:
  enum class Verdict {
    // No answer, or one of the known era.
    Current,
    // The first answer of a later era: the store lost its last changes.
    Risen,
    // An answer that was sent before the last rise, or one whose era is
    // unreadable (negative or above MaxStoreEra).
    Old,
  };

  // Handles the era of a reply or watch update; 0: not stated. Answered is
  // false if there was no response of the store. The first answer sets the
  // known era; it is no rise.
  Verdict observe(bool Answered, std::int64_t Era);

  // Returns whether the store has answered.
  bool isKnown() const { return this->Known.has_value(); }
  // Returns the known era; 0 if none was stated.
  std::int64_t known() const { return this->Known.value_or(0); }

  // Qualifies the revisions of an answer of the known era.
  void qualify(StoreReply &Reply) const;
  void qualify(StoreWatchUpdate &Update) const;
  // Replaces the qualified revisions in a request by those of the store.
  static void toStoreRevisions(StoreRequest &Request);

private:
  std::optional<std::int64_t> Known;
};

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_STORE_ERA_H
