#include "testkit/site.h"

#include "testkit/loopbacknetwork.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

#include <unistd.h>

namespace lacewingwharf {

namespace {

constexpr int kPeerPort = 9004;
constexpr int kAdminPort = 9005;
constexpr int kLinkPort = 9006;
constexpr int kLinkControlPort = 9007;
constexpr int kFirstVersion = 3;
constexpr const char* kFirstPrefix = "/v3/";

// More than the reports of one test.
constexpr int kReportsPerSequence = 100000;

std::string
RouteText(const std::string& aName,
          const std::string& aKind,
          const std::string& aPrefix,
          const std::string& aTimeout)
{
  return fmt::format(
    R"({{"resource_kind":"routes","metadata":{{"name":"{}"}},"spec":{{)"
    R"("host":"a.example","path_prefix":"{}","kind":"{}",)"
    R"("timeout":"{}","target_latency":"1s","priority":1,)"
    R"("service":"orders","max_attempts":2}}}})",
    aName,
    aPrefix,
    aKind,
    aTimeout);
}

const char*
ServiceOf(std::size_t aHost)
{
  return aHost == 0 ? "web" : "orders";
}

} // namespace

Site::Site(bool aHasLinks, std::string aContracts)
  : directory(std::filesystem::temp_directory_path() /
              fmt::format("lww-site-{}", getpid()))
  , contracts(std::move(aContracts))
{
  std::filesystem::create_directories(this->directory);
  this->Configure(kFirstVersion, kFirstPrefix);
  this->daemons.resize(2);
  if (aHasLinks) {
    this->StartLink(0);
    this->StartLink(1);
  }
  this->Start(0);
  this->Start(1);
}

Site::~Site()
{
  this->daemons.clear();
  this->links.clear();
  std::filesystem::remove_all(this->directory);
}

void
Site::StartLink(std::size_t aHost)
{
  const std::string scheme = "http://";
  const std::string store = this->platform.Url().substr(scheme.size());
  this->links.push_back(std::make_unique<ChildProcess>(
    "lww-link",
    std::vector<std::string>{ "--listen",
                              Address(aHost),
                              "--control",
                              std::to_string(kLinkControlPort),
                              "--relay",
                              fmt::format("{}:{}", kLinkPort, store) },
    (this->directory / fmt::format("link-{}.log", aHost)).string()));
  const std::string url =
    fmt::format("http://{}:{}/", Address(aHost), kLinkControlPort);
  WaitUntil([&url] { return SendTestRequest("GET", url).status == 200; });
}

std::string
Site::StoreAddress(std::size_t aHost) const
{
  const std::string scheme = "http://";
  return this->links.empty() ? this->platform.Url().substr(scheme.size())
                             : fmt::format("{}:{}", Address(aHost), kLinkPort);
}

bool
Site::IsRelay(std::size_t aHost) const
{
  const std::string url =
    fmt::format("http://{}:{}/v1/state", Address(aHost), kAdminPort);
  return SendTestRequest("GET", url).body.find("\"feeder\":true") !=
         std::string::npos;
}

bool
Site::CutStoreConnection(std::size_t aHost, bool aIsCut) const
{
  const std::string url =
    fmt::format("http://{}:{}/", Address(aHost), kLinkControlPort);
  return SendTestRequest("POST", url, fmt::format(R"({{"cut":{}}})", aIsCut))
           .status == 200;
}

std::string
Site::Address(std::size_t aHost)
{
  // Each test runs in its own process, some at the same time.
  static const LoopbackNetwork sNetwork;
  return fmt::format("{}.{}", sNetwork.Prefix(), aHost + 1);
}

std::filesystem::path
Site::SettingsFile(std::size_t aHost) const
{
  return this->directory / fmt::format("{}.ini", aHost);
}

void
Site::Start(std::size_t aHost)
{
  std::ofstream(this->SettingsFile(aHost)) << fmt::format(
    "[daemon]\nhost = host-{0}\naddress = {1}\nregion = {11}\n"
    "domain = {12}\n"
    "[peer]\nport = {2}\n[http]\nadminport = {3}\n"
    "[platform]\naddress = {4}\nregion = r\ntimeout = 1000\n"
    "[membership]\ngossipinterval = 300\nsuspicion = 1500\n"
    "[distribution]\nfeeders = 1\n"
    "[site]\nprotocol = platform\ncalls = {1}:{5}\nreadiness = {1}:{6}\n"
    "announcements = {1}:{7}\nserver = {1}:{8}\nservice = {9}\n"
    "bound = grace=6s\n{10}",
    aHost,
    Address(aHost),
    kPeerPort,
    kAdminPort,
    this->StoreAddress(aHost),
    kCallsPort,
    kReadinessPort,
    kReportsPort,
    kServerPort,
    ServiceOf(aHost),
    this->contracts.empty() ? "" : "contracts = " + this->contracts + "\n",
    aHost < this->farFrom ? "r" : "far",
    aHost < this->farFrom ? "d" : "far-d");
  this->daemons.resize(std::max(this->daemons.size(), aHost + 1));
  this->daemons[aHost] = std::make_unique<ChildProcess>(
    "lacewingwharfd",
    std::vector<std::string>{ "--config", this->SettingsFile(aHost).string() },
    (this->directory / fmt::format("{}.log", aHost)).string());
}

bool
Site::Configure(int aVersion,
                const std::string& aPrefix,
                const std::string& aLimits)
{
  const std::string limits =
    aLimits.empty()
      ? std::string()
      : fmt::format(
          R"(,{{"resource_kind":"limits","metadata":{{}},"spec":{}}})",
          aLimits);
  const std::string spec = fmt::format(
    R"({{"version":{},"resources":[{},{},)"
    R"({{"resource_kind":"services","metadata":{{"name":"orders"}},)"
    R"("spec":{{}}}}{}{}]}})",
    aVersion,
    RouteText("read", "safe", aPrefix, this->routeTimeout),
    RouteText("write", "unsafe", "/unsafe" + aPrefix, this->routeTimeout),
    limits,
    this->moreResources);
  const std::string url = this->platform.Url() + "/api/objects/config";
  const std::string body =
    R"({"metadata":{"name":"main"},"spec":)" + spec + "}";
  const bool isFirst = aVersion == kFirstVersion;
  const auto answer = isFirst ? SendTestRequest("POST", url, body)
                              : SendTestRequest("PUT", url + "/main", body);
  return answer.status == 200;
}

TestAnswer
Site::Report(std::size_t aHost,
             const std::string& aState,
             int aSequence,
             const std::string& aVersion) const
{
  return SendTestRequest(
    "POST",
    fmt::format("http://{}:{}/api/rpc?call=instances.heartbeat&of=i-{}",
                Address(aHost),
                kReportsPort,
                ServiceOf(aHost)),
    fmt::format(R"({{"address":"{}:{}","info":{{"service":"{}",)"
                R"("version":"{}","zone":"d","slots":4}},)"
                R"("status":{{"state":"{}","sequence":{},)"
                R"("cold_left":"0ms"}},"born":1000}})",
                Address(aHost),
                kServerPort,
                ServiceOf(aHost),
                aVersion,
                aState,
                aSequence * kReportsPerSequence + ++this->reports));
}

std::string
Site::StoredMember(std::size_t aHost) const
{
  return SendTestRequest(
           "GET",
           fmt::format("{}/api/objects/lacewingwharf-members/host-{}",
                       this->platform.Url(),
                       aHost))
    .body;
}

bool
Site::IsReady(std::size_t aHost) const
{
  const std::string url =
    fmt::format("http://{}:{}/api/readyz", Address(aHost), kReadinessPort);
  return SendTestRequest("GET", url).status == 200;
}

TestAnswer
Site::Call(const std::string& aPath,
           const std::string& aMethod,
           const std::string& aBody,
           const std::string& aHeaderLine,
           std::size_t aHost) const
{
  std::vector<std::string> headers = { "Host: a.example",
                                       "X-Request-Id: 77",
                                       "X-Request-Deadline-Ms: 2000" };
  if (!aHeaderLine.empty()) {
    headers.push_back(aHeaderLine);
  }
  return SendTestRequest(
    aMethod,
    fmt::format("http://{}:{}{}", Address(aHost), kCallsPort, aPath),
    aBody,
    headers);
}

bool
Site::IsServed(const std::string& aPath, std::size_t aHost) const
{
  return this->Call(aPath, "GET", {}, {}, aHost).status == 200;
}

bool
Site::WaitUntilServing() const
{
  const auto isReported = [this](std::size_t aHost) {
    return this->Report(aHost, "ready", 1).status == 200;
  };
  // Reports again each time, because on a busy machine the daemons may need
  // longer to start than a server is kept without a heartbeat.
  constexpr Millis kStartTime = 40000;
  return WaitUntil(
    [&] {
      return isReported(0) && isReported(1) &&
             this->IsServed(std::string(kFirstPrefix) + "x");
    },
    kStartTime);
}

std::string
Site::Log(std::size_t aHost) const
{
  std::ifstream file(this->directory / fmt::format("{}.log", aHost));
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace lacewingwharf
