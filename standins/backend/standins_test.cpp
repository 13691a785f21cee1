#include "testkit/httprequest.h"
#include "testkit/process.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <string>

using namespace lacewingwharf;

namespace {

using Json = nlohmann::json;

struct Backend
{
  explicit Backend(std::vector<std::string> aOptions = {})
    : port(FreePort())
    , process("lww-backend", this->Arguments(std::move(aOptions)))
  {
    WaitForPort(this->port);
  }

  std::vector<std::string> Arguments(std::vector<std::string> aOptions) const
  {
    aOptions.emplace_back("--port");
    aOptions.emplace_back(std::to_string(this->port));
    return aOptions;
  }

  std::string Url(const std::string& aPath) const
  {
    return fmt::format("http://127.0.0.1:{}{}", this->port, aPath);
  }

  bool Behave(const std::string& aJson) const
  {
    return SendTestRequest("POST", this->Url("/test/behaviour"), aJson)
             .status == 200;
  }

  int Runs(const std::string& aKey) const
  {
    const auto answer = SendTestRequest("GET", this->Url("/test/runs"));
    return Json::parse(answer.body, nullptr, false).value(aKey, -1);
  }

  std::uint16_t port;
  ChildProcess process;
};

/** Runs lww-caller against a port and returns its line. */
Json Load(std::uint16_t aPort, std::vector<std::string> aOptions)
{
  const std::string path = fmt::format("/tmp/lww-caller-{}.json", aPort);
  aOptions.emplace_back("--daemon");
  aOptions.emplace_back(fmt::format("127.0.0.1:{}", aPort));
  ChildProcess caller("lww-caller", aOptions, path);
  cr_assert_eq(caller.Wait(60000).value_or(-1), 0);
  std::ifstream file(path);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  unlink(path.c_str());
  return Json::parse(text, nullptr, false);
}

} // namespace

// Guards against a load tool that takes a cut or foreign answer for a good one.
Test(standins, CallerFindsAnswersThatAreNotWhole)
{
  const Backend backend({ "--slots", "50" });
  const std::vector<std::string> load{ "--rate",  "200", "--time-ms", "500",
                                       "--method", "POST", "--keys" };
  const Json good = Load(backend.port, load);
  cr_assert_gt(good.value("answers", 0), 0);
  cr_assert_eq(good["status"].value("200", 0), good.value("sent", -1));
  cr_assert(good["errors"].empty());
  cr_assert_eq(backend.Runs("total"), good.value("sent", -1));
  cr_assert(backend.Behave(R"({"cut_answers":3})"));
  const Json cut = Load(backend.port, load);
  int errors = 0;
  for (const auto& [kind, count] : cut["errors"].items()) {
    errors += count.get<int>();
  }
  cr_assert_eq(errors, 3);
}

// Guards against slots that admit more work than they should, and against a
// cancelled request that keeps its slot.
Test(standins, BackendShedsWhenFullAndNoticesCancellation)
{
  const Backend backend({ "--slots", "1" });
  cr_assert(backend.Behave(R"({"stall":true})"));
  cr_assert_eq(
    SendTestRequest("GET", backend.Url("/a"), {}, {}, 300).status, 0);
  cr_assert(WaitUntil([&] { return backend.Runs("cancelled") == 1; }));
  cr_assert(backend.Behave(R"({"stall":false,"service_ms":60000})"));
  ChildProcess caller("lww-caller",
                      { "--daemon",
                        fmt::format("127.0.0.1:{}", backend.port),
                        "--rate",
                        "1000",
                        "--time-ms",
                        "100" },
                      "/dev/null");
  cr_assert(WaitUntil([&] { return backend.Runs("shed") > 0; }));
  const auto refused = SendTestRequest("GET", backend.Url("/b"));
  cr_assert_eq(refused.status, 503);
  cr_assert(refused.headers.find("Retry-After: ") != std::string::npos);
  cr_assert_eq(backend.Runs("max_concurrent"), 1);
}

// Guards against a stand-in that ends with a request in flight, and against a
// crash text that does nothing.
Test(standins, BackendDrainsAndCrashesAsAsked)
{
  Backend draining({ "--service-ms", "500" });
  ChildProcess caller("lww-caller",
                      { "--daemon",
                        fmt::format("127.0.0.1:{}", draining.port),
                        "--rate",
                        "1000",
                        "--time-ms",
                        "3" },
                      "/dev/null");
  draining.process.Terminate();
  cr_assert_eq(draining.process.Wait(30000).value_or(-1), 0);
  Backend crashing;
  (void)SendTestRequest("POST", crashing.Url("/test/behaviour"),
                        R"({"crash_on":"poison"})");
  cr_assert_eq(SendTestRequest("POST", crashing.Url("/a"), "poison").status,
               0);
  cr_assert_eq(crashing.process.Wait(20000).value_or(-1), 70);
}

// Guards against a link that passes traffic while cut, or that loses new
// connections in silent mode.
Test(standins, LinkCutsHealsAndSilences)
{
  const Backend backend({ "--slots", "50" });
  const auto port = FreePort();
  const auto control = FreePort();
  const ChildProcess link(
    "lww-link",
    { "--relay",
      fmt::format("{}:127.0.0.1:{}", port, backend.port),
      "--control",
      std::to_string(control),
      "--delay-ms",
      "3",
      "--bits-per-s",
      "30000000" });
  cr_assert(WaitForPort(control));
  const std::string url = fmt::format("http://127.0.0.1:{}/a", port);
  const std::string switches = fmt::format("http://127.0.0.1:{}/", control);
  const Json load = Load(
    port, { "--rate", "200", "--time-ms", "500", "--answer-bytes", "5000" });
  cr_assert_eq(load["status"].value("200", 0), load.value("sent", -1));
  cr_assert(load["errors"].empty());
  SendTestRequest("POST", switches, R"({"cut":true})");
  cr_assert_eq(SendTestRequest("GET", url).status, 0);
  SendTestRequest("POST", switches, R"({"cut":false,"silent":true})");
  cr_assert_eq(SendTestRequest("GET", url).status, 200);
  const Json state = Json::parse(SendTestRequest("GET", switches).body);
  cr_assert_gt(state.value("bytes_backward", 0), 5000 * load.value("sent", 0));
  cr_assert(backend.Behave(R"({"stall":true})"));
  ChildProcess caller("lww-caller",
                      { "--daemon",
                        fmt::format("127.0.0.1:{}", port),
                        "--rate",
                        "1000",
                        "--time-ms",
                        "20" },
                      "/dev/null");
  cr_assert(WaitUntil([&] { return backend.Runs("running") > 0; }));
  SendTestRequest("POST", switches, R"({"silent":true})");
  caller.Kill();
  cr_assert(backend.Behave(R"({"stall":false})"));
  cr_assert_eq(SendTestRequest("GET", url).status, 200);
}
