#pragma once

#include "common/clock.h"
#include "store/httpobjectstore.h"
#include "testkit/httprequest.h"
#include "testkit/platformstandin.h"
#include "testkit/process.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::testing {

/**
 * Runs a platform stand-in, daemons and backend servers of the service "orders"
 * as processes on the loopback addresses of one test. The first daemon has no
 * backend server, so that its calls go through a session to another daemon.
 */
class CallFleet
{
public:
  static constexpr int kCallPort = 18080;
  static constexpr int kAdminPort = 18081;
  static constexpr int kBackendPort = 19001;

  /**
   * aSubnet, the third byte of the addresses, is different for each test.
   * aSettings are added to those of each daemon.
   */
  CallFleet(int aSubnet,
            std::size_t aDaemons,
            int aServiceMillis = 5,
            std::string aSettings = "")
    : subnet(aSubnet)
    , count(aDaemons)
    , settings(std::move(aSettings))
  {
    std::string pattern =
      std::filesystem::temp_directory_path() / "callsXXXXXX";
    this->directory = ::mkdtemp(pattern.data());
    this->PutCatalogue();
    for (std::size_t host = 0; host < aDaemons; ++host) {
      this->StartDaemon(host);
    }
    for (std::size_t host = 1; host < aDaemons; ++host) {
      this->StartBackend(host, aServiceMillis);
    }
  }

  ~CallFleet() { std::filesystem::remove_all(this->directory); }
  CallFleet(const CallFleet&) = delete;
  CallFleet& operator=(const CallFleet&) = delete;

  /**
   * Waits until every daemon serves calls and every backend server has run at
   * least one.
   */
  bool WaitUntilReady()
  {
    return WaitUntil([this] {
      for (std::size_t host = 0; host < this->count; ++host) {
        for (std::size_t call = 0; call < 4; ++call) {
          if (!IsDone(this->Call(host, "GET", "warm-up"))) {
            return false;
          }
        }
      }
      for (std::size_t host = 1; host < this->count; ++host) {
        if (this->TotalRuns(host) < 1) {
          return false;
        }
      }
      return true;
    });
  }

  TestAnswer Call(std::size_t aHost,
                  const std::string& aMethod,
                  const std::string& aBody,
                  const std::string& aKey = "") const
  {
    std::vector<std::string> headers;
    if (!aKey.empty()) {
      headers.push_back("Idempotency-Key: " + aKey);
    }
    const std::string url =
      fmt::format("http://{}:{}/orders", this->AddressOf(aHost), kCallPort);
    return SendTestRequest(
      aMethod, url, aMethod == "GET" ? "" : aBody, headers);
  }

  std::string Metrics(std::size_t aHost) const
  {
    return SendTestRequest("GET",
                           fmt::format("http://{}:{}/metrics",
                                       this->AddressOf(aHost),
                                       kAdminPort))
      .body;
  }

  static bool IsDone(const TestAnswer& aAnswer)
  {
    return OutcomeOf(aAnswer) == "done";
  }

  static std::string HeaderOf(const TestAnswer& aAnswer,
                              const std::string& aName)
  {
    const auto start = aAnswer.headers.find(aName + ": ");
    if (start == std::string::npos) {
      return "";
    }
    const auto value = start + aName.size() + 2;
    return aAnswer.headers.substr(
      value, aAnswer.headers.find_first_of("\r\n", value) - value);
  }

  static std::string OutcomeOf(const TestAnswer& aAnswer)
  {
    return HeaderOf(aAnswer, "Lacewingwharf-Outcome");
  }

  bool SetBehaviour(std::size_t aHost, const std::string& aJson) const
  {
    constexpr long kOk = 200;
    return SendTestRequest(
             "POST", this->BackendUrl(aHost, "/test/behaviour"), aJson)
             .status == kOk;
  }

  nlohmann::json Runs(std::size_t aHost) const
  {
    const auto answer =
      SendTestRequest("GET", this->BackendUrl(aHost, "/test/runs"));
    return nlohmann::json::parse(answer.body, nullptr, false);
  }

  int TotalRuns(std::size_t aHost) const
  {
    const auto runs = this->Runs(aHost);
    return runs.is_object() ? runs.value("total", 0) : 0;
  }

  int RunningCalls(std::size_t aHost) const
  {
    const auto runs = this->Runs(aHost);
    return runs.is_object() ? runs.value("running", 0) : 0;
  }

  /** Returns the runs of a key on all backend servers that answer. */
  int RunsOfKey(const std::string& aKey) const
  {
    int sum = 0;
    for (std::size_t host = 1; host < this->count; ++host) {
      const auto runs = this->Runs(host);
      sum += runs.is_object() ? runs["keys"].value(aKey, 0) : 0;
    }
    return sum;
  }

  void StartBackend(std::size_t aHost, int aServiceMillis = 5)
  {
    const std::string address = this->AddressOf(aHost);
    this->backends.insert_or_assign(
      aHost,
      ChildProcess("lww-backend",
                   { "--address",
                     address,
                     "--port",
                     std::to_string(kBackendPort),
                     "--service",
                     "orders",
                     "--slots",
                     "4",
                     "--admin",
                     fmt::format("{}:{}", address, kAdminPort),
                     "--service-ms",
                     std::to_string(aServiceMillis) },
                   this->directory + fmt::format("/backend-{}.log", aHost)));
  }

  void StartDaemon(std::size_t aHost)
  {
    const std::string path =
      this->directory + fmt::format("/daemon-{}.ini", aHost);
    std::ofstream(path) << this->SettingsOf(aHost);
    this->daemons.insert_or_assign(
      aHost, ChildProcess("lacewingwharfd", { "--config", path }));
  }

  std::string AddressOf(std::size_t aHost) const
  {
    return fmt::format("127.81.{}.{}", this->subnet, aHost + 1);
  }

  PlatformStandin platform;
  std::map<std::size_t, ChildProcess> daemons;
  std::map<std::size_t, ChildProcess> backends;

private:
  std::string BackendUrl(std::size_t aHost, const std::string& aPath) const
  {
    return fmt::format(
      "http://{}:{}{}", this->AddressOf(aHost), kBackendPort, aPath);
  }

  std::string SettingsOf(std::size_t aHost) const
  {
    std::string peers;
    for (std::size_t host = 0; host < this->count; ++host) {
      peers +=
        fmt::format("{}{}:17100", host == 0 ? "" : ", ", this->AddressOf(host));
    }
    const std::string platformAddress =
      this->platform.Url().substr(std::string("http://").size());
    return fmt::format("[daemon]\nhost = host-{}\naddress = {}\n"
                       "region = north\ndomain = bangor\n"
                       "[peer]\nport = 17100\n"
                       "[http]\ncallport = {}\nadminport = {}\n"
                       "[platform]\naddress = {}\nregion = north\n"
                       "[membership]\npeers = {}\ngossipinterval = 200\n"
                       "suspicion = 1000\n{}",
                       aHost,
                       this->AddressOf(aHost),
                       kCallPort,
                       kAdminPort,
                       platformAddress,
                       peers,
                       this->settings);
  }

  void PutCatalogue()
  {
    const ObjectStore store = MakeHttpObjectStore(this->platform.StoreConfig());
    store.put("catalogue/orders",
              R"({"kind":"service","owner":"engraving","class":"critical"})",
              kAnyRevision);
    store.put("catalogue/orders-route",
              R"({"kind":"route","owner":"tills","class":"critical",)"
              R"("service":"orders","match":{"path":"/orders"},)"
              R"("limits":{"deadline_ms":4000,"retries":1}})",
              kAnyRevision);
  }

  int subnet;
  std::size_t count;
  std::string settings;
  std::string directory;
};

} // namespace lacewingwharf::testing
