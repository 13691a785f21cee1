#include "testkit/fleet.h"
#include "testkit/httprequest.h"
#include "testkit/untrustedcrowd.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

// Guards against clients that make a daemon run out of memory or descriptors,
// or keep it from answering others. Each test holds a crowd of one kind of
// clients against daemons as processes. It checks no times and no fraction of
// served requests, so that it does not depend on the speed of the machine.

using namespace lacewingwharf;

namespace {

constexpr int kServerPort = 19001;

// The smallest hosts have this memory.
constexpr std::size_t kMaxResidentBytes = 160000000;

// The limit of the settings below on connections of callers, and what a daemon
// needs besides: its threads, sessions with the other daemon, a connection to
// its server for each call.
constexpr std::size_t kMaxConnections = 128;
constexpr std::size_t kOtherDescriptors = 128;

constexpr std::size_t kBodyLimit = 8U << 20U;

// Longer than a crowd needs to send everything to a daemon without limits.
constexpr Millis kCrowdTime = 10000;

// Stays behind the end of a body that is never sent.
constexpr std::size_t kMissingBytes = 4096;

std::string
ReadProcess(pid_t aPid, const std::string& aFile)
{
  const std::ifstream file(fmt::format("/proc/{}/{}", aPid, aFile));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** The largest resident set that the process has had, or 0 if it has ended. */
std::size_t
PeakResidentBytes(pid_t aPid)
{
  constexpr std::size_t kKilobyte = 1024;
  const std::string status = ReadProcess(aPid, "status");
  const std::string name = "VmHWM:";
  const auto at = status.find(name);
  return at == std::string::npos
           ? 0
           : std::stoul(status.substr(at + name.size())) * kKilobyte;
}

std::size_t
Descriptors(pid_t aPid)
{
  std::error_code error;
  const std::filesystem::directory_iterator open(
    fmt::format("/proc/{}/fd", aPid), error);
  return error ? 0
               : static_cast<std::size_t>(std::distance(
                   begin(open), std::filesystem::directory_iterator()));
}

/**
 * Two daemons. Callers use the first one, and the server is on the host of the
 * second one.
 */
class CrowdFixture
{
public:
  CrowdFixture()
    : fleet(MakeConfig())
  {
    this->fleet.StartAll();
    cr_assert(this->fleet.Put(
      "work", R"({"kind":"service","owner":"team","class":"interactive"})"));
    cr_assert(this->fleet.Put(
      "work-route",
      R"({"kind":"route","owner":"team","class":"interactive","service":"work",
"match":{"path":"/work"},"limits":{"deadline_ms":8000,"queue_ms":8000}})"));
    this->fleet.StartBackend(
      1, "work", kServerPort, { "--slots", "12", "--service-ms", "20" });
    cr_assert(WaitUntil([this] { return this->IsServed(); }));
    this->crowd = std::make_unique<UntrustedCrowd>(this->fleet.Address(0),
                                                   Fleet::kCallPort);
  }

  /** Lets the crowd act, then checks the daemons while it is still there. */
  void RunAndCheck()
  {
    this->crowd->Start();
    const Clock clock = Clock::Steady();
    const Millis end = clock.Now() + kCrowdTime;
    std::size_t descriptors = 0;
    while (clock.Now() < end) {
      descriptors = std::max(
        { descriptors, Descriptors(this->Pid(0)), this->Descriptors1() });
      PauseFor(50);
    }
    const bool isServed = WaitUntil([this] { return this->IsServed(); }, 20000);
    const auto resident = { PeakResidentBytes(this->Pid(0)),
                            PeakResidentBytes(this->Pid(1)) };
    fmt::print("sent {} bytes, {} closed, resident {} and {}, {} descriptors, "
               "served {}\n",
               this->crowd->SentBytes(),
               this->crowd->Closed(),
               *resident.begin(),
               *(resident.begin() + 1),
               descriptors,
               isServed);
    for (std::size_t host = 0; host < this->fleet.Size(); ++host) {
      cr_expect(this->fleet.Daemon(host).IsRunning(), "daemon %zu", host);
    }
    for (const std::size_t bytes : resident) {
      cr_expect_lt(bytes, kMaxResidentBytes);
    }
    cr_expect_leq(descriptors, kMaxConnections + kOtherDescriptors);
    cr_expect(isServed, "an ordinary request is answered");
  }

  std::string Head(const std::string& aMethod,
                   const std::string& aHeaders) const
  {
    return fmt::format(
      "{} /work HTTP/1.1\r\nHost: x\r\n{}\r\n", aMethod, aHeaders);
  }

  /** A chunked body of aBytes without its end. */
  UntrustedClient Chunked(std::size_t aChunk, std::size_t aBytes) const
  {
    UntrustedClient client;
    client.start = this->Head("POST", "Transfer-Encoding: chunked\r\n");
    client.block =
      fmt::format("{:x}\r\n{}\r\n", aChunk, std::string(aChunk, 'x'));
    client.blocks = aBytes / aChunk;
    return client;
  }

  Fleet fleet;
  std::unique_ptr<UntrustedCrowd> crowd;

private:
  static FleetConfig MakeConfig()
  {
    FleetConfig config;
    config.domains = { { "east", "north", 2 } };
    config.settings =
      fmt::format("[distribution]\nstartwait = 1000\n"
                  "[http]\nmaxbodybytes = {}\nmaxconnections = {}\n",
                  kBodyLimit,
                  kMaxConnections);
    return config;
  }

  pid_t Pid(std::size_t aHost) { return this->fleet.Daemon(aHost).Pid(); }
  std::size_t Descriptors1() { return Descriptors(this->Pid(1)); }

  /** Whether a request with a body of the usual size is answered. */
  bool IsServed()
  {
    constexpr std::size_t kUsualBody = 60000;
    return SendTestRequest("POST",
                           this->fleet.CallUrl(0, "/work"),
                           std::string(kUsualBody, 'o'))
             .status == 200;
  }
};

} // namespace

// Large chunked bodies that stop just short of their end and stay open.
Test(untrustedclients, stalled_bodies_in_large_chunks, .timeout = 120)
{
  constexpr std::size_t kChunk = 65536;
  CrowdFixture fixture;
  fixture.crowd->Add(40, fixture.Chunked(kChunk, kBodyLimit - kMissingBytes));
  fixture.RunAndCheck();
}

// The same in very small chunks, so that most bytes are those of the framing.
Test(untrustedclients, stalled_bodies_in_small_chunks, .timeout = 120)
{
  constexpr std::size_t kChunk = 16;
  CrowdFixture fixture;
  fixture.crowd->Add(40, fixture.Chunked(kChunk, kBodyLimit - kMissingBytes));
  fixture.RunAndCheck();
}

// Bodies far over the limit: announced in advance, or simply sent.
Test(untrustedclients, bodies_far_over_the_limit, .timeout = 120)
{
  constexpr std::size_t kChunk = 65536;
  constexpr std::size_t kFarOver = 8;
  CrowdFixture fixture;
  UntrustedClient announced;
  announced.start = fixture.Head(
    "POST", fmt::format("Content-Length: {}\r\n", kFarOver * kBodyLimit));
  announced.block = std::string(kChunk, 'x');
  announced.blocks = kFarOver * kBodyLimit / kChunk;
  fixture.crowd->Add(20, announced);
  fixture.crowd->Add(20, fixture.Chunked(kChunk, kFarOver * kBodyLimit));
  fixture.RunAndCheck();
}

// Long answers that are read slowly.
Test(untrustedclients, long_answers_that_are_read_slowly, .timeout = 120)
{
  CrowdFixture fixture;
  UntrustedClient client;
  client.start = fixture.Head("GET", "X-Pattern: long:6000000\r\n");
  client.readBytesPerStep = 1024;
  fixture.crowd->Add(60, client);
  fixture.RunAndCheck();
}

// More connections than the limit, whose heads are sent byte by byte.
Test(untrustedclients, heads_byte_by_byte, .timeout = 120)
{
  CrowdFixture fixture;
  UntrustedClient client;
  client.start = "GET /work HTTP/1.1\r\nHost: x\r\n";
  client.block = "X-Filler: some bytes of a header\r\n";
  client.blocks = 400;
  client.bytesPerStep = 1;
  fixture.crowd->Add(kMaxConnections + 64, client);
  fixture.RunAndCheck();
}

// More connections than the limit that send nothing.
Test(untrustedclients, connections_that_send_nothing, .timeout = 120)
{
  CrowdFixture fixture;
  fixture.crowd->Add(kMaxConnections + 64, {});
  fixture.RunAndCheck();
}

// Pipelined requests for large answers from clients that read none of them.
Test(untrustedclients, pipelined_requests_without_reading, .timeout = 120)
{
  CrowdFixture fixture;
  UntrustedClient client;
  client.block = fixture.Head("GET", "X-Pattern: pipelined:1000000\r\n");
  client.blocks = 64;
  fixture.crowd->Add(40, client);
  fixture.RunAndCheck();
}

// Complete large bodies that arrive faster than the server runs them.
Test(untrustedclients, complete_large_bodies_that_wait, .timeout = 120)
{
  constexpr std::size_t kBytes = 4000000;
  CrowdFixture fixture;
  UntrustedClient client;
  client.start =
    fixture.Head("POST", fmt::format("Content-Length: {}\r\n", kBytes));
  client.block = std::string(kBytes, 'x');
  client.blocks = 1;
  cr_assert(
    fixture.fleet
      .StartBackend(
        1, "work", kServerPort + 1, { "--slots", "1", "--service-ms", "4000" })
      .IsRunning());
  fixture.crowd->Add(60, client);
  fixture.RunAndCheck();
}

// All kinds at once.
Test(untrustedclients, all_kinds_at_once, .timeout = 120)
{
  CrowdFixture fixture;
  fixture.crowd->Add(20, fixture.Chunked(65536, kBodyLimit - kMissingBytes));
  fixture.crowd->Add(10, fixture.Chunked(16, kBodyLimit - kMissingBytes));
  fixture.crowd->Add(10, fixture.Chunked(65536, 4 * kBodyLimit));
  UntrustedClient reader;
  reader.start = fixture.Head("GET", "X-Pattern: long:6000000\r\n");
  reader.readBytesPerStep = 1024;
  fixture.crowd->Add(30, reader);
  UntrustedClient pipelined;
  pipelined.block = fixture.Head("GET", "X-Pattern: pipelined:1000000\r\n");
  pipelined.blocks = 64;
  fixture.crowd->Add(10, pipelined);
  UntrustedClient slow;
  slow.start = "GET /work HTTP/1.1\r\nHost: x\r\n";
  slow.block = "X-Filler: some bytes of a header\r\n";
  slow.blocks = 400;
  slow.bytesPerStep = 1;
  fixture.crowd->Add(40, slow);
  fixture.crowd->Add(40, {});
  fixture.RunAndCheck();
}
