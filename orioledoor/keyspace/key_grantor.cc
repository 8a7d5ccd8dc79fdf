// Grants and transfers of keys at one target.
#include "orioledoor/keyspace/key_grantor.h"

#include <algorithm>
#include <utility>

namespace orioledoor::keyspace {
namespace {

using std::chrono::milliseconds;

// A target's clock may run 2% slow, so its holds last 2% longer here.
constexpr std::int64_t SlowClockPercent = 102;
// The report and its answer travel on the VM; this covers late timers.
constexpr Duration HoldMargin = milliseconds(30);
// Shorter holds would end before the next report.
constexpr Duration LeastHold = milliseconds(100);
// Handover tokens kept for keys whose transfer is not recorded yet.
constexpr std::size_t MaxHandovers = 256;

// The parts of Whole by the handovers that cover them; the rest has none.
std::vector<KeyTransfer>
partByHandover(const KeyRange &Whole,
               const std::vector<routing::ReleasedRange> &Handovers) {
  std::vector<KeyTransfer> Parts;
  std::uint32_t Next = Whole.From;
  while (Next <= Whole.To) {
    // Later reports go first: a range may have been held and released twice.
    auto Covers = [Next](const routing::ReleasedRange &Each) {
      return Each.Keys.contains(Next);
    };
    auto Found = std::find_if(Handovers.rbegin(), Handovers.rend(), Covers);
    KeyTransfer Part{{Next, Whole.To}, ""};
    if (Found != Handovers.rend()) {
      Part.Keys.To = std::min(Whole.To, Found->Keys.To);
      Part.Handover = Found->Handover;
    } else {
      for (const routing::ReleasedRange &Each : Handovers)
        if (Each.Keys.From > Next && Each.Keys.From <= Part.Keys.To)
          Part.Keys.To = Each.Keys.From - 1;
    }
    Next = Part.Keys.To + 1;
    Parts.push_back(std::move(Part));
  }
  return Parts;
}

} // namespace

GrantDecision KeyGrantor::answerReport(const routing::TargetReport &Report,
                                       const TargetRef &Self, const KeyMap *Map,
                                       Instant AuthorityEnd, Instant Now) {
  GrantDecision Decision;
  std::ranges::copy(Report.Released, std::back_inserter(this->Handovers));
  if (this->Handovers.size() > MaxHandovers)
    this->Handovers.erase(this->Handovers.begin(),
                          this->Handovers.end() -
                              static_cast<std::ptrdiff_t>(MaxHandovers));
  std::vector<routing::GrantedRange> Before = std::move(this->Granted);
  this->Granted.clear();
  if (!Map || Map->findLost(Self)) {
    this->GrantedUntil = Instant();
    return Decision;
  }
  for (const KeyRow &Row : Map->Rows) {
    if (Row.Owner != Self)
      continue;
    if (!Row.Next) {
      this->Granted.push_back({Row.Keys, Row.Fence, Row.Handover});
      continue;
    }
    auto Overlaps = [&Row](const auto &Each) {
      return Each.Keys.overlaps(Row.Keys);
    };
    // What the previous answer granted may have been taken up after this
    // report was made.
    bool Held = std::ranges::any_of(Report.Holds, Overlaps) ||
                std::ranges::any_of(Before, Overlaps);
    if (!Held)
      std::ranges::move(partByHandover(Row.Keys, this->Handovers),
                        std::back_inserter(Decision.Transfers));
  }
  Duration Left = (AuthorityEnd - Now) * 100 / SlowClockPercent - HoldMargin;
  Duration Hold =
      std::min({Left, this->Options.HoldTime, this->Options.MaxHoldTime});
  if (AuthorityEnd == Instant() || Hold < LeastHold) {
    this->Granted.clear();
    this->GrantedUntil = Instant();
    return Decision;
  }
  Hold = std::chrono::duration_cast<milliseconds>(Hold);
  this->GrantedUntil = Now + Hold;
  this->HoldsEnd = std::max(this->HoldsEnd,
                            Now + Hold * SlowClockPercent / 100 + HoldMargin);
  Decision.Answer = {.Grants = this->Granted, .HoldTime = Hold};
  return Decision;
}

void KeyGrantor::reset() {
  this->Granted.clear();
  this->Handovers.clear();
  this->GrantedUntil = Instant();
  this->HoldsEnd = Instant();
}

bool KeyGrantor::holds(std::uint32_t Key, Instant Now) const {
  return Now < this->GrantedUntil &&
         std::ranges::any_of(
             this->Granted,
             [Key](const auto &Each) { return Each.Keys.contains(Key); });
}

} // namespace orioledoor::keyspace
