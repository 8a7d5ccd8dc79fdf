// Measures the time of one plan, one encoding and one decoding of the
// assignment for several numbers of members, for docs/CAPACITY.md. Prints CSV:
//   members,slices,plan_ms,admit_ms,encode_ms,decode_ms,bytes,memory_kb
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/ownership/assignment_planner.h"
#include "orioledoor/ownership/fact_set.h"
#include "orioledoor/ownership/load_model.h"

namespace orioledoor::ownership {
namespace {

constexpr int Repeats = 5;

template <typename Work> double averageMillis(Work Run) {
  auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Repeats; ++I)
    Run();
  std::chrono::duration<double, std::milli> Elapsed =
      std::chrono::steady_clock::now() - Start;
  return Elapsed.count() / Repeats;
}

JoinRequest makeJoinRequest(std::uint64_t Token) {
  std::uint64_t Domain = Token % 6;
  return JoinRequest{.Name = "node-" + std::to_string(Token),
                     .Token = Token,
                     .PeerAddress = "tcp://127.0.0.1:10001",
                     .HttpAddress = "127.0.0.1:10002",
                     .Region = "region-" + std::to_string(Domain / 2),
                     .FailureDomain = "domain-" + std::to_string(Domain),
                     .Service = "consulta",
                     .Slots = 20};
}

void measure(std::uint64_t Members, std::uint32_t Slices) {
  Catalogue Entries;
  ServiceEntry Entry;
  Entry.Name = "consulta";
  Entry.Id = serviceIdOf(Entry.Name);
  Entry.Slices = Slices;
  Entries.Services.push_back(Entry);
  std::vector<JoinRequest> Joins;
  for (std::uint64_t T = 1; T <= Members; ++T)
    Joins.push_back(makeJoinRequest(T));
  FactSet Known;
  LoadModel Loads;
  Assignment Current;
  auto Plan = [&](std::span<const JoinRequest> Requests) {
    return planAssignment(AssignmentPlanInput{
        .Current = Current,
        .ActiveCatalogue = Entries,
        .Known = Known,
        .Loads = Loads,
        .Now = Instant(1),
        .JoinRequests = Requests,
        .CompletedHandovers = {},
        .DeclaredLostMembers = {},
        .LeavingMembers = {},
        .UnresponsiveMembers = {},
        .RenewableGuardians = {},
        .MayAssignFirstOwners = [](ServiceId) { return true; },
        .MoveCooldownElapsed = [](SliceRef) { return true; }});
  };
  // The first member joins alone, then all but one, then the last one.
  Current = Plan(std::span(Joins).first(1)).Next;
  Current = Plan(std::span(Joins).first(Joins.size() - 1)).Next;
  double Admit = averageMillis([&] { Plan(std::span(Joins).last(1)); });
  Current = Plan(std::span(Joins).last(1)).Next;
  double Idle = averageMillis([&] { Plan({}); });
  std::string Bytes;
  double Encode = averageMillis([&] { Bytes = encodeAssignment(Current); });
  double Decode = averageMillis([&] { (void)decodeAssignment(Bytes); });
  std::size_t Memory = Slices * sizeof(SliceOwner) + Members * sizeof(Member);
  std::printf("%llu,%u,%.3f,%.3f,%.3f,%.3f,%zu,%zu\n",
              static_cast<unsigned long long>(Members), Slices, Idle, Admit,
              Encode, Decode, Bytes.size(), Memory / 1024);
}

} // namespace
} // namespace orioledoor::ownership

int main() {
  std::puts("members,slices,plan_ms,admit_ms,encode_ms,decode_ms,bytes,"
            "memory_kb");
  orioledoor::ownership::measure(6, 4096);
  orioledoor::ownership::measure(18, 4096);
  orioledoor::ownership::measure(72, 16384);
  orioledoor::ownership::measure(470, 65536);
}
