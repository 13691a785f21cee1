#include "ctl/reviewreport.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

/**
 * Replaces control characters, which names in files may contain and which could
 * change what a terminal shows.
 */
std::string
Printable(std::string aText)
{
  std::ranges::replace_if(
    aText,
    [](char aCharacter) {
      return std::iscntrl(static_cast<unsigned char>(aCharacter)) != 0;
    },
    '?');
  return aText;
}

std::string
FormatFinding(const Finding& aFinding)
{
  return Printable(
    fmt::format("{} {} {}: {}",
                kFindingLevelNames.NameOf(aFinding.level),
                aFinding.code,
                aFinding.entry.empty() ? "catalogue" : aFinding.entry,
                aFinding.detail));
}

} // namespace

std::ptrdiff_t
ReviewReport::Count(FindingLevel aLevel) const
{
  return std::ranges::count(this->findings, aLevel, &Finding::level);
}

std::string
FormatReviewText(const ReviewReport& aReport)
{
  std::string text;
  for (const Finding& finding : aReport.findings) {
    text += FormatFinding(finding) + '\n';
  }
  return text + fmt::format("{} entries, {} errors, {} warnings\n",
                            aReport.entryCount,
                            aReport.Count(FindingLevel::Error),
                            aReport.Count(FindingLevel::Warning));
}

std::string
FormatReviewJson(const ReviewReport& aReport)
{
  Json findings = Json::array();
  for (const Finding& finding : aReport.findings) {
    findings.push_back({ { "level", kFindingLevelNames.NameOf(finding.level) },
                         { "code", finding.code },
                         { "entry", finding.entry },
                         { "detail", finding.detail } });
  }
  const Json report = { { "entries", aReport.entryCount },
                        { "errors", aReport.Count(FindingLevel::Error) },
                        { "warnings", aReport.Count(FindingLevel::Warning) },
                        { "findings", std::move(findings) } };
  // Names of files need not be UTF-8.
  return report.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

} // namespace lacewingwharf
