// Parses IP addresses with inet_pton(), which never resolves host names.
#include "orioledoor/catalogue/parse_endpoint.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "orioledoor/catalogue/settings.h"

namespace orioledoor {
namespace {

bool isWildcard(std::string_view Host) {
  return Host == "0.0.0.0" || Host == "::";
}

// Returns the address in the canonical form of inet_ntop(), or nothing if Text
// is not an IP address.
std::optional<std::string> parseHost(std::string_view Text) {
  bool Bracketed = Text.size() > 2 && Text.front() == '[' && Text.back() == ']';
  std::string Host(Bracketed ? Text.substr(1, Text.size() - 2) : Text);
  int Family = Bracketed ? AF_INET6 : AF_INET;
  std::array<unsigned char, sizeof(in6_addr)> Address{};
  std::array<char, INET6_ADDRSTRLEN> Canonical{};
  if (inet_pton(Family, Host.c_str(), Address.data()) != 1)
    return std::nullopt;
  return inet_ntop(Family, Address.data(), Canonical.data(), Canonical.size());
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Digits = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  std::optional<std::string> Host = parseHost(Text.substr(0, Colon));
  if (Error != std::errc() || End != Digits.data() + Digits.size() ||
      Port == 0 || !Host || isWildcard(*Host))
    return std::nullopt;
  return Endpoint{*Host, Port};
}

std::string formatEndpoint(const Endpoint &Value) {
  bool Bracketed = Value.Host.find(':') != std::string::npos;
  std::string Host = Bracketed ? '[' + Value.Host + ']' : Value.Host;
  return Host + ':' + std::to_string(Value.Port);
}

} // namespace orioledoor
