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

/** One time series; may be changed from any thread. */
class Metric
{
public:
  void Add(double aAmount = 1);
  void Set(double aValue);
  double Value() const;

private:
  std::atomic<double> value{ 0 };
};

/** All metrics of the daemon, written as text for scrapers. */
class MetricsRegistry
{
public:
  /** Finds or creates a series; it stays valid while it is held. */
  std::shared_ptr<Metric> Counter(const std::string& aName,
                                  const std::string& aHelp,
                                  const MetricLabels& aLabels = {});
  std::shared_ptr<Metric> Gauge(const std::string& aName,
                                const std::string& aHelp,
                                const MetricLabels& aLabels = {});

  /** For a series whose subject is gone, such as a withdrawn endpoint. */
  void Remove(const std::string& aName, const MetricLabels& aLabels);

  std::string Text() const;

private:
  struct Family
  {
    MetricKind kind = MetricKind::Counter;
    std::string help;
    std::map<std::string, std::shared_ptr<Metric>> series; // By label text.
  };

  std::shared_ptr<Metric> Find(MetricKind aKind,
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
