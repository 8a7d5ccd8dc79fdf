// The operation table, the check for replayed operations and the MessagePack
// encoding of the table.
#include "orioledoor/requests/operation_table.h"

#include <msgpack.hpp>

#include <algorithm>
#include <vector>

#include "orioledoor/base/error.h"

namespace orioledoor::requests {
namespace {

// Incremented when the layout changes.
constexpr std::uint32_t FormatVersion = 1;
// Clocks of the caller and the owner may drift by 1% each, so ages may differ
// by 1/50.
constexpr int ClockDriftDivisor = 50;

} // namespace

OperationTable OperationTable::startHistory(std::uint64_t HistoryId,
                                            bool Complete, Instant Now) {
  OperationTable Table;
  Table.HistoryId = HistoryId;
  Table.Complete = Complete;
  Table.HistoryStart = Now;
  return Table;
}

ReplayCheck OperationTable::checkReplay(const Forward &Received,
                                        Instant Now) const {
  // The operation of a Forward that was delayed past a loss of the table may
  // already have been sent again and run under the lost history.
  if (Received.History != this->HistoryId &&
      !(this->Complete && Received.History == 0))
    return ReplayCheck::WrongHistory;
  if (Received.Age && *Received.Age >= RetentionTime)
    return ReplayCheck::TooOld;
  if (Received.Attempt == 1)
    return ReplayCheck::New;
  // The history must not seem older because the Forward was delayed, so its age
  // at the time of sending counts.
  Duration Age = std::min(this->historyAge(Now), Received.HistoryAge);
  if (Received.Age && (this->Complete ||
                       *Received.Age + *Received.Age / ClockDriftDivisor < Age))
    return ReplayCheck::New;
  if (!Received.Age && Received.Attempt == 0 &&
      (this->Complete || Age > RetentionTime))
    return ReplayCheck::New;
  return ReplayCheck::Uncertain;
}

Operation *OperationTable::find(const std::string &OperationId, Instant Now) {
  this->expire(Now);
  auto Found = this->Operations.find(OperationId);
  return Found == this->Operations.end() ? nullptr : &Found->second;
}

void OperationTable::insert(const std::string &OperationId,
                            std::uint64_t Digest, std::uint64_t OwnerRequestId,
                            Instant Now) {
  Operation &Added = this->Operations[OperationId];
  Added.Digest = Digest;
  Added.OwnerRequestId = OwnerRequestId;
  Added.InsertedAt = Now;
  this->InsertionOrder.emplace_back(Now, OperationId);
}

void OperationTable::erase(const std::string &OperationId) {
  this->Operations.erase(OperationId);
}

void OperationTable::expire(Instant Now) {
  while (!this->InsertionOrder.empty() &&
         Now - this->InsertionOrder.front().first > RetentionTime) {
    auto [InsertedAt, Id] = std::move(this->InsertionOrder.front());
    this->InsertionOrder.pop_front();
    auto Found = this->Operations.find(Id);
    if (Found == this->Operations.end() ||
        Found->second.InsertedAt != InsertedAt)
      continue;
    if (Found->second.State == OperationState::Running) {
      // Deadlines are far below RetentionTime, so a running operation ends soon
      // and is expired later.
      Found->second.InsertedAt = Now;
      this->InsertionOrder.emplace_back(Now, std::move(Id));
    } else {
      this->Operations.erase(Found);
    }
  }
}

std::string OperationTable::encode(Instant Now) const {
  std::vector<std::pair<const std::string *, const Operation *>> Entries;
  Entries.reserve(this->Operations.size());
  for (const auto &[InsertedAt, Id] : this->InsertionOrder) {
    auto Found = this->Operations.find(Id);
    if (Found != this->Operations.end() &&
        Found->second.InsertedAt == InsertedAt)
      Entries.emplace_back(&Id, &Found->second);
  }
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Out(Buffer);
  Out.pack_array(5);
  Out.pack(FormatVersion);
  Out.pack(this->HistoryId);
  Out.pack(this->Complete);
  Out.pack(static_cast<std::int64_t>((Now - this->HistoryStart).count()));
  Out.pack_array(static_cast<std::uint32_t>(Entries.size()));
  for (const auto &[Id, Stored] : Entries) {
    OperationState State = Stored->State == OperationState::Running
                               ? OperationState::Unknown
                               : Stored->State;
    Out.pack_array(7);
    Out.pack(*Id);
    Out.pack(Stored->Digest);
    Out.pack(static_cast<std::uint8_t>(State));
    Out.pack(static_cast<std::int64_t>((Now - Stored->InsertedAt).count()));
    Out.pack(Stored->Response.Status);
    Out.pack_array(
        static_cast<std::uint32_t>(Stored->Response.Headers.size() * 2));
    for (const Header &Line : Stored->Response.Headers) {
      Out.pack(Line.Name);
      Out.pack(Line.Value);
    }
    Out.pack(Stored->Response.Body);
  }
  return {Buffer.data(), Buffer.size()};
}

absl::StatusOr<OperationTable> OperationTable::decode(std::string_view Bytes,
                                                      Instant Now) {
  try {
    msgpack::object_handle Handle = msgpack::unpack(Bytes.data(), Bytes.size());
    auto Fields = Handle.get().as<std::vector<msgpack::object>>();
    if (Fields.at(0).as<std::uint32_t>() != FormatVersion)
      return makeError(absl::StatusCode::kDataLoss, "decode operation table",
                       "", "unknown format version");
    OperationTable Table;
    Table.HistoryId = Fields.at(1).as<std::uint64_t>();
    Table.Complete = Fields.at(2).as<bool>();
    Table.HistoryStart = Now - Duration(Fields.at(3).as<std::int64_t>());
    for (const auto &Row : Fields.at(4).as<std::vector<msgpack::object>>()) {
      auto Columns = Row.as<std::vector<msgpack::object>>();
      Operation Stored;
      auto Id = Columns.at(0).as<std::string>();
      Stored.Digest = Columns.at(1).as<std::uint64_t>();
      Stored.State = Columns.at(2).as<std::uint8_t>() ==
                             static_cast<std::uint8_t>(OperationState::Answered)
                         ? OperationState::Answered
                         : OperationState::Unknown;
      Stored.InsertedAt = Now - Duration(Columns.at(3).as<std::int64_t>());
      Stored.Response.Status = Columns.at(4).as<int>();
      auto Lines = Columns.at(5).as<std::vector<std::string>>();
      for (std::size_t I = 0; I + 1 < Lines.size(); I += 2)
        Stored.Response.Headers.push_back(Header{Lines[I], Lines[I + 1]});
      Stored.Response.Body = Columns.at(6).as<std::string>();
      Table.InsertionOrder.emplace_back(Stored.InsertedAt, Id);
      Table.Operations.insert_or_assign(std::move(Id), std::move(Stored));
    }
    return Table;
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kDataLoss, "decode operation table", "",
                     Error.what());
  }
}

} // namespace orioledoor::requests
