#include "testkit/platformstandin.h"

#include "testkit/httprequest.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lacewingwharf {

namespace {

constexpr long kOk = 200;

std::vector<std::string>
ArgumentsFor(std::uint16_t aPort, const std::vector<std::string>& aOptions)
{
  std::vector<std::string> arguments{ "--port", std::to_string(aPort) };
  arguments.insert(arguments.end(), aOptions.begin(), aOptions.end());
  return arguments;
}

} // namespace

PlatformStandin::PlatformStandin(const std::vector<std::string>& aOptions)
  : port(FreePort())
  , process("lww-platform", ArgumentsFor(this->port, aOptions))
{
  WaitForPort(this->port);
}

void
PlatformStandin::Restart(const std::vector<std::string>& aOptions)
{
  this->process.Kill();
  this->process =
    ChildProcess("lww-platform", ArgumentsFor(this->port, aOptions));
  WaitForPort(this->port);
}

std::string
PlatformStandin::Url() const
{
  return fmt::format("http://127.0.0.1:{}", this->port);
}

HttpStoreConfig
PlatformStandin::StoreConfig() const
{
  HttpStoreConfig config;
  config.baseUrl = this->Url();
  return config;
}

bool
PlatformStandin::Switch(const std::string& aJson) const
{
  return SendTestRequest("POST", this->Url() + "/v1/test/switch", aJson)
           .status == kOk;
}

int
PlatformStandin::Calls(const std::string& aKind) const
{
  const auto answer = SendTestRequest("GET", this->Url() + "/v1/test/calls");
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  return json.is_object() ? json.value(aKind, -1) : -1;
}

} // namespace lacewingwharf
