#include "proxy/pipelineharness.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>

using namespace lacewingwharf;
using namespace lacewingwharf::pipelineharness;
using loopback::Eventually;
using loopback::Socket;

// Callers match answers to requests by their order alone, so the order in which
// requests end must not matter.
Test(pipelining, answers_keep_the_order_of_requests)
{
  PipelineFixture fixture;
  std::vector<int> order{ 0, 1, 2, 3 };
  std::size_t requests = 0;
  do {
    const std::size_t first = requests;
    std::string bytes;
    std::string expected;
    for (int i = 0; i < 4; ++i) {
      bytes += Get(fmt::format("/{}", first + static_cast<std::size_t>(i)));
    }
    Socket socket = fixture.Send(bytes);
    requests += order.size();
    cr_assert(Eventually(
      [&fixture, requests] { return fixture.Requests() == requests; }));
    for (const int i : order) {
      fixture.Answer(fmt::format("/{}", first + static_cast<std::size_t>(i)));
    }
    const std::string received =
      socket.ReceiveUntil(fmt::format("[/{}]", first + 3));
    cr_expect_eq(Count(received, "HTTP/1.1 200"), 4U);
    std::size_t at = 0;
    for (std::size_t i = first; i < requests; ++i) {
      at = received.find(fmt::format("[/{}]", i), at);
      cr_expect_neq(at, std::string::npos);
    }
  } while (std::ranges::next_permutation(order).found);
}

// A request that may not be repeated must not run beside another one: if the
// connection is lost, its caller could not tell which of them ran.
Test(pipelining, a_request_that_may_not_be_repeated_runs_alone)
{
  PipelineFixture fixture;
  Socket socket =
    fixture.Send(Get("/a") + Get("/b") + Post("/c") + Get("/d") + Get("/e"));
  fixture.ExpectRequests(2);
  fixture.Answer("/b");
  fixture.ExpectRequests(2);
  fixture.Answer("/a");
  fixture.ExpectRequests(3);
  cr_expect_eq(fixture.waited.at("/a"), 0);
  cr_expect_gt(fixture.waited.at("/c"), 0);
  fixture.Answer("/c");
  fixture.ExpectRequests(5);
  fixture.Answer("/e");
  fixture.Answer("/d");
  const std::string received = socket.ReceiveUntil("[/e]");
  cr_expect_lt(received.find("[/c]"), received.find("[/d]"));
  cr_expect_eq(Count(received, "HTTP/1.1 200"), 5U);
  cr_expect_gt(fixture.server->Pipelining().millisWaited, 0);
}

// However requests are split into packets and in whatever order they end, each
// must run once and none may be lost.
Test(pipelining, every_request_runs_once)
{
  constexpr int kRequests = 2000;
  constexpr unsigned kSeed = 7;
  PipelineFixture fixture;
  std::mt19937 random(kSeed);
  std::string bytes;
  for (int i = 0; i < kRequests; ++i) {
    const std::string path = fmt::format("/{}", i);
    bytes += random() % 10 == 0 ? Post(path) : Get(path);
  }
  Socket socket = fixture.Send("");
  std::thread sender([&] {
    for (std::size_t at = 0; at < bytes.size();) {
      const std::size_t size = 1 + random() % 3000;
      cr_expect(socket.Send(bytes.substr(at, size)));
      at += size;
    }
  });
  std::string received;
  std::thread receiver([&] {
    received = socket.ReceiveUntil(fmt::format("[/{}]", kRequests - 1));
  });
  std::mt19937 orders(kSeed + 1);
  std::vector<std::string> open;
  std::size_t seen = 0;
  for (int answered = 0; answered < kRequests; ++answered) {
    cr_assert(Eventually([&] {
      const std::lock_guard lock(fixture.mutex);
      if (fixture.ids.size() > seen) {
        for (const auto& [path, id] : fixture.ids) {
          if (id > seen) {
            open.push_back(path);
          }
        }
        seen = fixture.ids.size();
      }
      return !open.empty();
    }));
    const auto next = open.begin() + static_cast<long>(orders() % open.size());
    fixture.Answer(*next);
    open.erase(next);
  }
  sender.join();
  receiver.join();
  cr_expect_eq(Count(received, "HTTP/1.1 200"),
               static_cast<std::size_t>(kRequests));
  std::size_t at = 0;
  for (int i = 0; i < kRequests && at != std::string::npos; ++i) {
    at = received.find(fmt::format("[/{}]", i), at);
  }
  cr_expect_neq(at, std::string::npos);
}

// What a caller sends behind its last request counts as not read. It sends it
// again elsewhere, so it must not run here.
Test(pipelining, nothing_runs_behind_a_request_that_closes)
{
  PipelineFixture fixture;
  Socket socket = fixture.Send(
    Get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" +
    Get("/c"));
  fixture.ExpectRequests(2);
  fixture.Answer("/b");
  fixture.Answer("/a");
  const std::string received = socket.ReceiveAll();
  cr_expect_eq(Count(received, "Connection: close"), 1U);
  cr_expect_gt(received.find("Connection: close"), received.find("[/a]"));
  cr_expect(received.ends_with("[/b]"));
  fixture.ExpectRequests(2);
}

// A refusal by the parser must wait for the answers before it.
Test(pipelining, a_refusal_follows_the_answers_before_it)
{
  PipelineFixture fixture;
  Socket socket = fixture.Send(
    Get("/a") + Post("/b") + "GET /c HTTP/1.1\r\nno colon\r\n\r\n" + Get("/d"));
  fixture.ExpectRequests(1);
  fixture.Answer("/a");
  fixture.ExpectRequests(2);
  fixture.Answer("/b");
  const std::string received = socket.ReceiveAll();
  cr_expect_eq(Count(received, "Connection: close"), 1U);
  cr_expect_lt(received.find("[/b]"), received.find("HTTP/1.1 400"));
  fixture.ExpectRequests(2);
}

// A caller drops what it has sent behind an answer that announces the close. So
// at a stop only the answer to the last request that runs may announce it.
Test(pipelining, a_stop_loses_no_request_that_runs)
{
  PipelineFixture fixture;
  Socket socket = fixture.Send(Get("/a") + Get("/b"));
  fixture.ExpectRequests(2);
  fixture.server->AnnounceClose();
  cr_assert(socket.Send(Get("/c") + Post("/d") + Get("/e")));
  fixture.ExpectRequests(3);
  fixture.Answer("/c");
  fixture.Answer("/a");
  cr_expect_eq(Count(socket.ReceiveUntil("[/a]"), "Connection: close"), 0U);
  cr_assert(socket.Send(Get("/f")));
  fixture.Answer("/b");
  const std::string received = socket.ReceiveAll();
  cr_expect_eq(Count(received, "Connection: close"), 1U);
  cr_expect_gt(received.find("Connection: close"), received.find("[/b]"));
  cr_expect(received.ends_with("[/c]"));
  fixture.ExpectRequests(3);
  cr_expect_eq(fixture.server->AnswersLost(), 0U);
  cr_expect(Eventually([&] { return fixture.server->InFlight() == 0; }));
}

// A connection that is idle when the stop is announced still serves a request.
Test(pipelining, requests_after_an_announced_stop_are_answered)
{
  PipelineFixture fixture;
  Socket socket = fixture.Send("");
  fixture.server->AnnounceClose();
  cr_assert(socket.Send(Get("/a") + Get("/b")));
  fixture.ExpectRequests(2);
  fixture.Answer("/b");
  fixture.Answer("/a");
  const std::string received = socket.ReceiveAll();
  cr_expect_eq(Count(received, "HTTP/1.1 200"), 2U);
  cr_expect_eq(Count(received, "Connection: close"), 1U);
  cr_expect(received.ends_with("[/b]"));
}

// An answer without a length can only be the last one. Before others it must
// neither get a length nor cost the answers behind it.
Test(pipelining, an_unframed_answer_is_only_sent_as_the_last_one)
{
  HttpAnswer unframed;
  unframed.body = "unframed";
  unframed.endsWithConnection = true;
  PipelineFixture fixture;
  Socket first = fixture.Send(Get("/a") + Get("/b") + Post("/c"));
  fixture.ExpectRequests(2);
  fixture.Answer("/a", unframed);
  fixture.Answer("/b");
  const std::string received = first.ReceiveAll();
  cr_expect(received.starts_with("HTTP/1.1 502"));
  cr_expect_eq(received.find("unframed"), std::string::npos);
  cr_expect(received.ends_with("[/b]"));
  fixture.ExpectRequests(2);
  Socket second = fixture.Send(Get("/d") + Get("/e"));
  fixture.ExpectRequests(4);
  fixture.Answer("/e", unframed);
  fixture.Answer("/d");
  cr_expect(second.ReceiveAll().ends_with("\r\n\r\nunframed"));
}

// The answers before an aborted request are there and must reach the caller.
Test(pipelining, an_aborted_request_ends_the_connection_in_its_turn)
{
  PipelineFixture fixture;
  Socket socket = fixture.Send(Get("/a") + Get("/b"));
  fixture.ExpectRequests(2);
  fixture.server->Abort(fixture.ids.find("/b")->second);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  fixture.Answer("/a");
  cr_expect(socket.ReceiveAll().ends_with("[/a]"));
}
