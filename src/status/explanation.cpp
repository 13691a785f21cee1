#include "status/explanation.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <utility>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxLines = 24;
constexpr std::size_t kMaxColumns = 80;
constexpr std::string_view kAcceptanceSegment = "acceptance";
constexpr Millis kSecond = 1000;
constexpr double kMicrosPerMilli = 1000;

// Reports reach the platform within seconds, so an older object is out of date.
constexpr Millis kMaxFreshAge = 30000;

std::string_view
LastSegment(std::string_view aName)
{
  return aName.substr(aName.rfind('/') + 1);
}

std::string
TimeText(Millis aWall)
{
  const auto seconds = static_cast<std::time_t>(aWall / kSecond);
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(seconds));
}

std::string
AgeText(Millis aMillis)
{
  constexpr Millis kMinute = 60 * kSecond;
  if (aMillis < 2 * kMinute) {
    return fmt::format("{} s", std::max<Millis>(0, aMillis) / kSecond);
  }
  return fmt::format("{} min", aMillis / kMinute);
}

bool
HasProblem(const DomainStatus& aStatus)
{
  return aStatus.refused > 0 || aStatus.slow > 0 || aStatus.unknown > 0;
}

/**
 * Domains are sorted by this number, highest first, because the end of a long
 * text is omitted.
 */
std::int64_t
Severity(const DomainStatus& aStatus)
{
  return aStatus.refused + aStatus.slow + aStatus.unknown;
}

std::string
LimitLine(const DomainStatus& aStatus)
{
  const std::string excess =
    aStatus.bound > 0 && aStatus.seen > aStatus.bound
      ? fmt::format(", {}% over",
                    (aStatus.seen - aStatus.bound) * 100 / aStatus.bound)
      : std::string();
  return fmt::format("  limit {}: bound {}, seen {}{} (share of one host)",
                     aStatus.limit,
                     aStatus.bound,
                     aStatus.seen,
                     excess);
}

std::vector<std::string>
DomainLines(const DomainStatus& aStatus, Millis aNow)
{
  const bool isOld = aNow - aStatus.updated > kMaxFreshAge;
  const std::string age = AgeText(aNow - aStatus.updated);
  if (!HasProblem(aStatus)) {
    return { fmt::format(
      "{}: no problems, reported {} ago", aStatus.domain, age) };
  }
  std::vector<std::string> lines;
  lines.push_back(fmt::format("{}: {} of {} calls refused, {} slow, {} unknown",
                              aStatus.domain,
                              aStatus.refused,
                              aStatus.calls,
                              aStatus.slow,
                              aStatus.unknown));
  lines.push_back(
    fmt::format("  since {}, reported {} ago by {} daemons{}",
                aStatus.since > 0 ? TimeText(aStatus.since) : "an unknown time",
                age,
                aStatus.hosts,
                isOld ? " (out of date)" : ""));
  lines.push_back(
    fmt::format("  latency p50 {:.1f} ms, p99 {:.1f} ms",
                static_cast<double>(aStatus.p50Micros) / kMicrosPerMilli,
                static_cast<double>(aStatus.p99Micros) / kMicrosPerMilli));
  if (!aStatus.limit.empty()) {
    lines.push_back(LimitLine(aStatus));
  }
  if (!aStatus.callers.empty()) {
    lines.push_back(fmt::format("  for {}", fmt::join(aStatus.callers, ", ")));
  }
  return lines;
}

std::string
FitToScreen(std::vector<std::string> aLines)
{
  if (aLines.size() > kMaxLines) {
    const std::size_t hiddenLines = aLines.size() - kMaxLines + 1;
    aLines.resize(kMaxLines - 1);
    aLines.push_back(fmt::format("({} more lines with --json)", hiddenLines));
  }
  std::string text;
  for (const std::string& line : aLines) {
    text += line.size() > kMaxColumns ? line.substr(0, kMaxColumns - 3) + "..."
                                      : line;
    text += '\n';
  }
  return text;
}

std::string
AcceptanceReason(const std::string& aValue)
{
  const Json json = Json::parse(aValue, nullptr, false);
  const bool hasReason =
    json.is_object() && json.contains("reason") && json["reason"].is_string();
  return hasReason ? json["reason"].get<std::string>() : aValue;
}

} // namespace

Explanation
Explanation::FromObjects(std::string aEntry,
                         const std::vector<StoredObject>& aObjects)
{
  Explanation explanation;
  explanation.entry = std::move(aEntry);
  for (const StoredObject& object : aObjects) {
    if (object.isDeleted) {
      continue;
    }
    if (LastSegment(object.name) == kAcceptanceSegment) {
      explanation.acceptance = AcceptanceReason(object.value);
      continue;
    }
    auto status = DecodeStatus(object.value);
    if (status.has_value()) {
      explanation.domains.push_back(std::move(status.value()));
    } else {
      explanation.unreadable.push_back(object.name);
    }
  }
  std::ranges::stable_sort(explanation.domains, std::greater<>{}, Severity);
  return explanation;
}

StatusResult<Explanation>
Explanation::FromJson(std::string_view aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  if (json.is_discarded()) {
    return StatusError{ StatusErrorCode::BadJson,
                        "the explanation is not valid JSON" };
  }
  Explanation explanation;
  try {
    json.at("entry").get_to(explanation.entry);
    json.at("acceptance").get_to(explanation.acceptance);
    json.at("unreadable").get_to(explanation.unreadable);
    for (const Json& item : json.at("domains")) {
      auto status = StatusFromJson(item);
      if (!status.has_value()) {
        return std::move(status.error());
      }
      explanation.domains.push_back(std::move(status.value()));
    }
  } catch (const Json::exception& error) {
    return StatusError{ StatusErrorCode::BadField, error.what() };
  }
  return explanation;
}

std::string
Explanation::ToJson() const
{
  Json items = Json::array();
  for (const DomainStatus& status : this->domains) {
    items.push_back(StatusToJson(status));
  }
  const Json json = { { "entry", this->entry },
                      { "owner", this->Owner() },
                      { "acceptance", this->acceptance },
                      { "unreadable", this->unreadable },
                      { "domains", std::move(items) } };
  return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

std::string
Explanation::Text(Millis aNow) const
{
  std::vector<std::string> lines;
  const std::string owner = this->Owner();
  lines.push_back(fmt::format(
    "entry {}, owner {}", this->entry, owner.empty() ? "not reported" : owner));
  if (!this->acceptance.empty()) {
    lines.push_back("last edit not accepted: " + this->acceptance);
  }
  if (this->domains.empty()) {
    lines.emplace_back("no daemon has reported refusals or slow calls");
  }
  for (const std::string& name : this->unreadable) {
    lines.push_back("not readable: " + name);
  }
  for (const DomainStatus& status : this->domains) {
    std::ranges::move(DomainLines(status, aNow), std::back_inserter(lines));
  }
  return FitToScreen(std::move(lines));
}

std::string
Explanation::Owner() const
{
  return this->domains.empty() ? std::string() : this->domains.front().owner;
}

} // namespace lacewingwharf
