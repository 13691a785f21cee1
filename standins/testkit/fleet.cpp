#include "testkit/fleet.h"

#include "testkit/httprequest.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <set>
#include <sstream>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr Millis kAdminTimeout = 2000;

// Ports at the address of the link. Host number I has the port kLinkPort + I.
constexpr int kLinkPort = 9100;
constexpr int kLinkPlatformPort = 9000;
constexpr int kLinkControlPort = 9001;

std::string
MakeDirectory()
{
  std::string name = "/tmp/lww-fleet-XXXXXX";
  return mkdtemp(name.data()) == nullptr ? "/tmp" : name;
}

std::string
ReadFile(const std::string& aPath)
{
  const std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Starts a program; standard output and standard error go to aLog. */
ChildProcess
StartLogged(const std::string& aProgram,
            const std::vector<std::string>& aArguments,
            const std::string& aLog)
{
  const std::string path = std::string(LWW_BINARY_DIR) + "/" + aProgram;
  std::vector<std::string> words{
    "-c", R"(log=$1; shift; exec "$@" >"$log" 2>&1)", "sh", aLog, path
  };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  return { "/bin/sh", words };
}

} // namespace

Fleet::Fleet(FleetConfig aConfig)
  : config(std::move(aConfig))
  , directory(MakeDirectory())
  , platform(std::make_unique<PlatformStandin>(this->config.platformOptions))
{
  if (this->config.platformRegion.empty()) {
    this->config.platformRegion = this->config.domains.front().region;
  }
  const std::string& network = this->network.Prefix();
  for (const FleetDomain& domain : this->config.domains) {
    for (std::size_t i = 0; i < domain.hosts; ++i) {
      Host host;
      host.domain = domain;
      host.address = fmt::format("{}.{}", network, this->hosts.size() + 1);
      this->hosts.push_back(std::move(host));
    }
  }
  this->linkAddress = network + ".250";
  if (!this->config.linkedDomain.empty()) {
    this->StartLink();
  }
}

Fleet::~Fleet()
{
  this->backends.clear();
  this->hosts.clear();
  if (std::getenv("LWW_KEEP_LOGS") == nullptr && this->directory != "/tmp") {
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
  }
}

void
Fleet::RestartPlatform()
{
  this->platform->Restart(this->config.platformOptions);
}

void
Fleet::StartLink()
{
  std::vector<std::string> arguments{
    "--listen", this->linkAddress, "--control", std::to_string(kLinkControlPort)
  };
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    arguments.emplace_back("--relay");
    arguments.push_back(
      fmt::format("{}:{}:{}", kLinkPort + i, this->Address(i), kPeerPort));
  }
  arguments.emplace_back("--relay");
  arguments.push_back(
    fmt::format("{}:{}", kLinkPlatformPort, this->platform->Url().substr(7)));
  this->link = std::make_unique<ChildProcess>(
    StartLogged("lww-link", arguments, this->directory + "/link.log"));
  WaitUntil([this] { return this->SetLinkCut(false); });
}

bool
Fleet::SetLinkCut(bool aIsCut) const
{
  const auto url =
    fmt::format("http://{}:{}/", this->linkAddress, kLinkControlPort);
  return SendTestRequest("POST",
                         url,
                         fmt::format(R"({{"cut":{}}})", aIsCut),
                         {},
                         kAdminTimeout)
           .status == 200;
}

bool
Fleet::IsLinked(std::size_t aHost) const
{
  return this->Domain(aHost) == this->config.linkedDomain;
}

std::string
Fleet::PlatformAddress(std::size_t aHost) const
{
  return this->IsLinked(aHost)
           ? fmt::format("{}:{}", this->linkAddress, kLinkPlatformPort)
           : this->platform->Url().substr(7);
}

std::string
Fleet::ForwardSettings(std::size_t aHost) const
{
  std::string forwards;
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    if (this->IsLinked(i) != this->IsLinked(aHost)) {
      forwards += fmt::format("forwards = {}:{}>{}:{}\n",
                              this->Address(i),
                              kPeerPort,
                              this->linkAddress,
                              kLinkPort + i);
    }
  }
  return forwards;
}

void
Fleet::WriteSettings(std::size_t aHost) const
{
  const Host& host = this->hosts.at(aHost);
  std::string peers;
  for (const Host& peer : this->hosts) {
    peers += fmt::format("peers = {}:{}\n", peer.address, kPeerPort);
  }
  std::ofstream file(
    fmt::format("{}/{}.ini", this->directory, this->HostName(aHost)));
  file << fmt::format(
    "[daemon]\nhost = {}\naddress = {}\nregion = {}\n"
    "domain = {}\n[peer]\nport = {}\n{}[http]\ncallport = {}\n"
    "adminport = {}\n[platform]\naddress = {}\n"
    "region = {}\n[membership]\n{}"
    "gossipinterval = {}\nsuspicion = {}\n{}",
    this->HostName(aHost),
    host.address,
    host.domain.region,
    host.domain.name,
    kPeerPort,
    this->ForwardSettings(aHost),
    kCallPort,
    kAdminPort,
    this->PlatformAddress(aHost),
    this->config.platformRegion,
    peers,
    this->config.gossipInterval,
    this->config.suspicion,
    this->config.settings);
}

void
Fleet::Start(std::size_t aHost)
{
  this->WriteSettings(aHost);
  const std::string base = this->directory + "/" + this->HostName(aHost);
  this->hosts.at(aHost).daemon = std::make_unique<ChildProcess>(StartLogged(
    "lacewingwharfd", { "--config", base + ".ini" }, base + ".log"));
}

void
Fleet::StartAll()
{
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    this->Start(i);
  }
}

ChildProcess&
Fleet::StartBackend(std::size_t aHost,
                    const std::string& aService,
                    int aPort,
                    const std::vector<std::string>& aOptions)
{
  const std::string& address = this->Address(aHost);
  std::vector<std::string> arguments{
    "--address", address,  "--port",  std::to_string(aPort),
    "--service", aService, "--admin", fmt::format("{}:{}", address, kAdminPort)
  };
  arguments.insert(arguments.end(), aOptions.begin(), aOptions.end());
  const std::string log = fmt::format(
    "{}/backend-{}-{}.log", this->directory, this->HostName(aHost), aPort);
  auto& backend = this->backends[{ aHost, aPort }];
  backend =
    std::make_unique<ChildProcess>(StartLogged("lww-backend", arguments, log));
  return *backend;
}

ChildProcess&
Fleet::Backend(std::size_t aHost, int aPort)
{
  return *this->backends.at({ aHost, aPort });
}

std::vector<std::pair<std::size_t, int>>
Fleet::Backends() const
{
  std::vector<std::pair<std::size_t, int>> started;
  for (const auto& [key, backend] : this->backends) {
    started.push_back(key);
  }
  return started;
}

std::string
Fleet::HostName(std::size_t aHost) const
{
  return fmt::format("host-{:02}", aHost);
}

std::string
Fleet::CallUrl(std::size_t aHost, const std::string& aPath) const
{
  return fmt::format("http://{}:{}{}", this->Address(aHost), kCallPort, aPath);
}

std::string
Fleet::AdminUrl(std::size_t aHost, const std::string& aPath) const
{
  return fmt::format("http://{}:{}{}", this->Address(aHost), kAdminPort, aPath);
}

int
Fleet::Runs(std::size_t aHost, int aPort, const std::string& aKey) const
{
  const Json runs = this->AllRuns(aHost, aPort);
  return runs.is_object() ? runs.value(aKey, -1) : -1;
}

Json
Fleet::AllRuns(std::size_t aHost, int aPort) const
{
  const auto answer = SendTestRequest(
    "GET",
    fmt::format("http://{}:{}/test/runs", this->Address(aHost), aPort),
    {},
    {},
    kAdminTimeout);
  const Json runs = Json::parse(answer.body, nullptr, false);
  return runs.is_object() ? runs : Json();
}

Json
Fleet::AdminJson(std::size_t aHost, const std::string& aPath) const
{
  const auto answer =
    SendTestRequest("GET", this->AdminUrl(aHost, aPath), {}, {}, kAdminTimeout);
  const Json json = Json::parse(answer.body, nullptr, false);
  return answer.status != 200 || json.is_discarded() ? Json() : json;
}

Json
Fleet::State(std::size_t aHost) const
{
  return this->AdminJson(aHost, "/v1/state");
}

Json
Fleet::Members(std::size_t aHost) const
{
  return this->AdminJson(aHost, "/v1/members");
}

std::int64_t
Fleet::Version(std::size_t aHost) const
{
  const Json state = this->State(aHost);
  return state.is_object() ? state.value("version", std::int64_t(-1)) : -1;
}

double
Fleet::Metric(std::size_t aHost,
              const std::string& aName,
              const std::string& aLabels) const
{
  std::istringstream text(
    SendTestRequest(
      "GET", this->AdminUrl(aHost, "/metrics"), {}, {}, kAdminTimeout)
      .body);
  double sum = 0;
  for (std::string line; std::getline(text, line);) {
    const auto space = line.rfind(' ');
    const std::string name = line.substr(0, line.find_first_of("{ "));
    if (name == aName && space != std::string::npos &&
        line.substr(0, space).find(aLabels) != std::string::npos) {
      sum += std::strtod(line.c_str() + space, nullptr);
    }
  }
  return sum;
}

CtlRun
Fleet::Ctl(const std::vector<std::string>& aArguments)
{
  constexpr Millis kCtlTimeout = 40000;
  std::vector<std::string> arguments{ "--platform",
                                      this->platform->Url().substr(7) };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  const std::string log =
    fmt::format("{}/ctl-{}.log", this->directory, ++this->ctlRunCount);
  ChildProcess process = StartLogged("lacewingwharfctl", arguments, log);
  CtlRun run;
  run.exitCode = process.Wait(kCtlTimeout).value_or(-1);
  run.output = ReadFile(log);
  return run;
}

bool
Fleet::Put(const std::string& aName, const std::string& aJson)
{
  const std::string path = this->directory + "/" + aName + ".json";
  std::ofstream(path) << aJson;
  return this->Ctl({ "put", aName, path, "--force" }).exitCode == 0;
}

bool
Fleet::AllHaveVersion(const std::vector<std::size_t>& aHosts,
                      std::int64_t aVersion) const
{
  return std::ranges::all_of(aHosts, [&](std::size_t aHost) {
    const Json state = this->State(aHost);
    return state.is_object() && state.value("ready", false) &&
           state.value("version", std::int64_t(-1)) >= aVersion;
  });
}

Json
Fleet::LiveMembers(std::size_t aHost) const
{
  Json live = Json::object();
  for (const Json& row : this->Members(aHost)) {
    if (row.value("state", "") == "alive") {
      live[row.value("host", "")] = row;
    }
  }
  return live;
}

bool
Fleet::HaveConverged(const std::vector<std::size_t>& aHosts) const
{
  std::map<std::string, Json> tables;
  std::set<std::string> contents;
  for (const std::size_t host : aHosts) {
    const Json state = this->State(host);
    if (!state.is_object() || !state.value("ready", false)) {
      return false;
    }
    contents.insert(fmt::format(
      "{} {}", state.at("version").dump(), state.at("contentHash").dump()));
    const Json table = this->LiveMembers(host);
    const auto [entry, isNew] = tables.emplace(this->Domain(host), table);
    if (!table.contains(this->HostName(host)) || entry->second != table) {
      return false;
    }
  }
  return contents.size() == 1;
}

std::vector<std::size_t>
Fleet::AllHosts() const
{
  std::vector<std::size_t> all(this->hosts.size());
  std::iota(all.begin(), all.end(), 0);
  return all;
}

std::string
Fleet::Log(std::size_t aHost) const
{
  return ReadFile(this->directory + "/" + this->HostName(aHost) + ".log");
}

} // namespace lacewingwharf
