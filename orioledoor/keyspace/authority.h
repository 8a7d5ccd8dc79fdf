// Until when a node may let its target hold the keys that the record gives it.
//
// Authority lasts AuthorityTime from the sending of the last store call that
// proved the node's entry alive. The record marks a target as lost only in a
// transaction that requires the entry to be absent, so no such call succeeds
// after the mark, and whoever waits AuthorityTime from seeing the mark knows
// that every hold has ended.
//
//   Own.entryWritten(SentAt);   // the entry was put under a lease
//   Own.recordRead();           // the key maps were read after that
//   Own.renewed(SentAt);        // a later renewal succeeded
//   if (Now < Own.until()) ...
#ifndef ORIOLEDOOR_KEYSPACE_AUTHORITY_H
#define ORIOLEDOOR_KEYSPACE_AUTHORITY_H

#include <algorithm>

#include "orioledoor/base/instant.h"

namespace orioledoor::keyspace {

// Value type.
class Authority {
public:
  explicit Authority(Duration Time) : Time(Time) {}

  void entryWritten(Instant SentAt) {
    this->Proof = SentAt;
    this->Current = false;
  }
  void recordRead() {
    this->Current = true;
    this->extend();
  }
  void renewed(Instant SentAt) {
    this->Proof = std::max(this->Proof, SentAt);
    this->extend();
  }
  // The entry's lease ended. What was granted until now still holds.
  void entryLost() { this->Current = false; }

  // Instant() before the first proof.
  Instant until() const { return this->End; }
  // The entry is alive and the record was read since it was written.
  bool current() const { return this->Current; }

private:
  void extend() {
    if (this->Current && this->Proof != Instant())
      this->End = std::max(this->End, this->Proof + this->Time);
  }

  Duration Time;
  Instant Proof;
  Instant End;
  bool Current = false;
};

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_AUTHORITY_H
