#include "membership/failuredetector.h"
#include "membership/membertable.h"

#include "common/log.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace lacewingwharf;

namespace {

constexpr int kMembers = 20;

struct Fixture
{
  Fixture()
    : detector({ "host-00" },
               SeededRandom(1),
               { [this](const auto& aHost, auto aSequence) {
                  this->detector.HandleProbeAck(aHost, aSequence);
                },
                 [](const auto&, const auto&, auto) {},
                 [](const auto&) {},
                 [this](const auto& aHost) { this->dead.push_back(aHost); } })
  {
    for (int index = 0; index < kMembers; ++index) {
      this->Set(index, wire::MemberState::ALIVE);
    }
  }

  void Set(int aIndex, wire::MemberState::type aState)
  {
    wire::MemberRecord record;
    record.host = fmt::format("host-{:02}", aIndex);
    record.domain = "bangor";
    record.incarnation = 1;
    record.state = aState;
    this->table.Merge(record, this->now);
    this->detector.UpdateSuspicion(record, this->now);
  }

  void Run(Millis aMillis)
  {
    for (const Millis end = this->now + aMillis; this->now < end;) {
      this->now += 100;
      this->detector.Tick(this->now, this->table);
    }
  }

  Millis now = 1000;
  MemberTable table{ "bangor" };
  std::vector<std::string> dead;
  FailureDetector detector;
};

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(failuredetector, .init = SilenceLogs);

// A daemon on the smaller side of a partition suspects more than half of the
// members and must not declare them dead. A few suspects must still be declared
// dead.
Test(failuredetector, MoreThanHalfSuspectIsAPartition)
{
  for (const int suspects : { 3, 11 }) {
    Fixture fixture;
    fixture.Run(500);
    for (int index = 1; index <= suspects; ++index) {
      fixture.Set(index, wire::MemberState::SUSPECT);
    }
    fixture.Run(2500);
    cr_assert(fixture.dead.empty());
    fixture.Run(1000);
    cr_assert_eq(fixture.dead.empty(), suspects == 11);
    cr_assert_eq(fixture.detector.IsPartitioned(), suspects == 11);
  }
}

// When a partition ends, the suspicions that began during it are overdue. They
// must restart instead of all members being declared dead at once.
Test(failuredetector, SuspicionsRestartAfterAPartition)
{
  Fixture fixture;
  fixture.Run(500);
  for (int index = 1; index <= 11; ++index) {
    fixture.Set(index, wire::MemberState::SUSPECT);
  }
  fixture.Run(10000);
  for (int index = 1; index <= 3; ++index) {
    fixture.Set(index, wire::MemberState::LEFT);
  }
  for (int index = 4; index <= 6; ++index) {
    fixture.Set(index, wire::MemberState::DEAD);
  }
  fixture.Run(2900);
  cr_assert(fixture.dead.empty());
  fixture.Run(500);
  cr_assert_not(fixture.dead.empty());
}
