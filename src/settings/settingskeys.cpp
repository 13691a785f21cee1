#include "settings/settingskeys.h"

#include "common/duration.h"

#include <arpa/inet.h>
#include <boost/algorithm/string.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <iterator>
#include <limits>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kHourMillis = 3600000;
constexpr std::int64_t kMonthMillis = 720 * kHourMillis;

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

std::optional<std::int64_t>
ParseNumber(std::string_view aText, std::int64_t aLow, std::int64_t aHigh)
{
  std::int64_t value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  const bool isWhole = parsed.ec == std::errc() && parsed.ptr == end;
  if (!isWhole || value < aLow || value > aHigh) {
    return std::nullopt;
  }
  return value;
}

std::optional<double>
ParseReal(std::string_view aText, double aLow, double aHigh)
{
  double value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  const bool isValid = parsed.ec == std::errc() && parsed.ptr == end &&
                       value >= aLow && value <= aHigh;
  return isValid ? std::optional(value) : std::nullopt;
}

bool
IsIpAddress(const std::string& aText)
{
  in_addr parsed{};
  return inet_pton(AF_INET, aText.c_str(), &parsed) == 1;
}

std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string address(aText.substr(0, colon));
  const auto port = ParseNumber(aText.substr(colon + 1), 1, kMaxPort);
  if (!port || !IsIpAddress(address)) {
    return std::nullopt;
  }
  return SocketAddress{ address, static_cast<int>(*port) };
}

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> parts;
  boost::algorithm::split(parts, aText, boost::is_any_of(","));
  std::ranges::for_each(parts, [](std::string& aPart) { boost::trim(aPart); });
  return parts;
}

bool
IsName(std::string_view aText)
{
  constexpr std::size_t kMaxNameBytes = 63;
  const auto isAllowed = [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '.' ||
           aChar == '_' || aChar >= 0x80;
  };
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::ranges::all_of(aText, isAllowed);
}

SettingsKey
NameKey(std::string_view aSection,
        std::string_view aName,
        std::string Settings::*aMember)
{
  return { aSection,
           aName,
           true,
           "a name of letters, digits, '-', '.' and '_'",
           [aMember](Settings& aSettings, std::string_view aText) {
             if (!IsName(aText)) {
               return false;
             }
             aSettings.*aMember = std::string(aText);
             return true;
           } };
}

template<typename Number>
SettingsKey
NumberKey(std::string_view aSection,
          std::string_view aName,
          Number Settings::*aMember,
          std::int64_t aLow,
          std::int64_t aHigh,
          bool aIsRequired = false)
{
  return { aSection,
           aName,
           aIsRequired,
           fmt::format("a whole number from {} to {}", aLow, aHigh),
           [=](Settings& aSettings, std::string_view aText) {
             const auto value = ParseNumber(aText, aLow, aHigh);
             if (!value) {
               return false;
             }
             aSettings.*aMember = static_cast<Number>(*value);
             return true;
           } };
}

/**
 * A platform that does not know the rate leaves the value empty or the
 * placeholder of the template as it is.
 */
bool
AssignLinkRate(Settings& aSettings, std::string_view aText)
{
  constexpr double kMaxLinkRate = 1000000;
  if (aText.empty() || (aText.starts_with("{{") && aText.ends_with("}}"))) {
    aSettings.linkRate = 0;
    return true;
  }
  const auto value = ParseReal(aText, 0, kMaxLinkRate);
  aSettings.linkRate = value.value_or(aSettings.linkRate);
  return value.has_value();
}

bool
AssignHedgeShare(Settings& aSettings, std::string_view aText)
{
  constexpr double kMaxHedgeShare = 0.2;
  const auto value = ParseReal(aText, 0, kMaxHedgeShare);
  aSettings.hedgeShare = value.value_or(aSettings.hedgeShare);
  return value.has_value();
}

bool
AssignAddress(Settings& aSettings, std::string_view aText)
{
  std::string address(aText);
  if (!IsIpAddress(address)) {
    return false;
  }
  aSettings.address = std::move(address);
  return true;
}

bool
AssignPlatformAddress(Settings& aSettings, std::string_view aText)
{
  const auto address = ParseSocketAddress(aText);
  if (address) {
    aSettings.platform = *address;
  }
  return address.has_value();
}

bool
AssignPeers(Settings& aSettings, std::string_view aText)
{
  for (const std::string& part : SplitList(aText)) {
    const auto address = ParseSocketAddress(part);
    if (!address) {
      return false;
    }
    aSettings.peers.push_back(*address);
  }
  return true;
}

bool
AssignForwards(Settings& aSettings, std::string_view aText)
{
  for (const std::string& part : SplitList(aText)) {
    const std::string_view pair = part;
    const auto arrow = pair.find('>');
    if (arrow == std::string_view::npos) {
      return false;
    }
    const auto peer = ParseSocketAddress(Trim(pair.substr(0, arrow)));
    const auto forwarder = ParseSocketAddress(Trim(pair.substr(arrow + 1)));
    if (!peer || !forwarder) {
      return false;
    }
    aSettings.forwards.push_back({ *peer, *forwarder });
  }
  return true;
}

SettingsKey
SiteAddressKey(std::string_view aName, SocketAddress SiteSettings::*aMember)
{
  return { "site",
           aName,
           false,
           "IPV4:PORT",
           [aMember](Settings& aSettings, std::string_view aText) {
             const auto address = ParseSocketAddress(aText);
             if (address) {
               aSettings.site.*aMember = *address;
             }
             return address.has_value();
           } };
}

std::vector<SettingsKey>
SiteKeys()
{
  return {
    { "site",
      "protocol",
      false,
      "own or platform",
      [](Settings& aSettings, std::string_view aText) {
        const auto kind = kProtocolKindNames.ValueOf(aText);
        aSettings.site.protocol = kind.value_or(ProtocolKind::Own);
        return kind.has_value();
      } },
    SiteAddressKey("calls", &SiteSettings::calls),
    SiteAddressKey("readiness", &SiteSettings::readiness),
    SiteAddressKey("announcements", &SiteSettings::announcements),
    SiteAddressKey("server", &SiteSettings::server),
    { "site",
      "service",
      false,
      "a name of letters, digits, '-', '.' and '_'",
      [](Settings& aSettings, std::string_view aText) {
        aSettings.site.service = std::string(aText);
        return IsName(aText);
      } },
    { "site",
      "announceinterval",
      false,
      "a time such as 1500ms or 2.5s",
      [](Settings& aSettings, std::string_view aText) {
        const auto time = ParseDuration(aText);
        aSettings.site.announceInterval =
          time.value_or(aSettings.site.announceInterval);
        return time.has_value() && *time > 0;
      } },
    { "site",
      "bound",
      false,
      "NAME=VALUE",
      [](Settings& aSettings, std::string_view aText) {
        aSettings.site.bounds.emplace_back(aText);
        return aText.find('=') != std::string_view::npos;
      },
      true },
    { "site",
      "contracts",
      false,
      "a comma-separated list of names",
      [](Settings& aSettings, std::string_view aText) {
        const auto parts = SplitList(aText);
        std::ranges::copy_if(parts,
                             std::back_inserter(aSettings.site.contracts),
                             [](const auto& aPart) { return !aPart.empty(); });
        return true;
      },
      true },
  };
}

std::vector<SettingsKey>
MakeKeys()
{
  return {
    NameKey("daemon", "host", &Settings::host),
    { "daemon", "address", true, "an IPv4 address", AssignAddress },
    NameKey("daemon", "region", &Settings::region),
    NameKey("daemon", "domain", &Settings::domain),
    { "daemon",
      "loglevel",
      false,
      "debug, info, warning or error",
      [](Settings& aSettings, std::string_view aText) {
        return Log::ParseLevel(aText, aSettings.logLevel);
      } },
    NumberKey("daemon", "stoplimit", &Settings::stopLimit, 100, kHourMillis),
    { "daemon",
      "linkrate",
      false,
      "a rate, which may be empty, from 0 to 1000000 Mbit/s",
      AssignLinkRate },
    NumberKey("peer", "port", &Settings::peerPort, 1, kMaxPort),
    { "peer",
      "forwards",
      false,
      "a comma-separated list of IPV4:PORT>IPV4:PORT",
      AssignForwards,
      true },
    NumberKey("http", "callport", &Settings::callPort, 1, kMaxPort),
    NumberKey("http", "adminport", &Settings::adminPort, 1, kMaxPort),
    NumberKey("http", "maxbodybytes", &Settings::maxBodyBytes, 1024, 8 << 20),
    NumberKey("http", "maxconnections", &Settings::maxConnections, 1, 60000),
    NumberKey("http", "pipelinerequests", &Settings::pipelineRequests, 0, 1000),
    NumberKey("http", "pipelinebytes", &Settings::pipelineBytes, 1024, 1 << 28),
    NumberKey("http",
              "pipelinetotalbytes",
              &Settings::pipelineTotalBytes,
              1024,
              1 << 30),
    NumberKey("http", "callerbytes", &Settings::callerBytes, 1 << 20, 1 << 30),
    NumberKey("http",
              "callerconnectionbytes",
              &Settings::callerConnectionBytes,
              65536,
              1 << 30),
    NumberKey(
      "http", "calleraddressbytes", &Settings::callerAddressBytes, 0, 1 << 30),
    NumberKey("http",
              "calleraddressconnections",
              &Settings::callerAddressConnections,
              0,
              60000),
    { "calls",
      "hedgeshare",
      false,
      "a fraction from 0 to 0.2",
      AssignHedgeShare },
    { "platform", "address", true, "IPV4:PORT", AssignPlatformAddress },
    NameKey("platform", "region", &Settings::platformRegion),
    NumberKey("platform", "timeout", &Settings::platformTimeout, 50, 60000),
    NumberKey(
      "platform", "callspersecond", &Settings::platformCallsPerSecond, 1, 1000),
    { "membership",
      "peers",
      false,
      "a comma-separated list of IPV4:PORT",
      AssignPeers,
      true },
    NumberKey(
      "membership", "gossipinterval", &Settings::gossipInterval, 50, 60000),
    NumberKey("membership", "suspicion", &Settings::suspicionTime, 200, 600000),
    NumberKey(
      "membership", "endpointtimeout", &Settings::endpointTimeout, 200, 600000),
    NumberKey("distribution", "feeders", &Settings::relays, 1, 16),
    NumberKey("distribution", "fanout", &Settings::fanout, 2, 64),
    NumberKey("distribution", "startwait", &Settings::startWait, 100, 60000),
    NumberKey(
      "claims", "retention", &Settings::claimRetention, 60000, kMonthMillis),
    NumberKey("claims", "wait", &Settings::claimWait, 50, 60000),
    NumberKey(
      "claims", "callspersecond", &Settings::claimCallsPerSecond, 1, 2000),
    NumberKey(
      "status", "reportinterval", &Settings::reportInterval, 200, 600000),
  };
}

} // namespace

const std::vector<SettingsKey>&
SettingsKeys()
{
  static const std::vector<SettingsKey> sKeys = [] {
    auto keys = MakeKeys();
    std::ranges::move(SiteKeys(), std::back_inserter(keys));
    return keys;
  }();
  return sKeys;
}

} // namespace lacewingwharf
