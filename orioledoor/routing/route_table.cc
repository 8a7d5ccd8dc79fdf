// Route lookup by binary search over (host, prefix), longest prefix first.
#include "orioledoor/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <tuple>

namespace orioledoor::routing {
namespace {

std::string lowerHost(std::string_view Host) {
  std::string Lower(Host.substr(0, Host.find(':')));
  std::ranges::transform(Lower, Lower.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Lower;
}

} // namespace

void RouteTable::finish() {
  for (Route &Entry : this->Routes)
    Entry.Host = lowerHost(Entry.Host);
  std::ranges::sort(this->Routes, {}, [](const Route &Entry) {
    return std::tie(Entry.Host, Entry.Prefix);
  });
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Target) const {
  std::string Lower = lowerHost(Host);
  std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  auto KeyOf = [](const Route &Entry) {
    return std::pair<std::string_view, std::string_view>(Entry.Host,
                                                         Entry.Prefix);
  };
  // Prefixes end with a slash, so only parts of the path that end with one can
  // match.
  while (true) {
    std::size_t Slash = Path.rfind('/');
    if (Slash == std::string_view::npos)
      return nullptr;
    Path = Path.substr(0, Slash + 1);
    std::pair<std::string_view, std::string_view> Wanted(Lower, Path);
    auto Found = std::ranges::lower_bound(this->Routes, Wanted, {}, KeyOf);
    if (Found != this->Routes.end() && KeyOf(*Found) == Wanted)
      return &*Found;
    Path.remove_suffix(1);
  }
}

const ServicePolicy *RouteTable::service(std::string_view Name) const {
  auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

} // namespace orioledoor::routing
