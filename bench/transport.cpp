// Measures round trips of a 1 KB body over loopback sockets: a call between two
// peer networks, and an HTTP POST on a reused and on a new connection.

#include "common/clock.h"
#include "common/log.h"
#include "common/testsocket.h"
#include "peer/peernetwork.h"
#include "proxy/httpclient.h"
#include "proxy/httpserver.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>
#include <semaphore>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr int kWarmUpRoundTrips = 500;
constexpr int kRoundTrips = 10000;
constexpr std::size_t kBodyBytes = 1024;
constexpr std::size_t kMaxAnswerBytes = 1U << 20U;
constexpr Millis kTimeLimit = 10000;

// Time between the end of a round trip and the start of the next, at light
// load.
constexpr auto kPause = std::chrono::microseconds(200);

struct Row
{
  std::string name;
  double tripsPerSecond = 0; // Without pauses, one round trip at a time.
  double p50Micros = 0;      // With pauses.
  double p99Micros = 0;
};

/** Starts one round trip and releases the semaphore at its end. */
using RoundTrip = std::function<void(std::binary_semaphore&)>;

double
Percentile(const std::vector<double>& aSorted, double aShare)
{
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(last * aShare)];
}

double
RunRoundTrip(const RoundTrip& aRoundTrip, const Clock& aClock)
{
  constexpr double kMicrosPerMilli = 1000;
  std::binary_semaphore done(0);
  const double start = aClock.PreciseNow();
  aRoundTrip(done);
  done.acquire();
  return (aClock.PreciseNow() - start) * kMicrosPerMilli;
}

Row
Measure(const std::string& aName, const RoundTrip& aRoundTrip)
{
  const Clock clock = Clock::Steady();
  for (int i = 0; i < kWarmUpRoundTrips; ++i) {
    RunRoundTrip(aRoundTrip, clock);
  }
  const double start = clock.PreciseNow();
  for (int i = 0; i < kRoundTrips; ++i) {
    RunRoundTrip(aRoundTrip, clock);
  }
  const double millis = clock.PreciseNow() - start;
  std::vector<double> latencies;
  for (int i = 0; i < kRoundTrips; ++i) {
    std::this_thread::sleep_for(kPause);
    latencies.push_back(RunRoundTrip(aRoundTrip, clock));
  }
  std::ranges::sort(latencies);
  return { aName,
           kRoundTrips * 1000.0 / millis,
           Percentile(latencies, 0.5),
           Percentile(latencies, 0.99) };
}

PeerNetworkConfig
MakeConfig(const std::string& aAddress)
{
  PeerNetworkConfig config;
  config.listen = { aAddress, loopback::FreePort(aAddress) };
  config.self.host = aAddress;
  return config;
}

wire::Envelope
MakeCall(const std::string& aBody)
{
  wire::CallRequest request;
  request.callId = "0123456789abcdef";
  request.entry = "orders";
  request.method = "POST";
  request.target = "/orders";
  request.headers = { { "Host", "orders" }, { "Accept", "*/*" } };
  request.body = aBody;
  wire::Envelope envelope;
  envelope.__set_callRequest(request);
  return envelope;
}

wire::Envelope
MakeAnswer(wire::CallRequest aRequest)
{
  wire::CallAnswer answer;
  answer.callId = std::move(aRequest.callId);
  answer.body = std::move(aRequest.body);
  wire::Envelope envelope;
  envelope.__set_callAnswer(answer);
  return envelope;
}

/** Measures a 1 KB call and its answer between two peer networks. */
Row
MeasurePeers()
{
  std::binary_semaphore* done = nullptr;
  PeerNetwork* server = nullptr;
  const PeerNetworkConfig rightConfig = MakeConfig("127.73.0.1");
  PeerNetwork right(rightConfig,
                    { {}, [&server](PeerEvent aEvent) {
                       if (aEvent.kind == PeerEventKind::Message) {
                         server->Reply(
                           aEvent.session,
                           MakeAnswer(std::move(aEvent.envelope.callRequest)));
                       }
                     } });
  server = &right;
  const PeerNetworkConfig leftConfig = MakeConfig("127.73.0.2");
  PeerNetwork left(leftConfig,
                   { {}, [&done](const PeerEvent&) { done->release(); } });
  const PeerAddress address = rightConfig.listen;
  right.Start();
  left.Start();
  const std::string body(kBodyBytes, 'x');
  return Measure("peer 1 KB call", [&](std::binary_semaphore& aDone) {
    done = &aDone;
    left.Send(address, wire::SessionKind::CALLS, MakeCall(body));
  });
}

/** Measures a 1 KB POST from HttpClient to an HttpServer that echoes it. */
Row
MeasureHttp(bool aNeedsNewConnection)
{
  HttpServer* answeringServer = nullptr;
  HttpServerConfig config;
  config.address = "127.73.0.3";
  config.port = loopback::FreePort(config.address);
  HttpServer server(
    config,
    { [&answeringServer](RequestId aId, HttpRequest aRequest) {
       answeringServer->Answer(aId, { 200, {}, std::move(aRequest.body) });
     },
      {} });
  answeringServer = &server;
  server.Start();
  std::binary_semaphore* done = nullptr;
  HttpClient client([&done](const ExchangeResult&) { done->release(); },
                    kMaxAnswerBytes);
  client.Start();
  HttpExchange exchange;
  exchange.id = "trip";
  exchange.url = fmt::format("http://{}:{}/", config.address, config.port);
  exchange.request.method = "POST";
  exchange.request.body = std::string(kBodyBytes, 'x');
  exchange.timeout = kTimeLimit;
  exchange.needsNewConnection = aNeedsNewConnection;
  const std::string name =
    aNeedsNewConnection ? "http, new connection" : "http, reused connection";
  return Measure(name, [&](std::binary_semaphore& aDone) {
    done = &aDone;
    client.Submit(exchange);
  });
}

void
Print(const std::vector<Row>& aRows, bool aIsCsv)
{
  if (aIsCsv) {
    fmt::print("case,trips_per_second,p50_us,p99_us\n");
  } else {
    fmt::print(
      "{:<26}{:>10}{:>10}{:>10}\n", "case", "trips/s", "p50 us", "p99 us");
  }
  const char* format = aIsCsv ? "{},{:.0f},{:.1f},{:.1f}\n"
                              : "{:<26}{:>10.0f}{:>10.1f}{:>10.1f}\n";
  for (const Row& row : aRows) {
    fmt::print(fmt::runtime(format),
               row.name,
               row.tripsPerSecond,
               row.p50Micros,
               row.p99Micros);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Log::SetLevel(LogLevel::Warning);
  const bool isCsv = aCount > 1 && std::strcmp(aArguments[1], "--csv") == 0;
  std::vector<Row> rows;
  rows.push_back(MeasurePeers());
  rows.push_back(MeasureHttp(false));
  rows.push_back(MeasureHttp(true));
  Print(rows, isCsv);
  return 0;
}
