// Encodes a message as a flat MessagePack array that starts with the kind of
// the message. Decoding checks the type and range of each field.
#include "orioledoor/routing/message_codec.h"

#include <exception>
#include <stdexcept>
#include <utility>

#include <msgpack.hpp>

#include "orioledoor/base/error.h"

namespace orioledoor::routing {
namespace {

// Maximum array length of a well-formed message; a header takes two elements.
constexpr std::size_t MaxArrayLength = 4096;
constexpr std::size_t MaxDepth = 4;
constexpr std::int64_t MicrosPerMilli = 1000;
// Upper limit for points in time, so that differences do not overflow.
constexpr std::int64_t MaxMillis = std::int64_t{1} << 48;
// Limit for strings; covers the largest request body.
constexpr std::size_t MaxStringBytes = 80U << 20;

// Statuses of answers that end a request.
constexpr int MinFinalStatus = 200;
constexpr int MaxFinalStatus = 599;

// Output stream for msgpack::packer.
struct StringSink {
  std::string Bytes;

  void write(const char *Data, std::size_t Size) {
    this->Bytes.append(Data, Size);
  }
};

using Packer = msgpack::packer<StringSink>;

// Appends the fields of a message to one array. FieldReader reads them in the
// same order.
class FieldWriter {
public:
  explicit FieldWriter(Packer &Out) : Out(Out) {}

  template <typename T> FieldWriter &operator<<(const T &Value) {
    this->Out.pack(Value);
    return *this;
  }
  FieldWriter &operator<<(Duration Value) {
    this->Out.pack(static_cast<std::int64_t>(Value.count()));
    return *this;
  }
  // Milliseconds are enough for delays and take fewer bytes.
  FieldWriter &operator<<(Instant Value) {
    this->Out.pack(Value.micros() / MicrosPerMilli);
    return *this;
  }
  FieldWriter &operator<<(const std::vector<Header> &Headers) {
    this->Out.pack_array(static_cast<std::uint32_t>(Headers.size() * 2));
    for (const Header &Line : Headers) {
      this->Out.pack(Line.Name);
      this->Out.pack(Line.Value);
    }
    return *this;
  }
  FieldWriter &operator<<(const TargetStatus &Value) {
    return *this << Value.Process << Value.Sequence << Value.Target.Instance
                 << Value.Target.StartTimeMs << Value.Target.Node
                 << Value.Service << static_cast<std::uint8_t>(Value.State)
                 << Value.Slots << Value.Running << Value.Queued
                 << Value.ServiceTime << Value.Times << Value.FailureShare
                 << Value.LinkQueuedBytes;
  }
  FieldWriter &operator<<(const std::vector<ClassServiceTime> &Times) {
    this->Out.pack_array(static_cast<std::uint32_t>(Times.size() * 2));
    for (const ClassServiceTime &ClassTime : Times) {
      this->Out.pack(ClassTime.RequestClass);
      *this << ClassTime.Mean;
    }
    return *this;
  }

private:
  Packer &Out;
};

constexpr std::uint32_t StatusFields = 14;
// StartInterval and StartWait come last in a message, since earlier releases do
// not know them.
constexpr std::uint32_t PaceFields = 2;
// SlowdownPercent, SlowdownAge and AnswerQueuedBytes come after those.
constexpr std::uint32_t LoadFields = 3;

class FieldReader {
public:
  explicit FieldReader(const msgpack::object &Array) {
    if (Array.type != msgpack::type::ARRAY)
      throw std::out_of_range("not an array");
    this->Next = Array.via.array.ptr;
    this->End = this->Next + Array.via.array.size;
  }

  template <typename T> FieldReader &operator>>(T &Value) {
    Value = this->nextField().as<T>();
    return *this;
  }
  // Reads a trailing field that earlier releases do not send.
  template <typename T> void readIfPresent(T &Value) {
    if (this->Next != this->End)
      *this >> Value;
  }
  FieldReader &operator>>(Duration &Value) {
    Value = Duration(this->nextField().as<std::int64_t>());
    return *this;
  }
  FieldReader &operator>>(Instant &Value) {
    auto Millis = this->nextField().as<std::int64_t>();
    if (Millis < 0 || Millis > MaxMillis)
      throw std::out_of_range("point in time out of range");
    Value = Instant(Millis * MicrosPerMilli);
    return *this;
  }
  FieldReader &operator>>(std::vector<Header> &Headers) {
    const msgpack::object &Array = this->nextField();
    if (Array.type != msgpack::type::ARRAY || Array.via.array.size % 2 != 0)
      throw std::out_of_range("headers are not an array of pairs");
    for (std::uint32_t I = 0; I < Array.via.array.size; I += 2)
      Headers.push_back({Array.via.array.ptr[I].as<std::string>(),
                         Array.via.array.ptr[I + 1].as<std::string>()});
    return *this;
  }
  FieldReader &operator>>(TargetState &Value) {
    auto Number = this->nextField().as<std::uint8_t>();
    if (Number > static_cast<std::uint8_t>(TargetState::Evacuated))
      throw std::out_of_range("unknown state");
    Value = static_cast<TargetState>(Number);
    return *this;
  }
  FieldReader &operator>>(Outcome &Value) {
    auto Number = this->nextField().as<std::uint8_t>();
    if (Number > static_cast<std::uint8_t>(Outcome::CallsOverBudget))
      throw std::out_of_range("unknown outcome");
    Value = static_cast<Outcome>(Number);
    return *this;
  }
  FieldReader &operator>>(TargetStatus &Value) {
    return *this >> Value.Process >> Value.Sequence >> Value.Target.Instance >>
           Value.Target.StartTimeMs >> Value.Target.Node >> Value.Service >>
           Value.State >> Value.Slots >> Value.Running >> Value.Queued >>
           Value.ServiceTime >> Value.Times >> Value.FailureShare >>
           Value.LinkQueuedBytes;
  }
  FieldReader &operator>>(std::vector<ClassServiceTime> &Times) {
    const msgpack::object &Array = this->nextField();
    if (Array.type != msgpack::type::ARRAY || Array.via.array.size % 2 != 0)
      throw std::out_of_range("service times are not an array of pairs");
    for (std::uint32_t I = 0; I < Array.via.array.size; I += 2)
      Times.push_back(
          {Array.via.array.ptr[I].as<RequestClassId>(),
           Duration(Array.via.array.ptr[I + 1].as<std::int64_t>())});
    return *this;
  }

private:
  const msgpack::object &nextField() {
    if (this->Next == this->End)
      throw std::out_of_range("field missing");
    return *this->Next++;
  }

  const msgpack::object *Next;
  const msgpack::object *End;
};

void readLoad(FieldReader &In, TargetStatus &Status) {
  In.readIfPresent(Status.SlowdownPercent);
  In.readIfPresent(Status.SlowdownAge);
  In.readIfPresent(Status.AnswerQueuedBytes);
}

FieldWriter start(Packer &Out, const Message &Sent, std::uint32_t Fields) {
  Out.pack_array(Fields + 1);
  Out.pack(static_cast<std::uint8_t>(Sent.index()));
  return FieldWriter(Out);
}

struct Encoder {
  Packer &Out;
  const Message &Sent;

  void operator()(const Forward &Value) const {
    start(this->Out, this->Sent, 24)
        << Value.Id << Value.Process << Value.Service << Value.AttemptId
        << Value.CallerService << Value.TimeLeft << Value.LatencyLeft
        << Value.Key << Value.Priority << Value.Idempotent << Value.LastChoice
        << Value.MaxUsefulWait << Value.RequestClass << Value.WithheldBytes
        << Value.Content->Method << Value.Content->Target << Value.Content->Host
        << Value.Content->Headers << Value.Content->Body << Value.ConfigVersion
        << Value.SentAt << Value.KeyMapRevision << Value.KeyDemand - 1
        << Value.RepeatPercent;
  }
  void operator()(const ForwardResult &Value) const {
    start(this->Out, this->Sent, 12 + StatusFields + PaceFields + LoadFields)
        << Value.Id << static_cast<std::uint8_t>(Value.Code) << Value.Detail
        << Value.RetryAfter << Value.Answer.Status << Value.Answer.Headers
        << Value.Answer.Body << Value.Status << Value.ConfigVersion
        << Value.Status.StartInterval << Value.Status.StartWait << Value.SentAt
        << Value.Process << Value.Status.SlowdownPercent
        << Value.Status.SlowdownAge << Value.Status.AnswerQueuedBytes
        << Value.KeyShare << Value.OfRunningWork;
  }
  void operator()(const CancelForward &Value) const {
    start(this->Out, this->Sent, 2) << Value.Id << Value.Process;
  }
  void operator()(const StatusNotice &Value) const {
    start(this->Out, this->Sent, 1 + StatusFields + PaceFields + LoadFields)
        << Value.Status << Value.Status.StartInterval << Value.Status.StartWait
        << Value.SentAt << Value.Status.SlowdownPercent
        << Value.Status.SlowdownAge << Value.Status.AnswerQueuedBytes;
  }
  void operator()(const CrashNotice &Value) const {
    start(this->Out, this->Sent, 2) << Value.Digest << Value.Crashes;
  }
  void operator()(const KeyLoadNotice &Value) const {
    start(this->Out, this->Sent, 7)
        << Value.Service << Value.Target.Instance << Value.Target.StartTimeMs
        << Value.Target.Node << Value.Rate << Value.Capacity << Value.Quantiles;
  }
  void operator()(const KeyMapNotice &Value) const {
    start(this->Out, this->Sent, 2) << Value.Revision << Value.Map;
  }
  void operator()(const ResumeForward &Value) const {
    start(this->Out, this->Sent, 4)
        << Value.Id << Value.Process << Value.ReceiverProcess << Value.SentAgo;
  }
  void operator()(const FetchBody &Value) const {
    start(this->Out, this->Sent, 2) << Value.Id << Value.Process;
  }
  void operator()(const ForwardBody &Value) const {
    start(this->Out, this->Sent, 4)
        << Value.Id << Value.Process << Value.Body << Value.SentAt;
  }
  void operator()(const ConfirmForward &Value) const {
    start(this->Out, this->Sent, 2) << Value.Id << Value.Process;
  }
  void operator()(const ForwardConfirmed &Value) const {
    start(this->Out, this->Sent, 3)
        << Value.Id << Value.Process << Value.TimeLeft;
  }
  void operator()(const FetchConfig &Value) const {
    start(this->Out, this->Sent, 1) << Value.KnownVersion;
  }
  void operator()(const KeyMapChangeNotice &Value) const {
    start(this->Out, this->Sent, 4) << Value.BaseRevision << Value.Revision
                                    << Value.Checksum << Value.Change;
  }
  void operator()(const TargetLeavingNotice &Value) const {
    start(this->Out, this->Sent, 4)
        << Value.Target.Instance << Value.Target.StartTimeMs
        << Value.Target.Node << Value.KnownFor;
  }
  void operator()(const CrashCleared &Value) const {
    start(this->Out, this->Sent, 1) << Value.Digest;
  }
  void operator()(const NodeNotice &Value) const {
    start(this->Out, this->Sent, 2) << Value.Revision << Value.Entry;
  }
  void operator()(const ConfigNotice &Value) const {
    start(this->Out, this->Sent, 1) << Value.Document;
  }
};

Message decodeForward(FieldReader &In) {
  Forward Value;
  auto Content = std::make_shared<RequestContent>();
  In >> Value.Id >> Value.Process >> Value.Service >> Value.AttemptId >>
      Value.CallerService >> Value.TimeLeft >> Value.LatencyLeft >> Value.Key >>
      Value.Priority >> Value.Idempotent >> Value.LastChoice >>
      Value.MaxUsefulWait >> Value.RequestClass >> Value.WithheldBytes >>
      Content->Method >> Content->Target >> Content->Host >> Content->Headers >>
      Content->Body;
  In.readIfPresent(Value.ConfigVersion);
  In.readIfPresent(Value.SentAt);
  In.readIfPresent(Value.KeyMapRevision);
  // One less is sent, as most requests stand for themselves.
  std::uint32_t OtherDemand = 0;
  In.readIfPresent(OtherDemand);
  Value.KeyDemand = OtherDemand + 1;
  In.readIfPresent(Value.RepeatPercent);
  Value.Content = std::move(Content);
  return Value;
}

Message decodeResult(FieldReader &In) {
  ForwardResult Value;
  In >> Value.Id >> Value.Code >> Value.Detail >> Value.RetryAfter >>
      Value.Answer.Status >> Value.Answer.Headers >> Value.Answer.Body >>
      Value.Status;
  In.readIfPresent(Value.ConfigVersion);
  In.readIfPresent(Value.Status.StartInterval);
  In.readIfPresent(Value.Status.StartWait);
  In.readIfPresent(Value.SentAt);
  In.readIfPresent(Value.Process);
  readLoad(In, Value.Status);
  In.readIfPresent(Value.KeyShare);
  In.readIfPresent(Value.OfRunningWork);
  // Earlier releases pass on whatever number a target writes as its status.
  bool IsFinal = Value.Answer.Status >= MinFinalStatus &&
                 Value.Answer.Status <= MaxFinalStatus;
  if (Value.Code == Outcome::Answered && !IsFinal) {
    Value.Code = Outcome::Lost;
    Value.Detail =
        "the answer has the status " + std::to_string(Value.Answer.Status);
  }
  return Value;
}

Message decodeKeyLoad(FieldReader &In) {
  KeyLoadNotice Value;
  In >> Value.Service >> Value.Target.Instance >> Value.Target.StartTimeMs >>
      Value.Target.Node >> Value.Rate >> Value.Capacity >> Value.Quantiles;
  return Value;
}

Message decodeFields(FieldReader &In) {
  std::uint8_t Kind = 0;
  In >> Kind;
  switch (Kind) {
  case 0:
    return decodeForward(In);
  case 1:
    return decodeResult(In);
  case 2: {
    CancelForward Value;
    In >> Value.Id >> Value.Process;
    return Value;
  }
  case 3: {
    StatusNotice Value;
    In >> Value.Status;
    In.readIfPresent(Value.Status.StartInterval);
    In.readIfPresent(Value.Status.StartWait);
    In.readIfPresent(Value.SentAt);
    readLoad(In, Value.Status);
    return Value;
  }
  case 4: {
    CrashNotice Value;
    In >> Value.Digest >> Value.Crashes;
    return Value;
  }
  case 5:
    return decodeKeyLoad(In);
  case 6: {
    KeyMapNotice Value;
    In >> Value.Revision >> Value.Map;
    return Value;
  }
  case 7: {
    ResumeForward Value;
    In >> Value.Id >> Value.Process >> Value.ReceiverProcess >> Value.SentAgo;
    return Value;
  }
  case 8: {
    FetchBody Value;
    In >> Value.Id >> Value.Process;
    return Value;
  }
  case 9: {
    ForwardBody Value;
    In >> Value.Id >> Value.Process >> Value.Body;
    In.readIfPresent(Value.SentAt);
    return Value;
  }
  case 10: {
    FetchConfig Value;
    In >> Value.KnownVersion;
    return Value;
  }
  case 11: {
    ConfigNotice Value;
    In >> Value.Document;
    return Value;
  }
  case 12: {
    KeyMapChangeNotice Value;
    In >> Value.BaseRevision >> Value.Revision >> Value.Checksum >>
        Value.Change;
    return Value;
  }
  case 13: {
    NodeNotice Value;
    In >> Value.Revision >> Value.Entry;
    return Value;
  }
  case 14: {
    CrashCleared Value;
    In >> Value.Digest;
    return Value;
  }
  case 15: {
    ConfirmForward Value;
    In >> Value.Id >> Value.Process;
    return Value;
  }
  case 16: {
    ForwardConfirmed Value;
    In >> Value.Id >> Value.Process >> Value.TimeLeft;
    return Value;
  }
  case 17: {
    TargetLeavingNotice Value;
    In >> Value.Target.Instance >> Value.Target.StartTimeMs >>
        Value.Target.Node >> Value.KnownFor;
    return Value;
  }
  default:
    throw std::out_of_range("unknown message kind");
  }
}

bool referenceAll(msgpack::type::object_type, std::size_t, void *) {
  return true;
}

} // namespace

std::string encodeMessage(const Message &Sent) {
  StringSink Sink;
  Packer Out(Sink);
  std::visit(Encoder{Out, Sent}, Sent);
  return std::move(Sink.Bytes);
}

absl::StatusOr<Message> decodeMessage(std::string_view Bytes) {
  try {
    msgpack::object_handle Parsed =
        msgpack::unpack(Bytes.data(), Bytes.size(), referenceAll, nullptr,
                        msgpack::unpack_limit(MaxArrayLength, 0, MaxStringBytes,
                                              0, 0, MaxDepth));
    FieldReader In(Parsed.get());
    return decodeFields(In);
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, "decode message", "",
                     Error.what());
  }
}

} // namespace orioledoor::routing
