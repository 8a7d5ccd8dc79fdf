// Encodes messages as flat MessagePack arrays that begin with the kind.
// Decoding reads the fields as references into the received bytes.
#include "orioledoor/requests/message_codec.h"

#include <msgpack.hpp>

#include <span>
#include <stdexcept>
#include <utility>

#include "orioledoor/base/error.h"

namespace orioledoor::requests {
namespace {

// Index of the alternative in Message. Part of the wire format.
enum class Kind : std::uint8_t { Forward, Answer, Cancel, CrashNotice };

// Longest array in a valid message: two elements per header.
constexpr std::size_t MaxArray = 4096;
constexpr std::size_t MaxDepth = 4;

// Output stream for msgpack::packer.
struct StringSink {
  std::string Bytes;

  void write(const char *Data, std::size_t Size) {
    this->Bytes.append(Data, Size);
  }
};

using Packer = msgpack::packer<StringSink>;

void packHeaders(Packer &Out, std::span<const Header> Headers) {
  Out.pack_array(static_cast<std::uint32_t>(Headers.size() * 2));
  for (const Header &Line : Headers) {
    Out.pack(Line.Name);
    Out.pack(Line.Value);
  }
}

void packKind(Packer &Out, std::uint32_t Fields, Kind MessageKind) {
  Out.pack_array(Fields + 1);
  Out.pack(static_cast<std::uint8_t>(MessageKind));
}

void pack(Packer &Out, const Forward &Value) {
  packKind(Out, 19, Kind::Forward);
  Out.pack(Value.EntryId);
  Out.pack(Value.RequestId);
  Out.pack(Value.ReplyTo);
  Out.pack(Value.Slice.Service.Value);
  Out.pack(Value.Slice.Slice);
  Out.pack(Value.History);
  Out.pack(static_cast<std::int64_t>(Value.HistoryAge.count()));
  Out.pack(Value.Request->Method);
  Out.pack(Value.Request->Service);
  Out.pack(Value.Request->Key);
  Out.pack(Value.Request->Path);
  packHeaders(Out, Value.Request->Headers);
  Out.pack(Value.Request->Body);
  Out.pack(Value.OperationId);
  Out.pack(Value.Attempt);
  // -1 encodes an unknown age.
  Out.pack(Value.Age ? Value.Age->count() : std::int64_t{-1});
  Out.pack(Value.Digest);
  Out.pack(static_cast<std::int64_t>(Value.Remaining.count()));
  Out.pack(Value.Hops);
}

void pack(Packer &Out, const Answer &Value) {
  packKind(Out, 13, Kind::Answer);
  Out.pack(Value.EntryId);
  Out.pack(Value.RequestId);
  Out.pack(static_cast<std::uint8_t>(Value.Result));
  Out.pack(static_cast<std::uint8_t>(Value.Retry));
  Out.pack(Value.History);
  Out.pack(static_cast<std::int64_t>(Value.HistoryAge.count()));
  Out.pack(Value.Response.Status);
  packHeaders(Out, Value.Response.Headers);
  Out.pack(Value.Response.Body);
  Out.pack(Value.Owner.Value);
  Out.pack(Value.FencingNumber.Value);
  Out.pack(Value.Step);
  Out.pack(Value.Peer);
}

void pack(Packer &Out, const Cancel &Value) {
  packKind(Out, 2, Kind::Cancel);
  Out.pack(Value.EntryId);
  Out.pack(Value.RequestId);
}

void pack(Packer &Out, const CrashNotice &Value) {
  packKind(Out, 3, Kind::CrashNotice);
  Out.pack(Value.Digest);
  Out.pack(Value.CrashId);
  Out.pack(Value.Confirmed);
}

std::size_t sizeHint(const Message &Value) {
  constexpr std::size_t Fixed = 512;
  if (const auto *F = std::get_if<Forward>(&Value))
    return Fixed + F->Request->Body.size();
  if (const auto *A = std::get_if<Answer>(&Value))
    return Fixed + A->Response.Body.size();
  return 32;
}

// Reads the fields of a message in order. Throws msgpack::type_error for a
// field of another type and std::out_of_range if no field is left.
class FieldReader {
public:
  explicit FieldReader(const msgpack::object &Array) {
    if (Array.type != msgpack::type::ARRAY)
      throw msgpack::type_error();
    this->Rest = {Array.via.array.ptr, Array.via.array.size};
  }

  template <typename T> T read() { return this->next().template as<T>(); }

  std::vector<Header> readHeaders() {
    FieldReader Lines(this->next());
    std::vector<Header> Headers;
    Headers.reserve(Lines.Rest.size() / 2);
    while (!Lines.Rest.empty()) {
      auto Name = Lines.read<std::string>();
      Headers.push_back(Header{std::move(Name), Lines.read<std::string>()});
    }
    return Headers;
  }

  void expectCount(std::size_t Count) const {
    if (this->Rest.size() != Count)
      throw std::out_of_range("wrong number of fields");
  }

private:
  const msgpack::object &next() {
    if (this->Rest.empty())
      throw std::out_of_range("field missing");
    const msgpack::object &First = this->Rest.front();
    this->Rest = this->Rest.subspan(1);
    return First;
  }

  std::span<const msgpack::object> Rest;
};

Forward readForward(FieldReader &Reader) {
  Reader.expectCount(19);
  Forward Value;
  auto Request = std::make_shared<HttpRequest>();
  Value.EntryId = Reader.read<std::uint64_t>();
  Value.RequestId = Reader.read<std::uint64_t>();
  Value.ReplyTo = Reader.read<std::string>();
  Value.Slice.Service.Value = Reader.read<std::uint32_t>();
  Value.Slice.Slice = Reader.read<std::uint32_t>();
  Value.History = Reader.read<std::uint64_t>();
  Value.HistoryAge = Duration(Reader.read<std::int64_t>());
  Request->Method = Reader.read<std::string>();
  Request->Service = Reader.read<std::string>();
  Request->Key = Reader.read<std::string>();
  Request->Path = Reader.read<std::string>();
  Request->Headers = Reader.readHeaders();
  Request->Body = Reader.read<std::string>();
  Value.Request = std::move(Request);
  Value.OperationId = Reader.read<std::string>();
  Value.Attempt = Reader.read<std::uint32_t>();
  if (auto Age = Reader.read<std::int64_t>(); Age >= 0)
    Value.Age = Duration(Age);
  Value.Digest = Reader.read<std::uint64_t>();
  Value.Remaining = Duration(Reader.read<std::int64_t>());
  Value.Hops = Reader.read<std::uint8_t>();
  return Value;
}

Answer readAnswer(FieldReader &Reader) {
  Reader.expectCount(13);
  Answer Value;
  Value.EntryId = Reader.read<std::uint64_t>();
  Value.RequestId = Reader.read<std::uint64_t>();
  auto Result = Reader.read<std::uint8_t>();
  if (Result > static_cast<std::uint8_t>(Outcome::Unknown))
    throw std::out_of_range("unknown outcome");
  Value.Result = static_cast<Outcome>(Result);
  auto Retry = Reader.read<std::uint8_t>();
  if (Retry > static_cast<std::uint8_t>(RetryAdvice::HistoryChanged))
    throw std::out_of_range("unknown retry advice");
  Value.Retry = static_cast<RetryAdvice>(Retry);
  Value.History = Reader.read<std::uint64_t>();
  Value.HistoryAge = Duration(Reader.read<std::int64_t>());
  Value.Response.Status = Reader.read<int>();
  Value.Response.Headers = Reader.readHeaders();
  Value.Response.Body = Reader.read<std::string>();
  Value.Owner.Value = Reader.read<std::uint32_t>();
  Value.FencingNumber.Value = Reader.read<std::uint32_t>();
  Value.Step = Reader.read<std::string>();
  Value.Peer = Reader.read<std::string>();
  return Value;
}

Message readMessage(const msgpack::object &Root) {
  FieldReader Reader(Root);
  switch (static_cast<Kind>(Reader.read<std::uint8_t>())) {
  case Kind::Forward:
    return readForward(Reader);
  case Kind::Answer:
    return readAnswer(Reader);
  case Kind::Cancel: {
    Reader.expectCount(2);
    auto EntryId = Reader.read<std::uint64_t>();
    return Cancel{EntryId, Reader.read<std::uint64_t>()};
  }
  case Kind::CrashNotice: {
    Reader.expectCount(3);
    auto Digest = Reader.read<std::uint64_t>();
    auto CrashId = Reader.read<std::uint64_t>();
    return CrashNotice{Digest, CrashId, Reader.read<bool>()};
  }
  }
  throw std::out_of_range("unknown kind of message");
}

absl::Status malformed(std::string_view Reason) {
  return makeError(absl::StatusCode::kDataLoss, "decode request message", "",
                   Reason);
}

// Makes msgpack refer to the received bytes instead of copying strings.
bool referenceInput(msgpack::type::object_type /*Type*/, std::size_t /*Size*/,
                    void * /*Context*/) {
  return true;
}

} // namespace

std::string encodeMessage(const Message &Value) {
  StringSink Sink;
  Sink.Bytes.reserve(sizeHint(Value));
  Packer Out(Sink);
  std::visit([&Out](const auto &Body) { pack(Out, Body); }, Value);
  return std::move(Sink.Bytes);
}

absl::StatusOr<Message> decodeMessage(std::string_view Bytes) {
  try {
    msgpack::unpack_limit Limit(MaxArray, 0, Bytes.size(), Bytes.size(), 0,
                                MaxDepth);
    std::size_t Offset = 0;
    bool Referenced = false;
    msgpack::object_handle Root =
        msgpack::unpack(Bytes.data(), Bytes.size(), Offset, Referenced,
                        referenceInput, nullptr, Limit);
    if (Offset != Bytes.size())
      return malformed("bytes after the message");
    return readMessage(Root.get());
  } catch (const std::exception &Error) {
    return malformed(Error.what());
  }
}

} // namespace orioledoor::requests
