#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lacewingwharf {

enum class MetricKind
{
  Counter,
  Gauge
};

struct MetricLabel
{
  std::string name;
  std::string value;
};

using MetricLabels = std::vector<MetricLabel>;

/** The value of one time series. Any thread may change it. */
class Metric
{
public:
  void Add(double aAmount = 1);
  void Set(double aValue);
  double Value() const;

private:
  std::atomic<double> value{ 0 };
};

/** Holds all metrics of the daemon and writes them as text for scrapers. */
class MetricsRegistry
{
public:
  /** Finds or creates a series, which stays valid while the caller holds it. */
  std::shared_ptr<Metric> Counter(const std::string& aName,
                                  const std::string& aHelp,
                                  const MetricLabels& aLabels = {});
  std::shared_ptr<Metric> Gauge(const std::string& aName,
                                const std::string& aHelp,
                                const MetricLabels& aLabels = {});

  /** Removes a series, for example that of a withdrawn endpoint. */
  void Remove(const std::string& aName, const MetricLabels& aLabels);

  std::string Text() const;

private:
  struct Family
  {
    MetricKind kind = MetricKind::Counter;
    std::string help;
    std::map<std::string, std::shared_ptr<Metric>> series; // By label text.
  };

  std::shared_ptr<Metric> FindOrCreate(MetricKind aKind,
                                       const std::string& aName,
                                       const std::string& aHelp,
                                       const MetricLabels& aLabels);

  mutable std::mutex mutex;
  std::map<std::string, Family> families;
};

inline void
Metric::Add(double aAmount)
{
  this->value.fetch_add(aAmount, std::memory_order_relaxed);
}

inline void
Metric::Set(double aValue)
{
  this->value.store(aValue, std::memory_order_relaxed);
}

inline double
Metric::Value() const
{
  return this->value.load(std::memory_order_relaxed);
}

} // namespace lacewingwharf
