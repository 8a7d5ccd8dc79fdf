// Greedy placement: repeatedly chooses the best move from the most loaded to
// the least loaded member while its gain exceeds its cost.
#include "orioledoor/ownership/placement.h"

#include <algorithm>
#include <map>

#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/load_model.h"

namespace orioledoor::ownership {
namespace {

// Cost of a move: a move of an average slice is worthwhile once the loads of
// two members differ by this fraction of the mean, at weights of 1.
constexpr double MoveCost = 0.04;

// Minimum rate of a slice as a fraction of the mean slice rate, so that idle
// slices are distributed too.
constexpr double MinSliceShare = 0.05;

struct SliceRate {
  SliceRef Slice;
  double Rate = 0;
};

struct MemberSlices {
  MemberId Member;
  double TotalRate = 0;
  bool Leaving = false;
  std::vector<SliceRate> Slices;
};

class PlacementPlanner {
public:
  explicit PlacementPlanner(const PlacementQuery &Query) : Query(Query) {
    this->collect();
    this->normalize();
  }

  std::vector<SliceMove> run() {
    this->moveLeaving();
    this->balance();
    return std::move(this->Moves);
  }

private:
  // Groups the slices by their owner, or by the move target if a move is in
  // progress.
  void collect() {
    for (MemberId Id : eligibleOwners(this->Query.Current, this->Query.Service))
      this->SlicesByMember[Id].Member = Id;
    const ServiceSlices *Service =
        this->Query.Current.find(this->Query.Service);
    if (!Service)
      return;
    std::map<MemberId, std::size_t> Counts;
    for (const SliceOwner &Owner : Service->Slices)
      ++Counts[Owner.Owner];
    for (std::uint32_t I = 0; I < Service->Slices.size(); ++I) {
      const SliceOwner &Owner = Service->Slices[I];
      if (!Owner.Owner)
        continue;
      SliceRef Slice{this->Query.Service, I};
      double Rate =
          this->Query.Loads.sliceRate(Slice, Owner.Owner, Counts[Owner.Owner]);
      MemberSlices &Entry =
          this->SlicesByMember[Owner.MoveTarget ? Owner.MoveTarget
                                                : Owner.Owner];
      Entry.Slices.push_back(SliceRate{Slice, Rate});
    }
    for (auto &[Id, Entry] : this->SlicesByMember) {
      const Member *M = this->Query.Current.find(Id);
      Entry.Member = Id;
      Entry.Leaving = !M || M->Leaving || M->Deposed;
    }
  }

  // Scales the rates so that the mean load of a member is 1.
  void normalize() {
    double Total = 0;
    std::size_t Count = 0;
    std::size_t Owners = 0;
    for (auto &[Id, Entry] : this->SlicesByMember) {
      Count += Entry.Slices.size();
      Owners += Entry.Leaving ? 0 : 1;
      for (SliceRate &S : Entry.Slices)
        Total += S.Rate;
    }
    if (Count == 0 || Owners == 0)
      return;
    double MeanSlice = Total > 0 ? Total / static_cast<double>(Count) : 1;
    double Sum = 0;
    for (auto &[Id, Entry] : this->SlicesByMember)
      for (SliceRate &S : Entry.Slices) {
        S.Rate = std::max(S.Rate, MinSliceShare * MeanSlice);
        Sum += S.Rate;
      }
    double Scale = static_cast<double>(Owners) / Sum;
    this->AverageSlice = Sum * Scale / static_cast<double>(Count);
    for (auto &[Id, Entry] : this->SlicesByMember) {
      for (SliceRate &S : Entry.Slices) {
        S.Rate *= Scale;
        Entry.TotalRate += S.Rate;
      }
    }
  }

  MemberSlices *leastLoaded() {
    MemberSlices *Best = nullptr;
    for (auto &[Id, Entry] : this->SlicesByMember)
      if (!Entry.Leaving && (!Best || Entry.TotalRate < Best->TotalRate))
        Best = &Entry;
    return Best;
  }

  MemberSlices *mostLoaded() {
    MemberSlices *Best = nullptr;
    for (auto &[Id, Entry] : this->SlicesByMember)
      if (!Entry.Leaving && (!Best || Entry.TotalRate > Best->TotalRate))
        Best = &Entry;
    return Best;
  }

  // Moves the slices of leaving members to the least loaded members.
  void moveLeaving() {
    std::size_t Remaining = this->Query.MaxLeavingMoves;
    for (auto &[Id, Entry] : this->SlicesByMember) {
      if (!Entry.Leaving)
        continue;
      for (const SliceRate &S : Entry.Slices) {
        MemberSlices *To = this->leastLoaded();
        if (!To || Remaining == 0)
          return;
        if (!this->mayMove(S.Slice))
          continue;
        this->Moves.push_back(SliceMove{S.Slice, Id, To->Member});
        To->TotalRate += S.Rate;
        --Remaining;
      }
    }
  }

  void balance() {
    const PlacementWeights &W = this->Query.Weights;
    double Cost = MoveCost * this->AverageSlice * (W.Churn + W.Unavailable) / 2;
    for (std::size_t Count = 0; Count < this->Query.MaxMoves; ++Count) {
      MemberSlices *From = this->mostLoaded();
      MemberSlices *To = this->leastLoaded();
      if (!From || From == To)
        return;
      auto Best = this->bestSlice(*From, From->TotalRate - To->TotalRate);
      if (Best == From->Slices.end() ||
          W.Imbalance * gain(Best->Rate, From->TotalRate - To->TotalRate) <=
              Cost)
        return;
      this->Moves.push_back(SliceMove{Best->Slice, From->Member, To->Member});
      From->TotalRate -= Best->Rate;
      To->TotalRate += Best->Rate;
      From->Slices.erase(Best);
    }
  }

  // Half of the decrease in the sum of squared loads.
  static double gain(double Rate, double Difference) {
    return Rate * (Difference - Rate);
  }

  // The movable slice with the largest gain, that is, the one whose rate is
  // closest to half of the difference.
  std::vector<SliceRate>::iterator bestSlice(MemberSlices &From,
                                             double Difference) {
    auto Best = From.Slices.end();
    for (auto Candidate = From.Slices.begin(); Candidate != From.Slices.end();
         ++Candidate)
      if ((Best == From.Slices.end() ||
           gain(Candidate->Rate, Difference) > gain(Best->Rate, Difference)) &&
          this->mayMove(Candidate->Slice))
        Best = Candidate;
    return Best;
  }

  bool mayMove(SliceRef Slice) const {
    return !this->Query.Current.find(Slice)->MoveTarget &&
           this->Query.MayMove(Slice);
  }

  const PlacementQuery &Query;
  std::map<MemberId, MemberSlices> SlicesByMember;
  double AverageSlice = 0;
  std::vector<SliceMove> Moves;
};

} // namespace

std::vector<MemberId> eligibleOwners(const Assignment &Current,
                                     ServiceId Service) {
  std::vector<MemberId> Result;
  for (const Member &M : Current.Members)
    if (M.Service == Service && !M.Leaving && !M.Deposed)
      Result.push_back(M.Id);
  return Result;
}

std::vector<SliceMove> planMoves(const PlacementQuery &Query) {
  return PlacementPlanner(Query).run();
}

} // namespace orioledoor::ownership
