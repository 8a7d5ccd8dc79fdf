// Greedy placement: the best move from the most to the least loaded member,
// as long as its gain exceeds its cost.
#include "orioledoor/ownership/placement.h"

#include <algorithm>
#include <map>

#include "orioledoor/ownership/assignment.h"
#include "orioledoor/ownership/load_model.h"

namespace orioledoor::ownership {
namespace {

// A move of an average slice pays once the loads of two members differ by
// this part of the mean, at weights of 1.
constexpr double MoveCost = 0.04;

// Slices count at least this part of the mean slice, so that idle slices are
// spread, too.
constexpr double LeastSlicePart = 0.05;

struct OwnedSlice {
  SliceRef Slice;
  double Rate = 0;
};

struct Holding {
  MemberId Member;
  double Load = 0;
  bool Leaving = false;
  std::vector<OwnedSlice> Slices;
};

class Planner {
public:
  explicit Planner(const PlacementQuery &Query) : Query(Query) {
    this->collect();
    this->normalise();
  }

  std::vector<SliceMove> run() {
    this->moveLeaving();
    this->balance();
    return std::move(this->Moves);
  }

private:
  // Groups the slices by the member that holds them or is about to.
  void collect() {
    for (MemberId Id : eligibleOwners(this->Query.Current, this->Query.Service))
      this->Holdings[Id].Member = Id;
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
      Holding &Held =
          this->Holdings[Owner.MoveTarget ? Owner.MoveTarget : Owner.Owner];
      Held.Slices.push_back(OwnedSlice{Slice, Rate});
    }
    for (auto &[Id, Held] : this->Holdings) {
      const Member *M = this->Query.Current.find(Id);
      Held.Member = Id;
      Held.Leaving = !M || M->Leaving || M->Deposed;
    }
  }

  // Scales rates so that the mean load of a member is 1.
  void normalise() {
    double Total = 0;
    std::size_t Count = 0;
    std::size_t Owners = 0;
    for (auto &[Id, Held] : this->Holdings) {
      Count += Held.Slices.size();
      Owners += Held.Leaving ? 0 : 1;
      for (OwnedSlice &S : Held.Slices)
        Total += S.Rate;
    }
    if (Count == 0 || Owners == 0)
      return;
    double MeanSlice = Total > 0 ? Total / static_cast<double>(Count) : 1;
    double Sum = 0;
    for (auto &[Id, Held] : this->Holdings)
      for (OwnedSlice &S : Held.Slices) {
        S.Rate = std::max(S.Rate, LeastSlicePart * MeanSlice);
        Sum += S.Rate;
      }
    double Scale = static_cast<double>(Owners) / Sum;
    this->AverageSlice = Sum * Scale / static_cast<double>(Count);
    for (auto &[Id, Held] : this->Holdings) {
      for (OwnedSlice &S : Held.Slices) {
        S.Rate *= Scale;
        Held.Load += S.Rate;
      }
    }
  }

  Holding *least() {
    Holding *Best = nullptr;
    for (auto &[Id, Held] : this->Holdings)
      if (!Held.Leaving && (!Best || Held.Load < Best->Load))
        Best = &Held;
    return Best;
  }

  Holding *most() {
    Holding *Best = nullptr;
    for (auto &[Id, Held] : this->Holdings)
      if (!Held.Leaving && (!Best || Held.Load > Best->Load))
        Best = &Held;
    return Best;
  }

  // A leaving member's slices go to the least loaded members.
  void moveLeaving() {
    std::size_t Left = this->Query.MaxLeavingMoves;
    for (auto &[Id, Held] : this->Holdings) {
      if (!Held.Leaving)
        continue;
      for (const OwnedSlice &S : Held.Slices) {
        Holding *To = this->least();
        if (!To || Left == 0)
          return;
        if (!this->mayMove(S.Slice))
          continue;
        this->Moves.push_back(SliceMove{S.Slice, Id, To->Member});
        To->Load += S.Rate;
        --Left;
      }
    }
  }

  void balance() {
    const PlacementWeights &W = this->Query.Weights;
    double Cost = MoveCost * this->AverageSlice * (W.Churn + W.Unavailable) / 2;
    for (std::size_t Done = 0; Done < this->Query.MaxMoves; ++Done) {
      Holding *From = this->most();
      Holding *To = this->least();
      if (!From || From == To)
        return;
      auto Best = this->bestSlice(*From, From->Load - To->Load);
      if (Best == From->Slices.end() ||
          W.Imbalance * gain(Best->Rate, From->Load - To->Load) <= Cost)
        return;
      this->Moves.push_back(SliceMove{Best->Slice, From->Member, To->Member});
      From->Load -= Best->Rate;
      To->Load += Best->Rate;
      From->Slices.erase(Best);
    }
  }

  // What the sum of squared loads falls by, halved.
  static double gain(double Rate, double Difference) {
    return Rate * (Difference - Rate);
  }

  // The movable slice with the largest gain: the rate next to half of the
  // difference.
  std::vector<OwnedSlice>::iterator bestSlice(Holding &From,
                                              double Difference) {
    auto Best = From.Slices.end();
    for (auto It = From.Slices.begin(); It != From.Slices.end(); ++It)
      if ((Best == From.Slices.end() ||
           gain(It->Rate, Difference) > gain(Best->Rate, Difference)) &&
          this->mayMove(It->Slice))
        Best = It;
    return Best;
  }

  bool mayMove(SliceRef Slice) const {
    return !this->Query.Current.find(Slice)->MoveTarget &&
           this->Query.MayMove(Slice);
  }

  const PlacementQuery &Query;
  std::map<MemberId, Holding> Holdings;
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
  return Planner(Query).run();
}

} // namespace orioledoor::ownership
