#include "store/storeera.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>

using namespace lacewingwharf;

namespace {

/** A store whose next response has the given era and, if set, error. */
struct EraStore
{
  std::optional<std::int64_t> era;
  std::optional<PlatformErrorCode> error;

  template<typename Value>
  PlatformResult<Value> Respond(Value aValue) const
  {
    PlatformResult<Value> result = std::move(aValue);
    if (this->error) {
      result = failure(PlatformError{ *this->error, "" });
    }
    result.era = this->era;
    return result;
  }

  ObjectStore Hooks()
  {
    ObjectStore store;
    store.get = [this](const std::string&) {
      return this->Respond(StoredObject{});
    };
    store.put = [this](const std::string&, const std::string&, std::int64_t) {
      return this->Respond<std::int64_t>(7);
    };
    store.putStatus =
      [this](const std::string&, const std::string&, std::int64_t) {
        return this->Respond<std::int64_t>(7);
      };
    store.remove = [this](const std::string&, std::int64_t) {
      return this->Respond<std::int64_t>(7);
    };
    store.list = [this](const std::string&) {
      return this->Respond(ObjectList{});
    };
    store.watch = [this](const std::string&, std::int64_t, Millis) {
      return this->Respond(ObjectList{});
    };
    return store;
  }
};

} // namespace

// A process that starts has nothing to write again, so the first era that it
// sees must not be taken for a restore.
Test(storeera, the_first_era_is_no_rise)
{
  StoreEra era;
  cr_expect_eq(era.Record(std::nullopt), EraReading::Current);
  cr_expect_not(era.Highest().has_value());
  cr_expect_eq(era.Record(4), EraReading::Current);
  cr_expect_eq(era.Record(4), EraReading::Current);
  cr_expect_not(era.TakeRise().has_value());
  cr_expect_eq(era.Rises(), 0U);
}

// A store without the header must never lead to a rise, also if single
// responses lack it.
Test(storeera, responses_without_an_era_change_nothing)
{
  StoreEra era;
  era.Record(4);
  cr_expect_eq(era.Record(std::nullopt), EraReading::Current);
  cr_expect_not(era.TakeRise().has_value());
  cr_expect(era.Highest() == 4);
}

// Each restore must be handled once, and two that follow one another may be
// handled together but must not be missed.
Test(storeera, two_rises_before_they_are_handled_are_one)
{
  StoreEra era;
  era.Record(4);
  cr_expect_eq(era.Record(5), EraReading::Risen);
  cr_expect_eq(era.Record(7), EraReading::Risen);
  const auto rise = era.TakeRise();
  cr_assert(rise.has_value());
  cr_expect_eq(rise->eraBefore, 4);
  cr_expect_eq(rise->era, 7);
  cr_expect_not(era.TakeRise().has_value());
  cr_expect_eq(era.Record(8), EraReading::Risen);
  cr_expect_eq(era.TakeRise()->eraBefore, 7);
  cr_expect_eq(era.Rises(), 3U);
}

// A response of the old era says that the store has what it has lost. No call
// may succeed with it, and it must not lower the era.
Test(storeera, a_stale_response_is_an_error_of_every_call)
{
  EraStore inner;
  const auto era = std::make_shared<StoreEra>();
  const ObjectStore store = GuardEra(inner.Hooks(), era);
  inner.era = 5;
  cr_expect(store.list("members/").has_value());
  era->Record(6); // From another daemon.
  cr_expect_eq(store.get("a").error().code, PlatformErrorCode::Stale);
  cr_expect_eq(store.put("a", "{}", 1).error().code, PlatformErrorCode::Stale);
  cr_assert(store.putStatus);
  cr_expect_eq(store.putStatus("a", "{}", 1).error().code,
               PlatformErrorCode::Stale);
  cr_expect_eq(store.remove("a", 1).error().code, PlatformErrorCode::Stale);
  cr_expect_eq(store.list("a").error().code, PlatformErrorCode::Stale);
  cr_expect_eq(store.watch("a", 1, 1).error().code, PlatformErrorCode::Stale);
  cr_expect(era->Highest() == 6);
  inner.era = 6;
  cr_expect(store.get("a").has_value());
  cr_expect(store.get("a").era == 6);
}

// A daemon whose calls fail after a restore must notice it by their responses,
// too: the first ones may be refusals of an overloaded store.
Test(storeera, error_responses_count)
{
  EraStore inner;
  const auto era = std::make_shared<StoreEra>();
  const ObjectStore store = GuardEra(inner.Hooks(), era);
  inner.era = 5;
  cr_expect(store.get("a").has_value());
  inner.era = 6;
  inner.error = PlatformErrorCode::Conflict;
  cr_expect_eq(store.put("a", "{}", 1).error().code,
               PlatformErrorCode::Conflict);
  cr_expect_eq(era->TakeRise()->era, 6);
}
