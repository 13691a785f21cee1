#include "common/testsocket.h"
#include "httpserver/standinserver.h"
#include "testkit/httprequest.h"
#include "testkit/process.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

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

  bool SetBehaviour(const std::string& aJson) const
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

/** A UDP socket on a free port. Receive() gives up after 20 seconds. */
struct UdpSocket
{
  UdpSocket()
    : port(FreePort())
    , socketFd(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
  {
    const sockaddr_in address = AddressOf(this->port);
    bind(this->socketFd, (const sockaddr*)&address, sizeof(address)); // NOLINT
    const timeval receiveTimeout{ 20, 0 };
    setsockopt(this->socketFd,
               SOL_SOCKET,
               SO_RCVTIMEO,
               &receiveTimeout,
               sizeof(receiveTimeout));
  }

  static sockaddr_in AddressOf(std::uint16_t aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  void Send(std::uint16_t aPort, const std::string& aText) const
  {
    const sockaddr_in address = AddressOf(aPort);
    sendto(this->socketFd,
           aText.data(),
           aText.size(),
           0,
           (const sockaddr*)&address, // NOLINT
           sizeof(address));
  }

  std::string Receive(sockaddr_in* aSender) const
  {
    std::string buffer(100, ' ');
    socklen_t size = sizeof(sockaddr_in);
    const auto bytes = recvfrom(this->socketFd,
                                buffer.data(),
                                buffer.size(),
                                0,
                                (sockaddr*)aSender, // NOLINT
                                aSender == nullptr ? nullptr : &size);
    buffer.resize(bytes < 0 ? 0 : static_cast<std::size_t>(bytes));
    return buffer;
  }

  std::uint16_t port;
  int socketFd;
};

/** Runs lww-caller against a port and returns the JSON line that it prints. */
Json
RunLoad(std::uint16_t aPort, std::vector<std::string> aOptions)
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

/** Receives an answer whose body is one line. */
bool
ReceiveLine(loopback::Socket& aSocket)
{
  std::string received = aSocket.ReceiveUntil("\r\n\r\n");
  while (!received.empty() && received.ends_with("\r\n")) {
    received += aSocket.ReceiveSome();
  }
  return received.ends_with("\n");
}

} // namespace

// lww-caller has to report a truncated answer, or the answer to another call,
// as an error and not as a success.
Test(standins, CallerReportsTruncatedAnswers)
{
  // More slots than the load has calls, so that none is shed after a pause.
  const Backend backend({ "--slots", "200" });
  const std::vector<std::string> load{ "--rate",   "200",  "--time-ms", "500",
                                       "--method", "POST", "--keys" };
  const Json good = RunLoad(backend.port, load);
  cr_assert_gt(good.value("answers", 0), 0);
  cr_assert_eq(good["status"].value("200", 0), good.value("sent", -1));
  cr_assert(good["errors"].empty());
  cr_assert_eq(backend.Runs("total"), good.value("sent", -1));
  cr_assert(backend.SetBehaviour(R"({"cut_answers":3})"));
  const Json cut = RunLoad(backend.port, load);
  int errors = 0;
  for (const auto& [kind, count] : cut["errors"].items()) {
    errors += count.get<int>();
  }
  cr_assert_eq(errors, 3);
}

// The backend server must not run more requests than it has slots, and a
// request that its caller cancels must free its slot.
Test(standins, BackendShedsWhenFullAndFreesCancelledSlots)
{
  const Backend backend({ "--slots", "1" });
  cr_assert(backend.SetBehaviour(R"({"stall":true})"));
  cr_assert_eq(SendTestRequest("GET", backend.Url("/a"), {}, {}, 300).status,
               0);
  cr_assert(WaitUntil([&] { return backend.Runs("cancelled") == 1; }));
  cr_assert(backend.SetBehaviour(R"({"stall":false,"service_ms":60000})"));
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

// Whoever gets an answer may use the slot of its request at once. If the slot
// is freed after the answer is sent, such a request is shed now and then, and a
// test takes the status 503 for a fault of the daemon.
Test(standins, BackendFreesASlotBeforeItAnswers)
{
  constexpr int kRequests = 3000;
  const Backend backend({ "--slots", "1", "--service-ms", "0" });
  loopback::Socket caller;
  cr_assert(caller.Connect("127.0.0.1", backend.port));
  for (int i = 0; i < kRequests; ++i) {
    cr_assert(caller.Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n"));
    cr_assert(ReceiveLine(caller), "request %d", i);
  }
  cr_expect_eq(backend.Runs("shed"), 0);
  cr_expect_eq(backend.Runs("total"), kRequests);
}

// On SIGTERM the backend server has to announce that it drains, and it must not
// exit while a request is in flight.
Test(standins, BackendAnnouncesAndDrains)
{
  std::mutex mutex;
  std::set<std::string> states;
  const auto admin = FreePort();
  StandinServer daemon({ .port = admin }, [&](const auto& aExchange) {
    const std::lock_guard lock(mutex);
    const StandinRequest& request = aExchange->Request();
    const Json body = Json::parse(request.body, nullptr, false);
    if (request.method == "PUT" && request.path == "/v1/endpoints/orders") {
      states.insert(body.value("state", ""));
    }
    aExchange->Answer({});
  });
  const auto hasState = [&](const std::string& aState) {
    const std::lock_guard lock(mutex);
    return states.contains(aState);
  };
  cr_assert(daemon.Start());
  Backend backend({ "--service",
                    "orders",
                    "--admin",
                    fmt::format("127.0.0.1:{}", admin),
                    "--service-ms",
                    "6000",
                    "--cold-start-ms",
                    "1500" });
  cr_assert(WaitUntil([&] { return hasState("starting"); }));
  cr_assert(WaitUntil([&] { return hasState("ready"); }));
  cr_assert_not(hasState("draining"));
  long status = 0;
  std::jthread caller(
    [&] { status = SendTestRequest("GET", backend.Url("/a")).status; });
  cr_assert(WaitUntil([&] { return backend.Runs("running") == 1; }));
  backend.process.Terminate();
  cr_assert(WaitUntil([&] { return hasState("draining"); }));
  caller.join();
  cr_assert_eq(status, 200);
  cr_assert_eq(backend.process.Wait(30000).value_or(-1), 0);
}

// A stand-in that stops must send the answers that it has given, or tests take
// the cut for a fault of the daemon.
Test(standins, StopSendsTheAnswersThatWereGiven)
{
  constexpr std::size_t kBodyBytes = 8U << 20U;
  std::promise<std::shared_ptr<StandinExchange>> received;
  const auto port = FreePort();
  StandinServer server({ .port = port }, [&](const auto& aExchange) {
    received.set_value(aExchange);
  });
  cr_assert(server.Start());
  TestAnswer answer;
  std::jthread caller([&] {
    answer = SendTestRequest("GET", fmt::format("http://127.0.0.1:{}/a", port));
  });
  StandinAnswer given;
  given.body.assign(kBodyBytes, 'b');
  cr_assert(received.get_future().get()->Answer(given));
  server.Stop();
  caller.join();
  cr_expect_eq(answer.status, 200);
  cr_expect_eq(answer.body.size(), kBodyBytes);
}

// A request that contains the crash text has to end the process.
Test(standins, BackendExitsOnCrashText)
{
  Backend backend;
  cr_assert(backend.SetBehaviour(R"({"crash_on":"poison"})"));
  cr_assert_eq(SendTestRequest("POST", backend.Url("/a"), "water").status, 200);
  cr_assert_eq(SendTestRequest("POST", backend.Url("/a"), "poison").status, 0);
  cr_assert_eq(backend.process.Wait(20000).value_or(-1), 70);
}

// Sending an answer in pieces must not damage it, and close_reused must close
// exactly that many connections.
Test(standins, BackendClosesReusedConnectionsAndSendsPieces)
{
  const Backend backend({ "--slots", "50" });
  cr_assert(backend.SetBehaviour(R"({"piece_bytes":40,"piece_ms":2})"));
  const std::vector<std::string> load{ "--rate", "100", "--time-ms", "500" };
  const Json pieces = RunLoad(backend.port, load);
  cr_assert_eq(pieces["status"].value("200", 0), pieces.value("sent", -1));
  cr_assert(pieces["errors"].empty());
  // libcurl repeats a GET on a new connection, so each closed connection adds
  // one run.
  const int before = backend.Runs("total");
  cr_assert(backend.SetBehaviour(R"({"close_reused":2,"piece_bytes":0})"));
  const Json closed = RunLoad(backend.port, load);
  cr_assert_eq(backend.Runs("total") - before, closed.value("sent", -1) + 2);
}

// A cut link must not carry traffic. Silent mode must stop the connections that
// are open and leave new ones alone.
Test(standins, LinkCutsRestoresAndSilences)
{
  const Backend backend({ "--slots", "50" });
  const auto port = FreePort();
  const auto control = FreePort();
  const ChildProcess link("lww-link",
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
  const std::string controlUrl = fmt::format("http://127.0.0.1:{}/", control);
  const Json load = RunLoad(
    port, { "--rate", "200", "--time-ms", "500", "--answer-bytes", "5000" });
  cr_assert_eq(load["status"].value("200", 0), load.value("sent", -1));
  cr_assert(load["errors"].empty());
  SendTestRequest("POST", controlUrl, R"({"cut":true})");
  cr_assert_eq(SendTestRequest("GET", url).status, 0);
  SendTestRequest("POST", controlUrl, R"({"cut":false,"silent":true})");
  cr_assert_eq(SendTestRequest("GET", url).status, 200);
  const Json state = Json::parse(SendTestRequest("GET", controlUrl).body);
  cr_assert_gt(state.value("bytes_backward", 0), 5000 * load.value("sent", 0));
  cr_assert(backend.SetBehaviour(R"({"service_ms":3000})"));
  long status = -1;
  std::jthread caller(
    [&] { status = SendTestRequest("GET", url, {}, {}, 10000).status; });
  cr_assert(WaitUntil([&] { return backend.Runs("running") == 1; }));
  SendTestRequest("POST", controlUrl, R"({"silent":true})");
  caller.join();
  cr_assert_eq(status, 0);
  cr_assert_eq(SendTestRequest("GET", url).status, 200);
}

// The link must deliver datagrams, return an answer to the sender that it
// belongs to, and drop datagrams that arrive while it is cut instead of
// delaying them.
Test(standins, LinkCarriesDatagrams)
{
  const auto listen = FreePort();
  UdpSocket target;
  UdpSocket first;
  UdpSocket second;
  const auto control = FreePort();
  const ChildProcess link("lww-link",
                          { "--relay",
                            fmt::format("{}:127.0.0.1:{}", listen, target.port),
                            "--control",
                            std::to_string(control) });
  cr_assert(WaitForPort(control));
  first.Send(listen, "one");
  sockaddr_in firstSender{};
  cr_assert(target.Receive(&firstSender) == "one");
  second.Send(listen, "two");
  cr_assert(target.Receive(nullptr) == "two");
  target.Send(ntohs(firstSender.sin_port), "answer");
  cr_assert(first.Receive(nullptr) == "answer");
  const std::string controlUrl = fmt::format("http://127.0.0.1:{}/", control);
  SendTestRequest("POST", controlUrl, R"({"cut":true})");
  first.Send(listen, "lost");
  PauseFor(100);
  SendTestRequest("POST", controlUrl, R"({"cut":false})");
  first.Send(listen, "three");
  cr_assert(target.Receive(nullptr) == "three");
}
