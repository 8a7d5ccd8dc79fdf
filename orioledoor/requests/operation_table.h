// Record of the non-idempotent operations of a slice, kept by its owner so that
// each operation runs at most once.
//
//   OperationTable Table = OperationTable::startHistory(Id, Complete, Now);
//   if (Table.checkReplay(Operation, Now) == ReplayCheck::New)
//     Table.insert(Operation.OperationId, Digest, Now);
//
// The table holds every operation since the start of its history. It moves with
// the slice in a planned move; a successor after a loss starts a new history
// with an empty table.
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

// Whether an operation that is not in the table may run.
enum class ReplayCheck {
  New,
  // Older than the retention time of the table.
  TooOld,
  // An earlier owner may have run the operation.
  Uncertain,
  // The Forward names another history: it is a delayed copy, or its entry node
  // does not know the current history.
  WrongHistory,
};

enum class OperationState : std::uint8_t { Running, Answered, Unknown };

struct Operation {
  // Hash of service, method, key, path and body.
  std::uint64_t Digest = 0;
  OperationState State = OperationState::Running;
  // While running: the OwnerRequest record that runs the operation.
  std::uint64_t OwnerRequestId = 0;
  Instant InsertedAt;
  // Once answered: headers and body as the target sent them.
  HttpAnswer Response;
};

// Not thread-safe.
class OperationTable {
public:
  static constexpr Duration RetentionTime = std::chrono::minutes(10);

  // Returns an empty table whose history starts at Now. Complete means that the
  // slice itself is new, so that no earlier operation exists. HistoryId must
  // not be 0 and must never have been used for the slice before.
  static OperationTable startHistory(std::uint64_t HistoryId, bool Complete,
                                     Instant Now);

  // Reads the output of encode. Returns kDataLoss for any other input.
  static absl::StatusOr<OperationTable> decode(std::string_view Bytes,
                                               Instant Now);

  // Serializes the table with times as ages relative to Now. Running operations
  // are written as Unknown. Linear.
  std::string encode(Instant Now) const;

  // Checks an operation that find does not return. Constant.
  ReplayCheck checkReplay(const Forward &Received, Instant Now) const;

  // Returns null if the operation is not in the table. Amortized constant.
  Operation *find(const std::string &OperationId, Instant Now);

  // Adds an operation in state Running; find must not return it. Amortized
  // constant.
  void insert(const std::string &OperationId, std::uint64_t Digest,
              std::uint64_t OwnerRequestId, Instant Now);

  // Removes an operation that did not run.
  void erase(const std::string &OperationId);

  // Removes operations that were inserted before Now - RetentionTime and are
  // not running. Amortized constant.
  void expire(Instant Now);

  std::uint64_t historyId() const { return this->HistoryId; }
  Duration historyAge(Instant Now) const { return Now - this->HistoryStart; }

private:
  // Never 0, and unique among the histories of the slice.
  std::uint64_t HistoryId = 0;
  // The slice began at HistoryStart, so no earlier operation exists.
  bool Complete = false;
  Instant HistoryStart;
  std::unordered_map<std::string, Operation> Operations;
  // Insertions in order. An identifier that was erased and inserted again
  // appears twice.
  std::deque<std::pair<Instant, std::string>> InsertionOrder;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_OPERATION_TABLE_H
