// Tracks runs by request, and fencing tokens and holders by key.
#include "orioledoor/soak/soak_checker.h"

#include <utility>

namespace orioledoor::soak {
namespace {

// The platform's limit on the time that a key may have two holders.
constexpr Duration MaxSharedTime = std::chrono::milliseconds(500);
// A target may get half as much again as its limit in any LimitWindow, plus
// LimitSlack requests, once it has stated the limit for LimitNotice.
constexpr Duration LimitWindow = std::chrono::seconds(4);
constexpr Duration LimitNotice = std::chrono::seconds(3);
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;
// The platform's drain time. Callers see an answer after the node passed it on,
// so the check is not stricter than the rule.
constexpr Duration DrainTime = std::chrono::seconds(2);
// The platform's contactMs: a node counts as in touch after this time.
constexpr Duration ContactTime = std::chrono::seconds(3);
// Time within which a node notices changed settings without a signal, and
// within which a request that was sent before may be read.
constexpr Duration ServiceChangeTime = std::chrono::milliseconds(500);
// The platform's bound on requests that reach a target after their callers have
// left.
constexpr Duration MaxArrivalAfterDeparture = std::chrono::milliseconds(500);
// Time within which an answer reaches its caller after a loss on its way, as a
// key must be served again.
constexpr Duration DeliveryTime = std::chrono::seconds(2);

} // namespace

void SoakChecker::addViolation(const std::string &Rule,
                               const std::string &Detail, Instant Now) {
  this->Violations.push_back({Now, Rule, Detail});
}

void SoakChecker::recordAcquisition(const std::string &Target,
                                    std::uint32_t Key, std::int64_t Fence,
                                    Instant Now) {
  std::int64_t &Highest = this->HighestFences[Key];
  if (Fence <= Highest)
    this->addViolation("OWNER",
                       Target + " acquired key " + std::to_string(Key) +
                           " with token " + std::to_string(Fence) +
                           ", not above " + std::to_string(Highest),
                       Now);
  else
    Highest = Fence;
}

void SoakChecker::checkHolders(std::uint32_t Key,
                               std::span<const std::string> Targets,
                               Instant Now) {
  if (Targets.size() < 2) {
    this->SharedSince.erase(Key);
    return;
  }
  Instant &Since = this->SharedSince.try_emplace(Key, Now).first->second;
  if (Now - Since <= MaxSharedTime)
    return;
  this->addViolation("OWNER",
                     "key " + std::to_string(Key) + " is held by " +
                         Targets[0] + " and " + Targets[1],
                     Now);
  Since = Now;
}

void SoakChecker::recordStart(const std::string &Target,
                              const std::string &Attempt, bool MayRepeat,
                              Instant Now) {
  if (++this->RunCounts[Attempt] > 1 && !MayRepeat)
    this->addViolation("TWICE", Attempt + " runs again at " + Target, Now);
  if (this->Rejected.contains(Attempt))
    this->addViolation(
        "REFUSED", Attempt + " runs at " + Target + " after a rejection", Now);
}

void SoakChecker::recordRejection(const std::string &Attempt, Instant Now) {
  this->Rejected.insert(Attempt);
  if (auto Found = this->RunCounts.find(Attempt);
      Found != this->RunCounts.end())
    this->addViolation("REFUSED",
                       Attempt + " was rejected after it began to run", Now);
}

void SoakChecker::recordUnanswered(const std::string &Attempt, Instant Now) {
  if (this->RunCounts.contains(Attempt))
    this->addViolation("LOST", Attempt + " was cut off while it ran", Now);
}

void SoakChecker::recordTimedOut(const std::string &Attempt, Instant Now) {
  auto Found = this->AnsweredAt.find(Attempt);
  if (Found != this->AnsweredAt.end() && Now - Found->second > DeliveryTime)
    this->addViolation(
        "LOST",
        Attempt + " was answered by its target " +
            std::to_string((Now - Found->second).count() / 1000) +
            " ms before its caller's time was over",
        Now);
}

void SoakChecker::recordLimit(const std::string &Target,
                              std::optional<double> Limit, Instant Now) {
  this->LimitedTargets.erase(Target);
  if (Limit)
    this->LimitedTargets[Target] = {
        .Limit = *Limit, .Since = Now, .Arrivals = {}};
}

void SoakChecker::recordSent(const std::string &Node,
                             const std::string &Attempt, RequestParts Parts,
                             Instant Now) {
  this->SentRequests[Attempt] = {
      .Node = Node, .Parts = std::move(Parts), .At = Now, .LeftAt = {}};
}

void SoakChecker::checkParts(const std::string &Target,
                             const std::string &Attempt,
                             const RequestParts &Seen, Instant Now) {
  auto Sent = this->SentRequests.find(Attempt);
  if (Sent == this->SentRequests.end()) {
    this->addViolation(
        "UNASKED", Target + " got " + Attempt + ", which no caller sent", Now);
    return;
  }
  RequestParts Expected = Sent->second.Parts;
  // Around a change, either service is right.
  if (auto Changed = this->ServiceChangedAt.find(Sent->second.Node);
      Changed != this->ServiceChangedAt.end() &&
      Sent->second.At > Changed->second - ServiceChangeTime &&
      Sent->second.At < Changed->second + ServiceChangeTime)
    Expected.CallerService = Seen.CallerService;
  if (Seen == Expected)
    return;
  this->addViolation("UNASKED",
                     Target + " got " + Attempt + " of " + Sent->second.Node +
                         " as " + Seen.Method + " " + Seen.Target + " with " +
                         std::to_string(Seen.Body.size()) +
                         " bytes from the service " + Seen.CallerService,
                     Now);
}

void SoakChecker::recordLeavingAnswer(const std::string &Node,
                                      const std::string &Target, Instant Now) {
  this->LeavingSeen.try_emplace({Node, Target}, Now);
}

void SoakChecker::recordDeparture(const std::string &Attempt, Instant Now) {
  this->SentRequests.at(Attempt).LeftAt = Now;
}

void SoakChecker::checkDeparture(const std::string &Target,
                                 const std::string &Attempt,
                                 const SentRequest &Sent, Instant Now) {
  if (!Sent.LeftAt || *Sent.LeftAt <= this->DeparturesExcusedAt ||
      Now - *Sent.LeftAt <= MaxArrivalAfterDeparture)
    return;
  auto Excused = this->NodesExcusedAt.find(Sent.Node);
  if (Excused == this->NodesExcusedAt.end() || *Sent.LeftAt > Excused->second)
    this->addViolation("GONE",
                       Attempt + " of " + Sent.Node + " reached " + Target +
                           " " +
                           std::to_string((Now - *Sent.LeftAt).count() / 1000) +
                           " ms after its caller had left",
                       Now);
}

void SoakChecker::excuseNode(const std::string &Node, Instant Now) {
  this->NodesExcusedAt[Node] = Now;
  std::erase_if(this->LeavingSeen, [&Node](const auto &Entry) {
    return Entry.first.first == Node;
  });
}

void SoakChecker::checkLeaving(const std::string &Target,
                               const std::string &Attempt,
                               const SentRequest &Sent, Instant Now) {
  auto Found = this->LeavingAcknowledged.find(Target);
  if (Found == this->LeavingAcknowledged.end())
    return;
  const auto &[Node, Since] = Found->second;
  auto IsInTouch = [&](const std::string &Name) {
    auto Down = this->NodesDownAt.find(Name);
    return Down == this->NodesDownAt.end() ||
           Sent.At - Down->second > ContactTime;
  };
  if (Sent.At - Since > DrainTime && IsInTouch(Node) && IsInTouch(Sent.Node))
    this->addViolation("DRAIN",
                       Attempt + " of " + Sent.Node + " reached " + Target +
                           " after the drain time",
                       Now);
}

void SoakChecker::recordArrival(const std::string &Target,
                                const std::string &Attempt, Instant Now) {
  if (auto Sent = this->SentRequests.find(Attempt);
      Sent != this->SentRequests.end()) {
    this->checkDeparture(Target, Attempt, Sent->second, Now);
    this->checkLeaving(Target, Attempt, Sent->second, Now);
    auto Seen = this->LeavingSeen.find({Sent->second.Node, Target});
    if (Seen != this->LeavingSeen.end() &&
        Sent->second.At - Seen->second > DrainTime)
      this->addViolation("DRAIN",
                         Attempt + " of " + Sent->second.Node + " reached " +
                             Target + ", which is leaving",
                         Now);
  }
  auto Found = this->LimitedTargets.find(Target);
  if (Found == this->LimitedTargets.end() ||
      Now - Found->second.Since < LimitNotice)
    return;
  LimitedTarget &Limited = Found->second;
  Limited.Arrivals.push_back(Now);
  while (Now - Limited.Arrivals.front() > LimitWindow)
    Limited.Arrivals.pop_front();
  double Allowed = LimitFactor * Limited.Limit *
                       std::chrono::duration<double>(LimitWindow).count() +
                   LimitSlack;
  if (static_cast<double>(Limited.Arrivals.size()) <= Allowed)
    return;
  this->addViolation("LIMIT",
                     Target + " with a limit of " +
                         std::to_string(Limited.Limit) + " requests/s got " +
                         std::to_string(Limited.Arrivals.size()),
                     Now);
  // Reports each window once.
  Limited.Arrivals.clear();
}

void SoakChecker::checkRoute(const std::string &Node, const std::string &Path,
                             bool Exists, int Status, Instant Now) {
  if (Exists && Status == 404)
    this->addViolation("CONFIG", Node + " does not know the route " + Path,
                       Now);
  if (!Exists && Status == 200)
    this->addViolation("CONFIG", Node + " still serves the route " + Path, Now);
}

} // namespace orioledoor::soak
