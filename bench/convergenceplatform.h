#pragma once

#include "convergencehttp.h"
#include "convergenceoptions.h"
#include "convergenceprocess.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>

namespace lacewingwharf::bench {

constexpr int kPlatformPort = 17800;
constexpr int kLinkControlPort = 17801;
constexpr int kNaivePort = 17802;
constexpr int kPeerPort = 17810;
constexpr int kCallPort = 17811;
constexpr int kAdminPort = 17812;
constexpr int kDomains = 4;
constexpr int kDomainsPerRegion = 2;
constexpr const char* kPlatformAddress = "127.84.0.1";
constexpr const char* kLinkAddress = "127.84.0.2";
constexpr const char* kNaiveAddress = "127.84.0.3";

/** Platform calls by kind, and bytes over the region link to the platform. */
struct PlatformUsage
{
  std::map<std::string, double> calls;
  double linkBytes = 0;
};

/**
 * Runs the platform stand-in and the link that connects the other region to it
 * (8 ms, 30 Mbit/s each way), and edits the catalogue. The link also forwards
 * connections to the server of the naive pusher.
 */
class PlatformTestbed
{
public:
  explicit PlatformTestbed(const ConvergenceOptions& aOptions)
    : options(aOptions)
    , platform("lww-platform",
               { "--address",
                 kPlatformAddress,
                 "--port",
                 std::to_string(kPlatformPort) })
    , link("lww-link",
           { "--listen",
             kLinkAddress,
             "--control",
             std::to_string(kLinkControlPort),
             "--delay-ms",
             "8",
             "--bits-per-s",
             "30000000",
             "--relay",
             fmt::format("{0}:{1}:{0}", kPlatformPort, kPlatformAddress),
             "--relay",
             fmt::format("{0}:{1}:{0}", kNaivePort, kNaiveAddress) })
  {
  }

  static std::string ObjectUrl(const std::string& aName)
  {
    return fmt::format(
      "http://{}:{}/v1/objects/{}", kPlatformAddress, kPlatformPort, aName);
  }

  /** Returns false when the platform does not store every entry. */
  bool FillCatalogue()
  {
    constexpr int kTries = 100;
    constexpr std::chrono::milliseconds kPause(50);
    int tries = 0;
    while (!this->Put("shop", OwnerText())) {
      if (++tries == kTries) {
        return false;
      }
      std::this_thread::sleep_for(kPause);
    }
    bool isComplete = true;
    for (int service = 0; service < this->options.services; ++service) {
      isComplete =
        isComplete &&
        this->Put(fmt::format("service-{}", service), ServiceText()) &&
        this->Put(fmt::format("route-{}", service), RouteText(service, 10));
    }
    return isComplete;
  }

  /** Sets a route's concurrency limit; aValue differs in every change. */
  bool ChangeRoute(int aRoute, int aValue)
  {
    const int route = aRoute % this->options.services;
    return this->Put(fmt::format("route-{}", route), RouteText(route, aValue));
  }

  PlatformUsage ReadUsage()
  {
    PlatformUsage usage;
    const auto calls = this->Read(fmt::format(
      "http://{}:{}/v1/test/calls", kPlatformAddress, kPlatformPort));
    for (const auto& [kind, count] : calls.items()) {
      if (kind != "waiting") {
        usage.calls[kind] = count.get<double>();
      }
    }
    usage.calls["put"] -= this->ownPuts; // Excludes edits by this program.
    const auto link =
      this->Read(fmt::format("http://{}:{}/", kLinkAddress, kLinkControlPort));
    usage.linkBytes =
      link.value("bytes_forward", 0.0) + link.value("bytes_backward", 0.0);
    return usage;
  }

private:
  static std::string OwnerText()
  {
    return R"({"kind":"owner","owner":"shop","limits":{"concurrency":900}})";
  }

  static std::string ServiceText()
  {
    return R"({"kind":"service","owner":"engraving","class":"interactive"})";
  }

  static std::string RouteText(int aService, int aConcurrency)
  {
    return fmt::format(
      R"({{"kind":"route","owner":"shop","class":"interactive",)"
      R"("service":"service-{0}","match":{{"path":"/part-{0}"}},)"
      R"("limits":{{"concurrency":{1},"rate":200,"deadline_ms":2000,)"
      R"("queue_ms":200}}}})",
      aService,
      aConcurrency);
  }

  bool Put(const std::string& aName, const std::string& aText)
  {
    constexpr long kOk = 200;
    constexpr long kCreated = 201;
    constexpr long kThrottled = 429;
    constexpr int kTries = 200;
    constexpr std::chrono::milliseconds kPause(20);
    for (int attempt = 0; attempt < kTries; ++attempt) {
      const long status =
        this->http.Send("PUT", ObjectUrl("catalogue/" + aName), aText);
      this->ownPuts += status != 0 && status != kThrottled ? 1 : 0;
      if (status != kThrottled) {
        return status == kOk || status == kCreated;
      }
      std::this_thread::sleep_for(kPause);
    }
    return false;
  }

  nlohmann::json Read(const std::string& aUrl)
  {
    this->http.Send("GET", aUrl);
    auto value = nlohmann::json::parse(this->http.Answer(), nullptr, false);
    return value.is_object() ? value : nlohmann::json::object();
  }

  ConvergenceOptions options;
  BenchProcess platform;
  BenchProcess link;
  HttpConnection http;
  double ownPuts = 0;
};

} // namespace lacewingwharf::bench
