// The table of operations, the rule of provable novelty and the MessagePack
// form of the table.
#include "orioledoor/requests/operation_table.h"

#include <msgpack.hpp>

#include <algorithm>
#include <vector>

#include "orioledoor/base/error.h"

namespace orioledoor::requests {
namespace {

// Rises when the layout changes.
constexpr std::uint32_t FormatVersion = 1;
// The caller's clock and the owner's may drift apart by 1% each: 1/50.
constexpr int DriftPart = 50;

} // namespace

OperationTable OperationTable::startHistory(std::uint64_t HistoryId,
                                            bool Complete, Instant Now) {
  OperationTable Table;
  Table.HistoryId = HistoryId;
  Table.Complete = Complete;
  Table.HistoryStart = Now;
  return Table;
}

Novelty OperationTable::judge(const Forward &Sent, Instant Now) const {
  // A Forward that was delayed past a loss of the table may already have been
  // sent again and run under the lost history.
  if (Sent.History != this->HistoryId && !(this->Complete && Sent.History == 0))
    return Novelty::WrongHistory;
  if (Sent.Age && *Sent.Age >= KeptFor)
    return Novelty::TooOld;
  if (Sent.Attempt == 1)
    return Novelty::New;
  // A Forward that was long on its way must not profit from what the history
  // aged meanwhile, so the age at sending counts.
  Duration Age = std::min(this->historyAge(Now), Sent.HistoryAge);
  if (Sent.Age && (this->Complete || *Sent.Age + *Sent.Age / DriftPart < Age))
    return Novelty::New;
  if (!Sent.Age && Sent.Attempt == 0 && (this->Complete || Age > KeptFor))
    return Novelty::New;
  return Novelty::Uncertain;
}

Operation *OperationTable::find(const std::string &OperationId, Instant Now) {
  this->expire(Now);
  auto Found = this->Operations.find(OperationId);
  return Found == this->Operations.end() ? nullptr : &Found->second;
}

void OperationTable::insert(const std::string &OperationId,
                            std::uint64_t Digest, std::uint64_t WorkId,
                            Instant Now) {
  Operation &Added = this->Operations[OperationId];
  Added.Digest = Digest;
  Added.WorkId = WorkId;
  Added.InsertedAt = Now;
  this->Order.emplace_back(Now, OperationId);
}

void OperationTable::erase(const std::string &OperationId) {
  this->Operations.erase(OperationId);
}

void OperationTable::expire(Instant Now) {
  while (!this->Order.empty() && Now - this->Order.front().first > KeptFor) {
    auto [InsertedAt, Id] = std::move(this->Order.front());
    this->Order.pop_front();
    auto Found = this->Operations.find(Id);
    if (Found == this->Operations.end() ||
        Found->second.InsertedAt != InsertedAt)
      continue;
    if (Found->second.State == OperationState::Running) {
      // Deadlines are far below KeptFor, so the owner ends it soon.
      Found->second.InsertedAt = Now;
      this->Order.emplace_back(Now, std::move(Id));
    } else {
      this->Operations.erase(Found);
    }
  }
}

std::string OperationTable::encode(Instant Now) const {
  std::vector<std::pair<const std::string *, const Operation *>> Listed;
  Listed.reserve(this->Operations.size());
  for (const auto &[InsertedAt, Id] : this->Order) {
    auto Found = this->Operations.find(Id);
    if (Found != this->Operations.end() &&
        Found->second.InsertedAt == InsertedAt)
      Listed.emplace_back(&Id, &Found->second);
  }
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Out(Buffer);
  Out.pack_array(5);
  Out.pack(FormatVersion);
  Out.pack(this->HistoryId);
  Out.pack(this->Complete);
  Out.pack(static_cast<std::int64_t>((Now - this->HistoryStart).count()));
  Out.pack_array(static_cast<std::uint32_t>(Listed.size()));
  for (const auto &[Id, Held] : Listed) {
    OperationState State = Held->State == OperationState::Running
                               ? OperationState::Unknown
                               : Held->State;
    Out.pack_array(7);
    Out.pack(*Id);
    Out.pack(Held->Digest);
    Out.pack(static_cast<std::uint8_t>(State));
    Out.pack(static_cast<std::int64_t>((Now - Held->InsertedAt).count()));
    Out.pack(Held->Answered.Status);
    Out.pack_array(
        static_cast<std::uint32_t>(Held->Answered.Headers.size() * 2));
    for (const Header &Line : Held->Answered.Headers) {
      Out.pack(Line.Name);
      Out.pack(Line.Value);
    }
    Out.pack(Held->Answered.Body);
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
      Operation Held;
      auto Id = Columns.at(0).as<std::string>();
      Held.Digest = Columns.at(1).as<std::uint64_t>();
      Held.State = Columns.at(2).as<std::uint8_t>() ==
                           static_cast<std::uint8_t>(OperationState::Answered)
                       ? OperationState::Answered
                       : OperationState::Unknown;
      Held.InsertedAt = Now - Duration(Columns.at(3).as<std::int64_t>());
      Held.Answered.Status = Columns.at(4).as<int>();
      auto Lines = Columns.at(5).as<std::vector<std::string>>();
      for (std::size_t I = 0; I + 1 < Lines.size(); I += 2)
        Held.Answered.Headers.push_back(Header{Lines[I], Lines[I + 1]});
      Held.Answered.Body = Columns.at(6).as<std::string>();
      Table.Order.emplace_back(Held.InsertedAt, Id);
      Table.Operations.insert_or_assign(std::move(Id), std::move(Held));
    }
    return Table;
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kDataLoss, "decode operation table", "",
                     Error.what());
  }
}

} // namespace orioledoor::requests
