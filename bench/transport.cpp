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

constexpr int kWarmUpTrips = 500;
constexpr int kTrips = 10000;
constexpr std::size_t kBodyBytes = 1024;
constexpr std::size_t kMaxAnswerBytes = 1U << 20U;
constexpr Millis kTimeLimit = 10000;

// Light load: time between the end of a trip and the start of the next.
constexpr auto kPause = std::chrono::microseconds(200);

struct Row
{
  std::string name;
  double perSecond = 0; // Without pauses, one trip at a time.
  double p50Micros = 0; // With pauses.
  double p99Micros = 0;
};

/** Starts one trip; its end releases the semaphore. */
using Trip = std::function<void(std::binary_semaphore&)>;

double
Percentile(const std::vector<double>& aSorted, double aShare)
{
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(last * aShare)];
}

double
RunTrip(const Trip& aTrip, const Clock& aClock)
{
  constexpr double kMicrosPerMilli = 1000;
  std::binary_semaphore done(0);
  const double start = aClock.PreciseNow();
  aTrip(done);
  done.acquire();
  return (aClock.PreciseNow() - start) * kMicrosPerMilli;
}

Row
Measure(const std::string& aName, const Trip& aTrip)
{
  const Clock clock = Clock::Steady();
  for (int i = 0; i < kWarmUpTrips; ++i) {
    RunTrip(aTrip, clock);
  }
  const double start = clock.PreciseNow();
  for (int i = 0; i < kTrips; ++i) {
    RunTrip(aTrip, clock);
  }
  const double millis = clock.PreciseNow() - start;
  std::vector<double> latencies;
  for (int i = 0; i < kTrips; ++i) {
    std::this_thread::sleep_for(kPause);
    latencies.push_back(RunTrip(aTrip, clock));
  }
  std::ranges::sort(latencies);
  return { aName,
           kTrips * 1000.0 / millis,
           Percentile(latencies, 0.5),
           Percentile(latencies, 0.99) };
}

PeerNetworkConfig
ConfigFor(const std::string& aAddress)
{
  PeerNetworkConfig config;
  config.listen = { aAddress, loopback::FreePort(aAddress) };
  config.self.host = aAddress;
  return config;
}

wire::Envelope
CallOf(const std::string& aBody)
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
AnswerOf(wire::CallRequest aRequest)
{
  wire::CallAnswer answer;
  answer.callId = std::move(aRequest.callId);
  answer.body = std::move(aRequest.body);
  wire::Envelope envelope;
  envelope.__set_callAnswer(answer);
  return envelope;
}

/** A 1 KB call and its answer between two networks. */
Row
MeasurePeers()
{
  std::binary_semaphore* done = nullptr;
  PeerNetwork* server = nullptr;
  const PeerNetworkConfig rightConfig = ConfigFor("127.73.0.1");
  PeerNetwork right(rightConfig,
                    { {}, [&server](PeerEvent aEvent) {
                       if (aEvent.kind == PeerEventKind::Message) {
                         server->Reply(
                           aEvent.session,
                           AnswerOf(std::move(aEvent.envelope.callRequest)));
                       }
                     } });
  server = &right;
  const PeerNetworkConfig leftConfig = ConfigFor("127.73.0.2");
  PeerNetwork left(leftConfig,
                   { {}, [&done](const PeerEvent&) { done->release(); } });
  const PeerAddress address = rightConfig.listen;
  right.Start();
  left.Start();
  const std::string body(kBodyBytes, 'x');
  return Measure("peer 1 KB call", [&](std::binary_semaphore& aDone) {
    done = &aDone;
    left.Send(address, wire::SessionKind::CALLS, CallOf(body));
  });
}

/** A 1 KB POST through HttpClient to HttpServer, echoed. */
Row
MeasureHttp(bool aNeedsNewConnection)
{
  HttpServer* answering = nullptr;
  HttpServerConfig config;
  config.address = "127.73.0.3";
  config.port = loopback::FreePort(config.address);
  HttpServer server(
    config,
    { [&answering](RequestId aId, HttpRequest aRequest) {
       answering->Answer(aId, { 200, {}, std::move(aRequest.body) });
     },
      {} });
  answering = &server;
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
  exchange.timeLimit = kTimeLimit;
  exchange.needsNewConnection = aNeedsNewConnection;
  const std::string name =
    aNeedsNewConnection ? "http, new connection" : "http, reused connection";
  return Measure(name, [&](std::binary_semaphore& aDone) {
    done = &aDone;
    client.Submit(exchange);
  });
}

void
Print(const std::vector<Row>& aRows, bool aAsCsv)
{
  if (aAsCsv) {
    fmt::print("case,trips_per_second,p50_us,p99_us\n");
  } else {
    fmt::print(
      "{:<26}{:>10}{:>10}{:>10}\n", "case", "trips/s", "p50 us", "p99 us");
  }
  const char* format = aAsCsv ? "{},{:.0f},{:.1f},{:.1f}\n"
                              : "{:<26}{:>10.0f}{:>10.1f}{:>10.1f}\n";
  for (const Row& row : aRows) {
    fmt::print(fmt::runtime(format),
               row.name,
               row.perSecond,
               row.p50Micros,
               row.p99Micros);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Log::SetLevel(LogLevel::Warning);
  const bool asCsv = aCount > 1 && std::strcmp(aArguments[1], "--csv") == 0;
  std::vector<Row> rows;
  rows.push_back(MeasurePeers());
  rows.push_back(MeasureHttp(false));
  rows.push_back(MeasureHttp(true));
  Print(rows, asCsv);
  return 0;
}
