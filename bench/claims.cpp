// Measures the platform load and the waiting times of idempotency claims at
// several rates of keys. Runs the claim writers on a manual clock, on which
// each platform call takes 3 ms.

#include "common/log.h"
#include "common/random.h"
#include "execution/claimwriter.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

struct Options
{
  bool isCsv = false;
};

void
Print(const Options& aOptions,
      const std::string& aWhat,
      const std::string& aCase,
      double aValue,
      const std::string& aUnit)
{
  if (aOptions.isCsv) {
    fmt::print("{},{},{:.3f},{}\n", aWhat, aCase, aValue, aUnit);
  } else {
    fmt::print("{:<38} {:<26} {:>14.2f} {}\n", aWhat, aCase, aValue, aUnit);
  }
  std::fflush(stdout);
}

/** Runs the claim writers of the platform's region on a store in memory. */
class ClaimBench
{
public:
  static constexpr int kWriters = 16;

  // Two platform calls: a read and a write, or two writes.
  static constexpr Millis kPlatformJobMillis = 6;

  ClaimBench()
  {
    for (Writer& writer : this->writers) {
      ClaimWriterHooks hooks;
      hooks.submit = [&writer](PlatformJob aJob) {
        writer.jobs.push_back(std::move(aJob));
        return true;
      };
      hooks.writerCount = [] { return kWriters; };
      writer.claims = std::make_unique<ClaimWriter>(
        ClaimWriterConfig{}, this->clock.View(), this->clock.View(), hooks);
    }
  }

  void FillShards(int aClaimsPerShard)
  {
    for (int shard = 0; aClaimsPerShard > 0 && shard < kClaimShards; ++shard) {
      ClaimShard value({});
      for (int claim = 0; claim < aClaimsPerShard; ++claim) {
        wire::ClaimRequest request;
        // The hashes use all bits, so they encode to the size of real ones.
        request.keyHash = static_cast<std::int64_t>(
          (this->random() | 1ULL << 63U) / kClaimShards * kClaimShards +
          static_cast<std::uint64_t>(shard));
        request.wanted = wire::ClaimState::DONE;
        value.Apply(request, this->clock.View().Now());
      }
      const std::string name = ClaimShardName(shard);
      this->objects[name] = { name, 1, value.Encode(), false };
    }
  }

  void Run(const Options& aOptions, int aKeysPerSecond, int aFilled)
  {
    this->FillShards(aFilled);
    constexpr int kSeconds = 20;
    double dueRequests = 0;
    for (int step = 0; step < kSeconds * 500; ++step) {
      for (dueRequests += aKeysPerSecond / 500.0; dueRequests >= 1;
           --dueRequests) {
        this->Request();
      }
      this->Step(step);
    }
    this->Report(aOptions, aKeysPerSecond, aFilled, kSeconds);
  }

private:
  struct Writer
  {
    std::unique_ptr<ClaimWriter> claims;
    std::deque<PlatformJob> jobs;
    Millis busyUntil = 0;
  };

  void Request()
  {
    wire::ClaimRequest request;
    request.keyHash = static_cast<std::int64_t>(this->random());
    request.holder = fmt::format("first-host-0001-{:010}", ++this->callCount);
    request.wanted = wire::ClaimState::HELD;
    const Millis start = this->clock.View().Now();
    const int shard = ClaimShardOf(request.keyHash);
    this->writers.at(static_cast<std::size_t>(shard % kWriters))
      .claims->Handle(request, [this, start](const auto& aAnswer) {
        this->latencies.push_back(
          static_cast<double>(this->clock.View().Now() - start));
        this->refused += aAnswer.result == wire::ClaimResult::GRANTED ? 0 : 1;
      });
  }

  void Step(int aStep)
  {
    this->clock.Advance(2);
    for (Writer& writer : this->writers) {
      if (!writer.jobs.empty() &&
          this->clock.View().Now() >= writer.busyUntil) {
        const PlatformJob job = std::move(writer.jobs.front());
        writer.jobs.pop_front();
        writer.busyUntil = this->clock.View().Now() + kPlatformJobMillis;
        job(this->MakeStore())();
      }
      if (aStep % 50 == 0) {
        writer.claims->Tick();
      }
    }
  }

  ObjectStore MakeStore()
  {
    ObjectStore store;
    store.get =
      [this](const std::string& aName) -> PlatformResult<StoredObject> {
      ++this->reads;
      const auto object = this->objects.find(aName);
      if (object == this->objects.end()) {
        return PlatformError{ PlatformErrorCode::NotFound, aName };
      }
      this->bytes += object->second.value.size();
      return object->second;
    };
    store.put = [this](const auto& aName,
                       const auto& aValue,
                       auto aExpected) -> PlatformResult<std::int64_t> {
      ++this->writes;
      this->bytes += aValue.size();
      this->objects[aName] = { aName, aExpected + 1, aValue, false };
      return aExpected + 1;
    };
    return store;
  }

  void Report(const Options& aOptions, int aRate, int aFilled, double aSeconds)
  {
    std::ranges::sort(this->latencies);
    const auto at = [this](double aPart) {
      const auto count = static_cast<double>(this->latencies.size() - 1);
      return this->latencies[static_cast<std::size_t>(count * aPart)];
    };
    const std::string label =
      fmt::format("{} keys/s, {} per shard", aRate, aFilled);
    const auto row = [&](const char* aWhat, double aValue, const char* aUnit) {
      Print(aOptions, aWhat, label, aValue, aUnit);
    };
    row("claims: platform writes",
        static_cast<double>(this->writes) / aSeconds,
        "1/s");
    row("claims: platform reads",
        static_cast<double>(this->reads) / aSeconds,
        "1/s");
    row("claims: platform bytes",
        static_cast<double>(this->bytes) / aSeconds,
        "B/s");
    row("claims: median wait", at(0.5), "ms");
    row("claims: 99th percentile wait", at(0.99), "ms");
    row(
      "claims: refused", static_cast<double>(this->refused) / aSeconds, "1/s");
  }

  ManualClock clock{ 1000000 };
  Random random = SeededRandom(1);
  std::map<std::string, StoredObject> objects;
  std::array<Writer, kWriters> writers;
  std::vector<double> latencies;
  std::uint64_t callCount = 0;
  std::uint64_t refused = 0;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t bytes = 0;
};

void
MeasureClaims(const Options& aOptions)
{
  for (const int filled : { 0, 10000 }) {
    for (const int rate : { 10, 100, 1000, 10000 }) {
      ClaimBench().Run(aOptions, rate, filled);
    }
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Log::SetLevel(LogLevel::Error);
  Options options;
  options.isCsv = aCount > 1 && std::string(aArguments[1]) == "--csv";
  MeasureClaims(options);
  return 0;
}
