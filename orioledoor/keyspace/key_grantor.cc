// Grants keys to one target and transfers released keys.
#include "orioledoor/keyspace/key_grantor.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace orioledoor::keyspace {
namespace {

using std::chrono::milliseconds;

// Length of a hold on this node's clock, in percent of the granted time: the
// target's clock may run up to 2% slow.
constexpr std::int64_t SlowClockPercent = 102;
// Covers timers that fire late. The report and its answer do not leave the VM,
// so network delay is not included.
constexpr Duration HoldMargin = milliseconds(30);
// Holds shorter than this would end before the next report.
constexpr Duration MinHold = milliseconds(100);
// Upper bound on the handover tokens kept for keys whose transfer is not
// recorded yet.
constexpr std::size_t MaxHandovers = 256;

// Splits Range by the handover tokens that cover its keys. Keys without one get
// a part with an empty token.
std::vector<KeyTransfer>
splitByHandover(const KeyRange &Range,
                const std::vector<routing::ReleasedRange> &Handovers) {
  std::vector<KeyTransfer> Parts;
  std::uint32_t Next = Range.From;
  while (Next <= Range.To) {
    // Searches the latest reports first, since a range may have been held and
    // released twice.
    auto Covers = [Next](const routing::ReleasedRange &Release) {
      return Release.Keys.contains(Next);
    };
    auto Found = std::find_if(Handovers.rbegin(), Handovers.rend(), Covers);
    KeyTransfer Part{{Next, Range.To}, ""};
    if (Found != Handovers.rend()) {
      Part.Keys.To = std::min(Range.To, Found->Keys.To);
      Part.Handover = Found->Handover;
    } else {
      for (const routing::ReleasedRange &Release : Handovers)
        if (Release.Keys.From > Next && Release.Keys.From <= Part.Keys.To)
          Part.Keys.To = Release.Keys.From - 1;
    }
    Next = Part.Keys.To + 1;
    Parts.push_back(std::move(Part));
  }
  return Parts;
}

// Upper bound on the bytes of a row in the answer: two keys, a token, the
// handover in quotes, and what separates them.
std::size_t rowBytes(const routing::GrantedRange &Range) {
  constexpr std::size_t Separators = 8;
  return std::to_string(Range.Keys.From).size() +
         std::to_string(Range.Keys.To).size() +
         std::to_string(Range.Fence).size() + Range.Handover.size() +
         Separators;
}

} // namespace

void KeyGrantor::noteStart(Instant Now) {
  this->EarlierHoldsEnd = Now + this->longestHold();
}

GrantDecision KeyGrantor::answerReport(const routing::TargetReport &Report,
                                       const TargetRef &Self, const KeyMap *Map,
                                       Instant AuthorityEnd, Instant Now) {
  GrantDecision Decision;
  std::ranges::copy(Report.Released, std::back_inserter(this->Handovers));
  if (this->Handovers.size() > MaxHandovers)
    this->Handovers.erase(this->Handovers.begin(),
                          this->Handovers.end() -
                              static_cast<std::ptrdiff_t>(MaxHandovers));
  std::vector<routing::GrantedRange> PreviousGrants = std::move(this->Granted);
  this->Granted.clear();
  if (!Map || Map->findLost(Self)) {
    this->GrantedUntil = Instant();
    return Decision;
  }
  for (const KeyRow &Row : Map->Rows) {
    if (Row.Owner != Self)
      continue;
    bool Retained = Row.Next && Now < this->EarlierHoldsEnd;
    if (Retained)
      Decision.RetainedKeys += Row.Keys.To - Row.Keys.From + 1;
    // Retained keys are served meanwhile, unless the target is about to stop:
    // it gives them up now, and they pass on as soon as that is safe.
    if (!Row.Next || (Retained && !Report.Draining))
      this->Granted.push_back({Row.Keys, Row.Fence, Row.Handover});
    if (!Row.Next || Retained)
      continue;
    auto Overlaps = [&Row](const auto &Range) {
      return Range.Keys.overlaps(Row.Keys);
    };
    // The target may have started to use keys of the previous answer after it
    // made this report.
    bool StillHeld = std::ranges::any_of(Report.Holds, Overlaps) ||
                     std::ranges::any_of(PreviousGrants, Overlaps);
    if (!StillHeld)
      std::ranges::move(splitByHandover(Row.Keys, this->Handovers),
                        std::back_inserter(Decision.Transfers));
  }
  Duration AuthorityLeft =
      (AuthorityEnd - Now) * 100 / SlowClockPercent - HoldMargin;
  Duration HoldTime = std::min(
      {AuthorityLeft, this->Options.HoldTime, this->Options.MaxHoldTime});
  if (AuthorityEnd == Instant() || HoldTime < MinHold) {
    this->Granted.clear();
    this->GrantedUntil = Instant();
    return Decision;
  }
  this->limitGrants(PreviousGrants);
  HoldTime = std::chrono::duration_cast<milliseconds>(HoldTime);
  this->GrantedUntil = Now + HoldTime;
  this->HoldsEnd = std::max(
      this->HoldsEnd, Now + HoldTime * SlowClockPercent / 100 + HoldMargin);
  Decision.Answer = {.Grants = this->Granted, .HoldTime = HoldTime};
  return Decision;
}

void KeyGrantor::limitGrants(
    std::span<const routing::GrantedRange> PreviousGrants) {
  std::size_t Bytes = 0;
  for (const routing::GrantedRange &Range : this->Granted)
    Bytes += rowBytes(Range);
  if (Bytes <= this->Options.MaxRowBytes)
    return;
  // Keys that the target has are not taken away; of the others, the widest rows
  // serve most requests.
  auto Rank = [&PreviousGrants](const routing::GrantedRange &Range) {
    bool IsNew =
        std::ranges::find(PreviousGrants, Range) == PreviousGrants.end();
    return std::tuple(
        IsNew, static_cast<std::int64_t>(Range.Keys.From) - Range.Keys.To,
        Range.Keys.From);
  };
  std::ranges::sort(this->Granted, {}, Rank);
  std::size_t Kept = 0;
  Bytes = 0;
  while (Bytes + rowBytes(this->Granted[Kept]) <= this->Options.MaxRowBytes)
    Bytes += rowBytes(this->Granted[Kept++]);
  this->Granted.resize(Kept);
  std::ranges::sort(this->Granted, {}, [](const routing::GrantedRange &Range) {
    return Range.Keys.From;
  });
}

void KeyGrantor::reset() {
  this->Granted.clear();
  this->Handovers.clear();
  this->GrantedUntil = this->HoldsEnd = Instant();
}

Duration KeyGrantor::longestHold() const {
  return std::min(this->Options.HoldTime, this->Options.MaxHoldTime) *
             SlowClockPercent / 100 +
         HoldMargin;
}

bool KeyGrantor::holds(std::uint32_t Key, Instant Now) const {
  return Now < this->GrantedUntil &&
         std::ranges::any_of(
             this->Granted,
             [Key](const auto &Range) { return Range.Keys.contains(Key); });
}

} // namespace orioledoor::keyspace
