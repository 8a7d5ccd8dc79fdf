// MessagePack encoding of control messages. A message is an array [index in the
// variant, fields ...]; a nested struct is an array of its fields. fieldsOf
// lists the fields once for both directions.
#include "orioledoor/ownership/message_codec.h"

#include <msgpack.hpp>

#include <algorithm>
#include <concepts>
#include <limits>
#include <stdexcept>
#include <tuple>
#include <type_traits>
#include <utility>

#include "orioledoor/base/error.h"

namespace orioledoor::ownership {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T, typename U>
concept Is = std::same_as<std::remove_const_t<T>, U>;

auto fieldsOf(Is<MemberId> auto &V) { return std::tie(V.Value); }
auto fieldsOf(Is<Fence> auto &V) { return std::tie(V.Value); }
auto fieldsOf(Is<ServiceId> auto &V) { return std::tie(V.Value); }
auto fieldsOf(Is<SliceRef> auto &V) { return std::tie(V.Service, V.Slice); }
auto fieldsOf(Is<Versions> auto &V) {
  return std::tie(V.Assignment, V.Catalogue);
}
auto fieldsOf(Is<Renew> auto &V) {
  return std::tie(V.From, V.Sequence, V.SentAt, V.LastGrant, V.HoldsPermission,
                  V.HeldVersions);
}
auto fieldsOf(Is<Grant> auto &V) {
  return std::tie(V.From, V.Sequence, V.SentAt, V.Length, V.HeldVersions);
}
auto fieldsOf(Is<Refuse> auto &V) {
  return std::tie(V.From, V.Released, V.HeldVersions);
}
auto fieldsOf(Is<Release> auto &V) {
  return std::tie(V.Member, V.GuardianId, V.Term, V.Version);
}
auto fieldsOf(Is<Facts> auto &V) {
  return std::tie(V.Releases, V.Deposed, V.Left, V.HeldVersions);
}
auto fieldsOf(Is<VersionNotice> auto &V) { return std::tie(V.HeldVersions); }
auto fieldsOf(Is<AssignmentRequest> auto &V) { return std::tie(V.HeldVersion); }
auto fieldsOf(Is<AssignmentUpdate> auto &V) {
  return std::tie(V.Version, V.Document);
}
auto fieldsOf(Is<CatalogueRequest> auto &V) { return std::tie(V.HeldRevision); }
auto fieldsOf(Is<CatalogueUpdate> auto &V) {
  return std::tie(V.Revision, V.Text);
}
auto fieldsOf(Is<PromiseRequest> auto &V) {
  return std::tie(V.Version, V.Attempt);
}
auto fieldsOf(Is<PromiseWithdrawn> auto &V) { return std::tie(V.Attempt); }
auto fieldsOf(Is<Promise> auto &V) {
  return std::tie(V.From, V.Version, V.Attempt, V.ActingFor);
}
auto fieldsOf(Is<ConsentRequest> auto &V) {
  return std::tie(V.Member, V.Version);
}
auto fieldsOf(Is<Consent> auto &V) {
  return std::tie(V.From, V.Member, V.Version);
}
auto fieldsOf(Is<Yield> auto &V) {
  return std::tie(V.From, V.Slice, V.FencingNumber, V.Table);
}
auto fieldsOf(Is<YieldAck> auto &V) {
  return std::tie(V.From, V.Slice, V.FencingNumber);
}
auto fieldsOf(Is<ReportedLoad> auto &V) { return std::tie(V.Slice, V.Rate); }
auto fieldsOf(Is<LoadReport> auto &V) {
  return std::tie(V.From, V.TotalRate, V.Busiest, V.Leaving);
}
auto fieldsOf(Is<SpendRequest> auto &V) {
  return std::tie(V.From, V.Service, V.Amount, V.Day);
}
auto fieldsOf(Is<SpendGrant> auto &V) {
  return std::tie(V.Service, V.Amount, V.Day);
}

template <typename T>
concept Scalar = std::is_arithmetic_v<T> || std::same_as<T, std::string>;

template <typename T> void write(Packer &Out, const T &Value);

template <typename T> void write(Packer &Out, const std::vector<T> &Values) {
  Out.pack_array(static_cast<std::uint32_t>(Values.size()));
  std::ranges::for_each(Values, [&](const T &V) { write(Out, V); });
}

void write(Packer &Out, const Instant &Value) { Out.pack(Value.micros()); }
void write(Packer &Out, const Duration &Value) {
  Out.pack(static_cast<std::int64_t>(Value.count()));
}

template <typename T> void writeFields(Packer &Out, const T &Value) {
  std::apply([&](const auto &...Fields) { (write(Out, Fields), ...); },
             fieldsOf(Value));
}

template <typename T> void write(Packer &Out, const T &Value) {
  if constexpr (Scalar<T>) {
    Out.pack(Value);
  } else {
    Out.pack_array(std::tuple_size_v<decltype(fieldsOf(Value))>);
    writeFields(Out, Value);
  }
}

// The elements of a MessagePack array, starting at First.
struct Elements {
  const msgpack::object *First;
  std::size_t Count;
};

Elements elementsOf(const msgpack::object &In) {
  if (In.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  return {In.via.array.ptr, In.via.array.size};
}

template <typename T> void read(const msgpack::object &In, T &Value);

template <typename T>
void read(const msgpack::object &In, std::vector<T> &Values) {
  Elements All = elementsOf(In);
  Values.resize(All.Count);
  for (std::size_t I = 0; I < All.Count; ++I)
    read(All.First[I], Values[I]);
}

void read(const msgpack::object &In, Instant &Value) {
  Value = Instant(In.as<std::int64_t>());
}
void read(const msgpack::object &In, Duration &Value) {
  Value = Duration(In.as<std::int64_t>());
}

// Throws if fields are missing or superfluous.
template <typename T> void readFields(Elements In, T &Value) {
  auto Fields = fieldsOf(Value);
  if (In.Count != std::tuple_size_v<decltype(Fields)>)
    throw std::length_error("wrong number of fields");
  std::apply([&](auto &...Field) { (read(*In.First++, Field), ...); }, Fields);
}

template <typename T> void read(const msgpack::object &In, T &Value) {
  if constexpr (Scalar<T>)
    Value = In.as<T>();
  else
    readFields(elementsOf(In), Value);
}

template <std::size_t... I>
Message readMessage(std::size_t Kind, Elements Fields,
                    std::index_sequence<I...> /*Kinds*/) {
  Message Result;
  bool Known =
      ((Kind == I && (readFields(Fields, Result.emplace<I>()), true)) || ...);
  if (!Known)
    throw std::out_of_range("unknown kind of message");
  return Result;
}

} // namespace

std::string encodeMessage(const Message &Value) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  std::visit(
      [&](const auto &Body) {
        Out.pack_array(1 + std::tuple_size_v<decltype(fieldsOf(Body))>);
        Out.pack(static_cast<std::uint32_t>(Value.index()));
        writeFields(Out, Body);
      },
      Value);
  return {Buffer.data(), Buffer.size()};
}

absl::StatusOr<Message> decodeMessage(std::string_view Bytes) {
  try {
    // An array header may declare more elements than follow. Without this
    // limit, msgpack allocates memory for all of them.
    msgpack::unpack_limit Limit(Bytes.size(), Bytes.size(), Bytes.size(),
                                Bytes.size(), Bytes.size(), 8);
    std::size_t End = 0;
    msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), End, nullptr, nullptr, Limit);
    Elements All = elementsOf(Handle.get());
    if (End != Bytes.size() || All.Count == 0)
      throw std::length_error("not exactly one message");
    return readMessage(
        All.First[0].as<std::uint32_t>(), {All.First + 1, All.Count - 1},
        std::make_index_sequence<std::variant_size_v<Message>>());
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, "decode message", "",
                     Error.what());
  }
}

} // namespace orioledoor::ownership
