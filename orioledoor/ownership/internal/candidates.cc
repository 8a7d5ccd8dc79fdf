// Ranks members as guardians and successors of another member.
#include "orioledoor/ownership/internal/candidates.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "orioledoor/ownership/assignment.h"

namespace orioledoor::ownership::internal {
namespace {

constexpr std::size_t WantedGuardians = 2;
constexpr std::size_t WantedSuccessors = 2;

bool isUsable(const Member &Candidate, const Member &Subject) {
  return !Candidate.Deposed && !Candidate.Leaving && Candidate.Id != Subject.Id;
}

bool hasGuardian(const Member &Guard, MemberId Id) {
  return std::ranges::any_of(Guard.Guardians,
                             [&](const Guardian &G) { return G.Member == Id; });
}

// Returns the number of members that Candidate currently guards.
std::size_t guardedCount(const Assignment &Next, MemberId Candidate) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Next.Members, [&](const Member &M) {
        return !M.Deposed && hasGuardian(M, Candidate);
      }));
}

// Returns a hash that gives pairs of members a stable pseudo-random order.
std::uint64_t pairHash(std::uint32_t A, std::uint32_t B, std::uint32_t C) {
  std::uint32_t Words[3] = {A, B, C};
  return stableHash(
      std::string_view(reinterpret_cast<const char *>(Words), sizeof(Words)));
}

// Returns the best new guardian: not guarded by Subject itself if possible,
// then in the preferred region, then with the fewest guarded members.
const Member *bestGuardian(const Assignment &Next, const Member &Subject,
                           bool WantOwnRegion) {
  using Rank = std::tuple<bool, bool, std::size_t, std::uint64_t>;
  const Member *Best = nullptr;
  Rank BestRank;
  for (const Member &M : Next.Members) {
    if (!isUsable(M, Subject) || hasGuardian(Subject, M.Id) ||
        M.FailureDomain == Subject.FailureDomain)
      continue;
    // Two members that guard each other and fail at the same time could never
    // be deposed, so this criterion ranks before the region.
    Rank Candidate{hasGuardian(M, Subject.Id),
                   (M.Region == Subject.Region) != WantOwnRegion,
                   guardedCount(Next, M.Id),
                   pairHash(Subject.Id.Value, M.Id.Value, 0)};
    if (!Best || Candidate < BestRank) {
      Best = &M;
      BestRank = Candidate;
    }
  }
  return Best;
}

// Returns the best successor that is not in List. Prefers members in other
// failure domains, then, for the first successor, those in the same region and,
// for the second, those in another.
MemberId bestSuccessor(const Assignment &Next, const Member &Subject,
                       std::uint32_t Bucket,
                       const std::vector<MemberId> &List) {
  using Rank = std::tuple<bool, bool, std::uint64_t>;
  MemberId Best;
  Rank BestRank;
  for (const Member &M : Next.Members) {
    if (!isUsable(M, Subject) || M.Service != Subject.Service ||
        std::ranges::find(List, M.Id) != List.end())
      continue;
    Rank Candidate{M.FailureDomain == Subject.FailureDomain,
                   (M.Region == Subject.Region) != List.empty(),
                   pairHash(Subject.Id.Value, M.Id.Value, Bucket + 1)};
    if (!Best || Candidate < BestRank) {
      Best = M.Id;
      BestRank = Candidate;
    }
  }
  return Best;
}

} // namespace

void addGuardians(const Assignment &Next, Member &Subject) {
  auto IsLasting = [&](const Guardian &G) {
    const Member *M = Next.find(G.Member);
    return M && !M->Deposed && !M->Leaving;
  };
  auto IsInRegion = [&](const Guardian &G) {
    return IsLasting(G) && Next.find(G.Member)->Region == Subject.Region;
  };
  while (static_cast<std::size_t>(std::ranges::count_if(
             Subject.Guardians, IsLasting)) < WantedGuardians) {
    bool WantOwnRegion = std::ranges::none_of(Subject.Guardians, IsInRegion);
    const Member *Best = bestGuardian(Next, Subject, WantOwnRegion);
    if (!Best)
      return;
    Subject.Guardians.push_back(Guardian{Best->Id, Next.Version});
  }
}

std::vector<std::vector<MemberId>> chooseSuccessors(const Assignment &Next,
                                                    const Member &Subject) {
  std::vector<std::vector<MemberId>> Result(SuccessorBuckets);
  for (std::uint32_t B = 0; B < SuccessorBuckets; ++B) {
    std::vector<MemberId> &List = Result[B];
    if (B < Subject.Successors.size())
      std::ranges::copy_if(Subject.Successors[B], std::back_inserter(List),
                           [&](MemberId Id) {
                             const Member *M = Next.find(Id);
                             return M && isUsable(*M, Subject);
                           });
    while (List.size() < WantedSuccessors) {
      MemberId Best = bestSuccessor(Next, Subject, B, List);
      if (!Best)
        break;
      List.push_back(Best);
    }
  }
  return Result;
}

} // namespace orioledoor::ownership::internal
