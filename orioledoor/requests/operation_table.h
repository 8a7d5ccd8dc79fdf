// What a slice's owner remembers of non-idempotent operations, so that each
// runs at most once.
//
//   OperationTable Table = OperationTable::startHistory(Id, Complete, Now);
//   if (Table.checkReplay(Operation, Now) == ReplayCheck::New)
//     Table.insert(Operation.OperationId, Digest, Now);
//
// The table is complete from its history start on. It moves with the slice in
// a planned move; a successor after a loss starts a new history.
#ifndef ORIOLEDOOR_REQUESTS_OPERATION_TABLE_H
#define ORIOLEDOOR_REQUESTS_OPERATION_TABLE_H

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "absl/status/statusor.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/requests/message.h"

namespace orioledoor::requests {

// Whether an operation that the table does not hold may run.
enum class ReplayCheck {
  New,
  // It is older than the time for which operations are remembered.
  TooOld,
  // An earlier owner may have run it.
  Uncertain,
  // The Forward was sent under another history: a late copy, or an entry node
  // that does not know the present one.
  WrongHistory,
};

enum class OperationState : std::uint8_t { Running, Answered, Unknown };

struct Operation {
  // Of service, method, key, path and body.
  std::uint64_t Digest = 0;
  OperationState State = OperationState::Running;
  // While running: the record of the request that runs it.
  std::uint64_t OwnerRequestId = 0;
  Instant InsertedAt;
  // While answered. Headers and body as the target sent them.
  HttpAnswer Response;
};

// Not thread-safe.
class OperationTable {
public:
  static constexpr Duration RetentionTime = std::chrono::minutes(10);

  // An empty table whose history begins now. Complete says that the slice
  // itself began, so that no earlier operation exists. HistoryId must never
  // have been used for the slice before and must not be 0.
  static OperationTable startHistory(std::uint64_t HistoryId, bool Complete,
                                     Instant Now);

  // Reads what encode wrote; kDataLoss for anything else.
  static absl::StatusOr<OperationTable> decode(std::string_view Bytes,
                                               Instant Now);

  // The table as ages relative to Now. Operations that run are written as
  // unknown. Linear.
  std::string encode(Instant Now) const;

  // Judges an operation that find does not return. Constant.
  ReplayCheck checkReplay(const Forward &Received, Instant Now) const;

  // Null if not held. Amortised constant.
  Operation *find(const std::string &OperationId, Instant Now);

  // Adds a running operation that find did not return. Amortised constant.
  void insert(const std::string &OperationId, std::uint64_t Digest,
              std::uint64_t OwnerRequestId, Instant Now);

  // Forgets an operation that did not run.
  void erase(const std::string &OperationId);

  // Drops what was inserted before Now - RetentionTime and does not run.
  // Amortised constant.
  void expire(Instant Now);

  std::uint64_t historyId() const { return this->HistoryId; }
  Duration historyAge(Instant Now) const { return Now - this->HistoryStart; }

private:
  // Never 0, and never the same for two histories of a slice.
  std::uint64_t HistoryId = 0;
  // No operation before HistoryStart exists.
  bool Complete = false;
  Instant HistoryStart;
  std::unordered_map<std::string, Operation> Operations;
  // Insertions in order. An id that was erased and inserted again appears
  // twice.
  std::deque<std::pair<Instant, std::string>> InsertionOrder;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_OPERATION_TABLE_H
