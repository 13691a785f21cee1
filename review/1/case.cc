// A faulty upstream breaks off a share of its answers at a random byte, also
// within the head. No consumer may get such an answer as a success.
#include "site.hpp"

#include <random>

using namespace review;

namespace {

constexpr int kConsumersPerMachine = 8;
constexpr int kEpisodes = 8;
constexpr int kEpisodeMs = 5500; // As long as in the site file.
constexpr int kPauseMs = 2000;
constexpr int kBrokenPerMille = 20; // The share of the page: x = .02.

struct Outcome
{
  std::string id;
  bool isUnsafe;
  Reply reply;
};

class Outcomes
{
public:
  void Add(Outcome aOutcome)
  {
    const std::lock_guard lock(mutex);
    all.push_back(std::move(aOutcome));
  }

  std::vector<Outcome> Take()
  {
    const std::lock_guard lock(mutex);
    return std::move(all);
  }

private:
  std::mutex mutex;
  std::vector<Outcome> all;
};

std::atomic<bool> isFaulty{ false };
std::atomic<bool> isOver{ false };
std::atomic<int> brokenOff{ 0 };

/**
 * An answer whose head has the usual headers after those of the page, with the
 * length last. A faulty upstream sends only its first bytes and closes.
 */
bool
SendAnswer(Connection& aConnection,
           const Message& aRequest,
           const std::string& aBody,
           Record& aRecord)
{
  static std::mutex mutex;
  static std::mt19937 random(24);
  const std::string whole =
    Upstream::Head(aRequest, aBody) +
    "Content-Type: application/json\r\nDate: Fri, 04 Dec 2026 12:00:00 GMT\r\n"
    "Content-Length: " +
    std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  std::size_t sent = whole.size();
  if (isFaulty) {
    const std::lock_guard lock(mutex);
    if (random() % 1000 < kBrokenPerMille) {
      sent = 1 + random() % (whole.size() - 1);
    }
  }
  if (sent == whole.size()) {
    return aConnection.Send(whole);
  }
  ++brokenOff;
  aRecord.Line("broken off " + aRequest.Header("x-request-id") + " after " +
               std::to_string(sent) + " of " + std::to_string(whole.size()) +
               " bytes");
  aConnection.Send(whole.substr(0, sent));
  return false;
}

void
Consume(Site& aSite, const Machine& aMachine, int aSeed, Outcomes& aOutcomes)
{
  std::mt19937 random(static_cast<unsigned>(aSeed));
  Connection connection;
  while (!isOver) {
    SleepMs(20 + static_cast<long long>(random() % 60));
    const bool isUnsafe = random() % 2 == 0;
    if (!connection.IsOpen()) {
      connection = Connection::To(aMachine.Outbound());
    }
    const std::string id = aSite.NewRequestId("c" + std::to_string(aSeed));
    Reply reply = aSite.Exchange(connection, id, "orders", isUnsafe);
    if (reply.end != ReadEnd::Whole ||
        reply.message.Header("connection") == "close") {
      connection.Close();
    }
    aOutcomes.Add({ id, isUnsafe, std::move(reply) });
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Site site(record, { "web", "web", "orders", "orders" });
  if (!site.Start()) {
    Finish(site, Verdict::NotRun, "the site does not serve");
  }
  // One of the two upstreams of the service is faulty: share = .5.
  Upstream& faulty = *site.machines[2].upstream;
  faulty.SetAnswer([&record](Connection& aConnection,
                             const Message& aRequest,
                             const std::string& aBody) {
    return SendAnswer(aConnection, aRequest, aBody, record);
  });
  Outcomes outcomes;
  std::vector<std::thread> consumers;
  for (int i = 0; i < 2 * kConsumersPerMachine; ++i) {
    consumers.emplace_back([&site, i, &outcomes] {
      Consume(
        site, site.machines[static_cast<std::size_t>(i % 2)], i + 1, outcomes);
    });
  }
  for (int episode = 0; episode < kEpisodes; ++episode) {
    isFaulty = HasTrouble();
    SleepMs(kEpisodeMs);
    isFaulty = false;
    SleepMs(kPauseMs);
  }
  isOver = true;
  for (std::thread& consumer : consumers) {
    consumer.join();
  }
  int successes = 0;
  int broken = 0;
  for (const Outcome& outcome : outcomes.Take()) {
    successes += outcome.reply.IsSuccess() ? 1 : 0;
    if (!outcome.reply.IsSuccess() ||
        Site::IsWholeSuccess(outcome.reply, outcome.id)) {
      continue;
    }
    ++broken;
    record.Line(
      "MIXED " + outcome.id + (outcome.isUnsafe ? " unsafe" : " safe") +
      " got status " + std::to_string(outcome.reply.message.Status()) +
      ", signature " + outcome.reply.message.Header("x-server-signature") +
      " and a body of " + std::to_string(outcome.reply.message.body.size()) +
      " bytes; runs " + std::to_string(record.Runs(outcome.id)));
  }
  const std::string counts = std::to_string(successes) + " successes, " +
                             std::to_string(brokenOff) +
                             " answers broken off, " + std::to_string(broken) +
                             " successes without the upstream's whole body";
  if (successes < 500) {
    Finish(site, Verdict::NotRun, counts);
  }
  Finish(site, broken > 0 ? Verdict::Broken : Verdict::Held, counts);
}
