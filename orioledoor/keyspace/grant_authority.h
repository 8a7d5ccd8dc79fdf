// Tracks the time until which a node may grant the keys that the key maps
// assign to its target.
//
// The authority lasts for a fixed lifetime, counted from the moment at which
// the last store call that proved the node's entry alive was sent. A target is
// marked as lost only by a transaction that requires the entry to be absent, so
// no such call succeeds after the mark. Any node that waits for the lifetime
// after it has seen the mark therefore knows that every hold of the target has
// ended.
//
//   Authority.onEntryWritten(SentAt);   // the entry was put under a lease
//   Authority.onKeyMapsRead();          // the key maps were read after that
//   Authority.onLeaseRenewed(SentAt);   // a later renewal succeeded
//   if (Now < Authority.expiresAt()) ...
#ifndef ORIOLEDOOR_KEYSPACE_GRANT_AUTHORITY_H
#define ORIOLEDOOR_KEYSPACE_GRANT_AUTHORITY_H

#include <algorithm>

#include "orioledoor/base/instant.h"

namespace orioledoor::keyspace {

// Value type; not thread-safe.
class GrantAuthority {
public:
  explicit GrantAuthority(Duration Lifetime) : Lifetime(Lifetime) {}

  void onEntryWritten(Instant SentAt) {
    this->LastProofAt = SentAt;
    this->Established = false;
  }
  void onKeyMapsRead() {
    this->Established = true;
    this->extend();
  }
  void onLeaseRenewed(Instant SentAt) {
    this->LastProofAt = std::max(this->LastProofAt, SentAt);
    this->extend();
  }
  // The lease of the entry ended. The authority that was gained before stays
  // valid until it expires.
  void onEntryLost() { this->Established = false; }

  // Returns Instant() before the first proof.
  Instant expiresAt() const { return this->ExpiresAt; }
  // Returns whether the entry is alive and the key maps were read since it was
  // written.
  bool isEstablished() const { return this->Established; }

private:
  void extend() {
    if (this->Established && this->LastProofAt != Instant())
      this->ExpiresAt =
          std::max(this->ExpiresAt, this->LastProofAt + this->Lifetime);
  }

  Duration Lifetime;
  Instant LastProofAt;
  Instant ExpiresAt;
  bool Established = false;
};

} // namespace orioledoor::keyspace

#endif // ORIOLEDOOR_KEYSPACE_GRANT_AUTHORITY_H
