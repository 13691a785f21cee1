#include "ctl/reviewreport.h"

#include "ctl/printable.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

/** Returns a number with the singular or the plural of what it counts. */
std::string
FormatCount(std::ptrdiff_t aCount, const char* aOne, const char* aMany)
{
  return fmt::format("{} {}", aCount, aCount == 1 ? aOne : aMany);
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

std::string
FormatValue(const std::string& aValue)
{
  return aValue.empty() ? "(none)" : aValue;
}

std::string
FormatDifference(const EntryDifference& aDifference)
{
  std::vector<std::string> fields;
  std::ranges::transform(aDifference.fields,
                         std::back_inserter(fields),
                         [](const FieldDifference& aField) {
                           return fmt::format("{} {} -> {}",
                                              aField.field,
                                              FormatValue(aField.from),
                                              FormatValue(aField.to));
                         });
  return Printable(fmt::format("{} {} {}{}{}",
                               kEntryChangeNames.NameOf(aDifference.change),
                               kEntryKindNames.NameOf(aDifference.kind),
                               aDifference.entry,
                               fields.empty() ? "" : ": ",
                               fmt::join(fields, ", ")));
}

std::string
FormatDifferences(const ReviewDifferences& aDifferences)
{
  std::string text = Printable(fmt::format(
    "{} from {}",
    FormatCount(
      std::ssize(aDifferences.entries), "entry differs", "entries differ"),
    aDifferences.base));
  text += '\n';
  for (const EntryDifference& difference : aDifferences.entries) {
    text += FormatDifference(difference) + '\n';
  }
  return text;
}

Json
DifferencesJson(const ReviewDifferences& aDifferences)
{
  Json entries = Json::array();
  for (const EntryDifference& difference : aDifferences.entries) {
    Json fields = Json::array();
    for (const FieldDifference& field : difference.fields) {
      fields.push_back({ { "field", field.field },
                         { "from", field.from },
                         { "to", field.to } });
    }
    entries.push_back(
      { { "entry", difference.entry },
        { "kind", kEntryKindNames.NameOf(difference.kind) },
        { "change", kEntryChangeNames.NameOf(difference.change) },
        { "fields", std::move(fields) } });
  }
  return { { "base", aDifferences.base }, { "entries", std::move(entries) } };
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
  text += fmt::format(
    "{}, {}, {}\n",
    FormatCount(
      static_cast<std::ptrdiff_t>(aReport.entryCount), "entry", "entries"),
    FormatCount(aReport.Count(FindingLevel::Error), "error", "errors"),
    FormatCount(aReport.Count(FindingLevel::Warning), "warning", "warnings"));
  return aReport.differences ? text + FormatDifferences(*aReport.differences)
                             : text;
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
  const Json report = {
    { "entries", aReport.entryCount },
    { "errors", aReport.Count(FindingLevel::Error) },
    { "warnings", aReport.Count(FindingLevel::Warning) },
    { "findings", std::move(findings) },
    { "differences",
      aReport.differences ? DifferencesJson(*aReport.differences) : Json() }
  };
  // Names of files need not be UTF-8, and may have control characters above
  // U+007E, which are escaped only with all other characters outside ASCII.
  constexpr bool kIsAscii = true;
  return report.dump(-1, ' ', kIsAscii, Json::error_handler_t::replace) + '\n';
}

} // namespace lacewingwharf
