#pragma once

#include "common/testsocket.h"
#include "peer/codec.h"
#include "testkit/httprequest.h"
#include "testkit/platformstandin.h"
#include "testkit/process.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <unistd.h>

namespace lacewingwharf {

/** A lacewingwharfd process with a platform stand-in and no other daemons. */
class DaemonHarness
{
public:
  DaemonHarness()
    : callPort(FreePort())
    , adminPort(FreePort())
    , peerPort(FreePort())
    , directory(std::filesystem::temp_directory_path() /
                fmt::format("lww-daemon-{}", getpid()))
  {
    std::filesystem::create_directories(this->directory);
    std::ofstream(this->directory / "daemon.ini") << this->MakeSettingsText();
    // The shell writes standard output, where the daemon logs, and standard
    // error to one file.
    this->process = std::make_unique<ChildProcess>(
      "/bin/sh",
      std::vector<std::string>{
        "-c",
        fmt::format("exec '{0}/lacewingwharfd' --config '{1}/daemon.ini' "
                    ">'{1}/log' 2>&1",
                    LWW_BINARY_DIR,
                    this->directory.string()) });
    this->isUp =
      WaitUntil([this] { return this->State().contains("version"); });
  }

  ~DaemonHarness()
  {
    this->process.reset();
    std::filesystem::remove_all(this->directory);
  }
  DaemonHarness(const DaemonHarness&) = delete;
  DaemonHarness& operator=(const DaemonHarness&) = delete;

  static constexpr const char* kAddress = "127.85.9.1";

  PlatformStandin platform;
  std::uint16_t callPort;
  std::uint16_t adminPort;
  std::uint16_t peerPort;
  bool isUp = false;

  std::string AdminUrl(const std::string& aPath) const
  {
    return fmt::format("http://{}:{}{}", kAddress, this->adminPort, aPath);
  }

  nlohmann::json ReadJson(const std::string& aPath) const
  {
    const auto answer = SendTestRequest("GET", this->AdminUrl(aPath));
    return nlohmann::json::parse(answer.body, nullptr, false);
  }

  nlohmann::json State() const
  {
    auto state = this->ReadJson("/v1/state");
    return state.is_object() ? state : nlohmann::json::object();
  }

  double Metric(const std::string& aName) const
  {
    const auto answer = SendTestRequest("GET", this->AdminUrl("/metrics"));
    const auto line = answer.body.find("\n" + aName + " ");
    return line == std::string::npos
             ? -1
             : std::stod(answer.body.substr(line + aName.size() + 2));
  }

  std::string Log() const
  {
    std::ifstream stream(this->directory / "log");
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
  }

  /** Returns true if the text appears in the log before WaitUntil times out. */
  bool LogEventuallyContains(const std::string& aText) const
  {
    return WaitUntil(
      [&] { return this->Log().find(aText) != std::string::npos; });
  }

  /**
   * Returns true if the daemon runs, answers and still has its initial version
   * and membership.
   */
  bool IsUnaffected() const
  {
    const auto state = this->State();
    const auto members = this->ReadJson("/v1/members");
    return this->process->IsRunning() && state.value("version", -1) == 0 &&
           state.value("members", 0) == 1 && members.is_array() &&
           members.size() == 1 &&
           members[0].value("endpoints", members).empty();
  }

  std::string SendToCallPort(const std::string& aBytes) const
  {
    loopback::Socket socket;
    socket.Connect(kAddress, this->callPort);
    socket.Send(aBytes);
    return socket.ReceiveAll();
  }

  loopback::Socket ConnectToPeerPort() const
  {
    loopback::Socket socket;
    socket.Connect(kAddress, this->peerPort);
    return socket;
  }

  static std::string MakeFrame(const wire::Envelope& aEnvelope)
  {
    constexpr std::size_t kMaxBytes = 1U << 20U;
    return EncodeFrame(aEnvelope, kMaxBytes).value();
  }

  static std::string MakeHelloFrame(int aProtocol)
  {
    wire::Hello hello;
    hello.protocol = aProtocol;
    hello.host = "stranger";
    hello.incarnation = 1;
    hello.region = "region";
    hello.domain = "domain";
    hello.kind = wire::SessionKind::CONTROL;
    wire::Envelope envelope;
    envelope.__set_hello(hello);
    return MakeFrame(envelope);
  }

private:
  std::string MakeSettingsText() const
  {
    return fmt::format("[daemon]\nhost = host-1\naddress = {}\n"
                       "region = region\ndomain = domain\n"
                       "[peer]\nport = {}\n"
                       "[http]\ncallport = {}\nadminport = {}\n"
                       "maxbodybytes = 65536\n"
                       "[platform]\naddress = {}\nregion = region\n"
                       "[distribution]\nstartwait = 100\n",
                       kAddress,
                       this->peerPort,
                       this->callPort,
                       this->adminPort,
                       this->platform.Url().substr(7));
  }

  std::filesystem::path directory;
  std::unique_ptr<ChildProcess> process;
};

} // namespace lacewingwharf
