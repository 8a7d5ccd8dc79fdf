// MessagePack encoding of the assignment. Owners and fencing numbers are
// written as flat arrays; 65,536 slices take about 400 KB.
#include "orioledoor/ownership/assignment.h"

#include <msgpack.hpp>

#include <string>

#include "orioledoor/base/error.h"

namespace orioledoor::ownership {
namespace {

// Increases when the layout changes. A process rejects any other version.
constexpr std::uint32_t FormatVersion = 1;

using Packer = msgpack::packer<msgpack::sbuffer>;

void packMember(Packer &Out, const Member &Value) {
  Out.pack_array(15);
  Out.pack(Value.Id.Value);
  Out.pack(Value.Name);
  Out.pack(Value.Token);
  Out.pack(Value.PeerAddress);
  Out.pack(Value.HttpAddress);
  Out.pack(Value.Region);
  Out.pack(Value.FailureDomain);
  Out.pack(Value.Service.Value);
  Out.pack(Value.Slots);
  Out.pack(Value.AdmittedAt);
  Out.pack_array(static_cast<std::uint32_t>(Value.Guardians.size() * 2));
  for (const Guardian &G : Value.Guardians) {
    Out.pack(G.Member.Value);
    Out.pack(G.Term);
  }
  Out.pack_array(static_cast<std::uint32_t>(Value.Successors.size()));
  for (const std::vector<MemberId> &Bucket : Value.Successors) {
    Out.pack_array(static_cast<std::uint32_t>(Bucket.size()));
    for (MemberId Id : Bucket)
      Out.pack(Id.Value);
  }
  Out.pack(Value.Leaving);
  Out.pack(Value.Deposed);
  Out.pack(Value.SelfPermittedUntil);
}

Member readMember(const msgpack::object &In) {
  auto Fields = In.as<std::vector<msgpack::object>>();
  Member Value;
  Value.Id.Value = Fields.at(0).as<std::uint32_t>();
  Value.Name = Fields.at(1).as<std::string>();
  Value.Token = Fields.at(2).as<std::uint64_t>();
  Value.PeerAddress = Fields.at(3).as<std::string>();
  Value.HttpAddress = Fields.at(4).as<std::string>();
  Value.Region = Fields.at(5).as<std::string>();
  Value.FailureDomain = Fields.at(6).as<std::string>();
  Value.Service.Value = Fields.at(7).as<std::uint32_t>();
  Value.Slots = Fields.at(8).as<std::uint32_t>();
  Value.AdmittedAt = Fields.at(9).as<std::uint64_t>();
  auto Guardians = Fields.at(10).as<std::vector<std::uint64_t>>();
  for (std::size_t I = 0; I + 1 < Guardians.size(); I += 2)
    Value.Guardians.push_back(Guardian{
        MemberId{static_cast<std::uint32_t>(Guardians[I])}, Guardians[I + 1]});
  auto Buckets = Fields.at(11).as<std::vector<std::vector<std::uint32_t>>>();
  for (const std::vector<std::uint32_t> &Bucket : Buckets) {
    std::vector<MemberId> &List = Value.Successors.emplace_back();
    for (std::uint32_t Id : Bucket)
      List.push_back(MemberId{Id});
  }
  Value.Leaving = Fields.at(12).as<bool>();
  Value.Deposed = Fields.at(13).as<bool>();
  Value.SelfPermittedUntil = Fields.at(14).as<std::uint64_t>();
  return Value;
}

void packService(Packer &Out, const ServiceSlices &Value) {
  Out.pack_array(2);
  Out.pack(Value.Service.Value);
  Out.pack_array(static_cast<std::uint32_t>(Value.Slices.size() * 3));
  for (const SliceOwner &Slice : Value.Slices) {
    Out.pack(Slice.Owner.Value);
    Out.pack(Slice.FencingNumber.Value);
    Out.pack(Slice.MoveTarget.Value);
  }
}

ServiceSlices readService(const msgpack::object &In) {
  auto Fields = In.as<std::vector<msgpack::object>>();
  ServiceSlices Value;
  Value.Service.Value = Fields.at(0).as<std::uint32_t>();
  auto Numbers = Fields.at(1).as<std::vector<std::uint32_t>>();
  Value.Slices.reserve(Numbers.size() / 3);
  for (std::size_t I = 0; I + 2 < Numbers.size(); I += 3)
    Value.Slices.push_back(SliceOwner{
        MemberId{Numbers[I]}, Fence{Numbers[I + 1]}, MemberId{Numbers[I + 2]}});
  return Value;
}

} // namespace

std::string encodeAssignment(const Assignment &Value) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  Out.pack_array(6);
  Out.pack(FormatVersion);
  Out.pack(Value.Version);
  Out.pack(Value.NextMemberId);
  Out.pack(Value.Coordinator.Value);
  Out.pack_array(static_cast<std::uint32_t>(Value.Members.size()));
  for (const Member &M : Value.Members)
    packMember(Out, M);
  Out.pack_array(static_cast<std::uint32_t>(Value.Services.size()));
  for (const ServiceSlices &Service : Value.Services)
    packService(Out, Service);
  return {Buffer.data(), Buffer.size()};
}

absl::StatusOr<Assignment> decodeAssignment(std::string_view Bytes) {
  try {
    msgpack::object_handle Handle = msgpack::unpack(Bytes.data(), Bytes.size());
    auto Fields = Handle.get().as<std::vector<msgpack::object>>();
    if (Fields.at(0).as<std::uint32_t>() != FormatVersion)
      return makeError(absl::StatusCode::kDataLoss, "decode assignment", "",
                       "unknown format version");
    Assignment Value;
    Value.Version = Fields.at(1).as<std::uint64_t>();
    Value.NextMemberId = Fields.at(2).as<std::uint32_t>();
    Value.Coordinator.Value = Fields.at(3).as<std::uint32_t>();
    for (const auto &M : Fields.at(4).as<std::vector<msgpack::object>>())
      Value.Members.push_back(readMember(M));
    for (const auto &S : Fields.at(5).as<std::vector<msgpack::object>>())
      Value.Services.push_back(readService(S));
    return Value;
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kDataLoss, "decode assignment", "",
                     Error.what());
  }
}

} // namespace orioledoor::ownership
