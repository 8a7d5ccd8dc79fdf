// Commitments, and the model of the link that paces large answers.
#include "orioledoor/routing/answer_link.h"

#include <algorithm>

namespace orioledoor::routing {
namespace {

// Share of the link that answers take. The rest is for requests, bodies,
// statuses and acknowledgments.
constexpr double AnswerShare = 0.85;
// Transfer time of the answers that are in the transport at once. On a link of
// 10 Mbit/s these are 100 KB, about one large answer. Other messages wait
// behind them for at most this time, which is a tenth of a usual latency target
// of 800 to 1,000 ms.
constexpr double WindowSeconds = 0.08;
// popNext() is called at least this often. Capacity that passes unused between
// two calls is used later, so that the mean rate is reached.
constexpr double CallIntervalSeconds = 0.02;

Duration toDuration(double Seconds) {
  return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

double seconds(Duration Value) {
  return static_cast<double>(Value.count()) / 1e6;
}

} // namespace

double AnswerLink::answerRate() const {
  return this->BytesPerSecond *
         (this->Pacing == AnswerPacing::Shared ? AnswerShare : 1);
}

double AnswerLink::inTransport(Instant Now) const {
  double Rate = this->answerRate();
  double Left = this->BytesInTransport - seconds(Now - this->CountedAt) * Rate;
  return std::max(Left,
                  this->Waiting.empty() ? 0 : -Rate * CallIntervalSeconds);
}

void AnswerLink::setPacing(AnswerPacing Chosen, Instant Now) {
  this->BytesInTransport = this->inTransport(Now);
  this->CountedAt = Now;
  this->Pacing = Chosen;
}

void AnswerLink::commit(std::uint64_t Id, const Commitment &Added) {
  this->release(Id);
  this->Commitments[Id] = Added;
  if (Added.Bytes > 0)
    this->BytesByPriority[Added.Priority] += Added.Bytes;
}

void AnswerLink::reserve(std::uint64_t Id, std::uint8_t Priority,
                         std::uint64_t Bytes) {
  // Small answers are not held back, so they pass all large ones.
  this->commit(
      Id, {.Priority = Bytes < LargeAnswerBytes ? std::uint8_t{0} : Priority,
           .Bytes = Bytes,
           .WaitsWith = std::nullopt});
}

void AnswerLink::release(std::uint64_t Id) {
  auto Found = this->Commitments.find(Id);
  if (Found == this->Commitments.end())
    return;
  const Commitment &Ended = Found->second;
  if (Ended.Bytes > 0) {
    auto Sum = this->BytesByPriority.find(Ended.Priority);
    Sum->second -= Ended.Bytes;
    if (Sum->second == 0)
      this->BytesByPriority.erase(Sum);
  }
  if (Ended.WaitsWith) {
    this->Waiting.erase({*Ended.WaitsWith, Id});
    this->BytesWaiting -= Ended.Bytes;
  }
  this->Commitments.erase(Found);
}

bool AnswerLink::push(std::uint64_t Id, const QueueRank &Rank,
                      std::uint64_t Bytes, Instant Now) {
  this->BytesInTransport = this->inTransport(Now);
  this->CountedAt = Now;
  if (this->BytesPerSecond <= 0 || Bytes < LargeAnswerBytes) {
    this->release(Id);
    if (this->BytesPerSecond > 0)
      this->BytesInTransport += static_cast<double>(Bytes);
    return false;
  }
  this->commit(Id,
               {.Priority = Rank.Priority, .Bytes = Bytes, .WaitsWith = Rank});
  this->Waiting.emplace(Rank, Id);
  this->BytesWaiting += Bytes;
  return true;
}

std::optional<std::uint64_t> AnswerLink::popNext(Instant Now) {
  if (this->Waiting.empty())
    return std::nullopt;
  this->BytesInTransport = this->inTransport(Now);
  this->CountedAt = Now;
  std::uint64_t Id = this->Waiting.begin()->second;
  auto Bytes = static_cast<double>(this->Commitments.at(Id).Bytes);
  bool Fits =
      this->Pacing == AnswerPacing::None || this->BytesInTransport <= 0 ||
      this->BytesInTransport + Bytes <= this->BytesPerSecond * WindowSeconds;
  if (!Fits)
    return std::nullopt;
  this->release(Id);
  this->BytesInTransport += Bytes;
  return Id;
}

Duration AnswerLink::expectedWait(std::uint64_t Bytes, std::uint8_t Priority,
                                  Duration ReadyIn, Instant Now) const {
  if (this->BytesPerSecond <= 0)
    return Duration(0);
  double Ahead = std::max(this->inTransport(Now), 0.0);
  // What is in the transport leaves while the request runs, so a small answer
  // only waits if the transport holds more than that.
  if (Bytes < LargeAnswerBytes)
    return std::max(toDuration(Ahead / this->answerRate()) - ReadyIn,
                    Duration(0));
  for (const auto &[Other, Sum] : this->BytesByPriority)
    if (Other <= Priority)
      Ahead += static_cast<double>(Sum);
  return toDuration(Ahead / this->answerRate());
}

Duration AnswerLink::transferTime(std::uint64_t Bytes) const {
  if (this->BytesPerSecond <= 0)
    return Duration(0);
  return toDuration(static_cast<double>(Bytes) / this->answerRate());
}

std::uint64_t AnswerLink::promisedBytes() const {
  std::uint64_t Sum = 0;
  for (const auto &[Priority, Bytes] : this->BytesByPriority)
    Sum += Bytes;
  return Sum;
}

std::uint64_t AnswerLink::committedBytes(Instant Now) const {
  double InTransport = this->BytesPerSecond > 0 ? this->inTransport(Now) : 0;
  return this->promisedBytes() +
         static_cast<std::uint64_t>(std::max(InTransport, 0.0));
}

} // namespace orioledoor::routing
