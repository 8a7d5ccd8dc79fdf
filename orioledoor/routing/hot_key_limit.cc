// Even distribution of the requests that a hot key can serve.
#include "orioledoor/routing/hot_key_limit.h"

namespace orioledoor::routing {
namespace {

// Bounds the memory; hot spots cover up to 200 keys.
constexpr std::size_t MaxKeys = 2048;

} // namespace

float HotKeyLimit::firstCredit() {
  // Multiples of the golden ratio are spread evenly over the unit interval.
  constexpr std::uint64_t GoldenRatio = 0x9e3779b97f4a7c15;
  this->Phase = (this->Phase + 1) * GoldenRatio;
  return static_cast<float>(this->Phase >> 40) / static_cast<float>(1U << 24);
}

void HotKeyLimit::setShare(std::string_view Service, std::int32_t Key,
                           float Share, Instant Now) {
  std::pair<std::string, std::int32_t> Name(Service, Key);
  auto Found = this->Keys.find(Name);
  if (Share >= 1) {
    if (Found != this->Keys.end())
      this->Keys.erase(Found);
    return;
  }
  if (Found == this->Keys.end()) {
    std::erase_if(this->Keys, [Now](const auto &Entry) {
      return Now - Entry.second.StatedAt > ShareLifetime;
    });
    if (this->Keys.size() >= MaxKeys)
      return;
    Found = this->Keys
                .try_emplace(std::move(Name),
                             Limited{.Credit = this->firstCredit()})
                .first;
  }
  Found->second.Share = Share;
  Found->second.StatedAt = Now;
}

bool HotKeyLimit::allow(std::string_view Service, std::int32_t Key,
                        Instant Now) {
  auto Found = this->Keys.find(std::pair(std::string(Service), Key));
  if (Found == this->Keys.end())
    return true;
  Limited &Known = Found->second;
  if (Now - Known.StatedAt > ShareLifetime) {
    this->Keys.erase(Found);
    return true;
  }
  Known.Credit += Known.Share;
  if (Known.Credit >= 1) {
    Known.Credit -= 1;
    return true;
  }
  ++this->Refused;
  ++Known.RefusedSincePass;
  return false;
}

std::uint32_t HotKeyLimit::takeDemand(std::string_view Service,
                                      std::int32_t Key) {
  auto Found = this->Keys.find(std::pair(std::string(Service), Key));
  return Found == this->Keys.end()
             ? 1
             : 1 + std::exchange(Found->second.RefusedSincePass, 0);
}

} // namespace orioledoor::routing
