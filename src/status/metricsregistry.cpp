#include "status/metricsregistry.h"

#include "common/names.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lacewingwharf {

namespace {

constexpr auto kMetricKindNames = MakeNameTable<MetricKind>(
  { { MetricKind::Counter, "counter" }, { MetricKind::Gauge, "gauge" } });

std::string
Escaped(std::string_view aText, bool aIsLabel)
{
  std::string escaped;
  for (const char letter : aText) {
    if (letter == '\n') {
      escaped += "\\n";
    } else if (letter == '\\' || (aIsLabel && letter == '"')) {
      escaped += '\\';
      escaped += letter;
    } else {
      escaped += letter;
    }
  }
  return escaped;
}

std::string
TextOf(MetricLabels aLabels)
{
  if (aLabels.empty()) {
    return {};
  }
  std::ranges::sort(aLabels, {}, &MetricLabel::name);
  std::string text;
  for (const MetricLabel& label : aLabels) {
    text += fmt::format("{}{}=\"{}\"",
                        text.empty() ? "{" : ",",
                        label.name,
                        Escaped(label.value, true));
  }
  return text + "}";
}

std::string
TextOf(double aValue)
{
  if (std::isnan(aValue)) {
    return "NaN";
  }
  if (std::isinf(aValue)) {
    return aValue > 0 ? "+Inf" : "-Inf";
  }
  return fmt::format("{}", aValue);
}

} // namespace

std::shared_ptr<Metric>
MetricsRegistry::Counter(const std::string& aName,
                         const std::string& aHelp,
                         const MetricLabels& aLabels)
{
  return this->FindOrCreate(MetricKind::Counter, aName, aHelp, aLabels);
}

std::shared_ptr<Metric>
MetricsRegistry::Gauge(const std::string& aName,
                       const std::string& aHelp,
                       const MetricLabels& aLabels)
{
  return this->FindOrCreate(MetricKind::Gauge, aName, aHelp, aLabels);
}

void
MetricsRegistry::Remove(const std::string& aName, const MetricLabels& aLabels)
{
  const std::lock_guard lock(this->mutex);
  const auto family = this->families.find(aName);
  if (family == this->families.end()) {
    return;
  }
  family->second.series.erase(TextOf(aLabels));
  if (family->second.series.empty()) {
    this->families.erase(family);
  }
}

std::string
MetricsRegistry::Text() const
{
  const std::lock_guard lock(this->mutex);
  std::string text;
  auto out = std::back_inserter(text);
  for (const auto& [name, family] : this->families) {
    fmt::format_to(out, "# HELP {} {}\n", name, Escaped(family.help, false));
    fmt::format_to(
      out, "# TYPE {} {}\n", name, kMetricKindNames.NameOf(family.kind));
    for (const auto& [labels, metric] : family.series) {
      fmt::format_to(out, "{}{} {}\n", name, labels, TextOf(metric->Value()));
    }
  }
  return text;
}

std::shared_ptr<Metric>
MetricsRegistry::FindOrCreate(MetricKind aKind,
                              const std::string& aName,
                              const std::string& aHelp,
                              const MetricLabels& aLabels)
{
  const std::lock_guard lock(this->mutex);
  Family& family = this->families[aName];
  if (family.series.empty()) {
    family.kind = aKind;
    family.help = aHelp;
  }
  auto& metric = family.series[TextOf(aLabels)];
  if (!metric) {
    metric = std::make_shared<Metric>();
  }
  return metric;
}

} // namespace lacewingwharf
