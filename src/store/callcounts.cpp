#include "store/callcounts.h"

namespace lacewingwharf {

namespace {

template<typename Value>
PlatformResult<Value>
RunWrapped(const CallWrapper& aWrapper,
           CallKind aKind,
           const std::function<PlatformResult<Value>()>& aCall)
{
  std::optional<PlatformResult<Value>> result;
  auto error = aWrapper(aKind, [&]() -> std::optional<PlatformError> {
    result.emplace(aCall());
    if (*result) {
      return std::nullopt;
    }
    return result->error();
  });
  if (error) {
    PlatformResult<Value> failed = failure(std::move(*error));
    failed.era = result ? result->era : std::nullopt;
    return failed;
  }
  return std::move(*result);
}

} // namespace

void
CallCounts::Add(CallKind aKind, bool aIsFailure)
{
  const auto index = static_cast<std::size_t>(aKind);
  ++this->calls.at(index);
  if (aIsFailure) {
    ++this->failures.at(index);
  }
}

std::uint64_t
CallCounts::Calls(CallKind aKind) const
{
  return this->calls.at(static_cast<std::size_t>(aKind));
}

std::uint64_t
CallCounts::Failures(CallKind aKind) const
{
  return this->failures.at(static_cast<std::size_t>(aKind));
}

ObjectStore
WrapStore(ObjectStore aStore, CallWrapper aWrapper)
{
  const auto store = std::make_shared<ObjectStore>(std::move(aStore));
  const auto wrapper = std::make_shared<CallWrapper>(std::move(aWrapper));
  ObjectStore wrapped;
  wrapped.get = [store, wrapper](const std::string& aName) {
    return RunWrapped<StoredObject>(
      *wrapper, CallKind::Get, [&] { return store->get(aName); });
  };
  wrapped.put = [store, wrapper](const std::string& aName,
                                 const std::string& aValue,
                                 std::int64_t aExpected) {
    return RunWrapped<std::int64_t>(*wrapper, CallKind::Put, [&] {
      return store->put(aName, aValue, aExpected);
    });
  };
  wrapped.remove = [store, wrapper](const std::string& aName,
                                    std::int64_t aExpected) {
    return RunWrapped<std::int64_t>(*wrapper, CallKind::Remove, [&] {
      return store->remove(aName, aExpected);
    });
  };
  wrapped.list = [store, wrapper](const std::string& aPrefix) {
    return RunWrapped<ObjectList>(
      *wrapper, CallKind::List, [&] { return store->list(aPrefix); });
  };
  wrapped.watch = [store, wrapper](const std::string& aPrefix,
                                   std::int64_t aSince,
                                   Millis aTimeout) {
    return RunWrapped<ObjectList>(*wrapper, CallKind::Watch, [&] {
      return store->watch(aPrefix, aSince, aTimeout);
    });
  };
  if (!store->putStatus) {
    return wrapped;
  }
  wrapped.putStatus = [store, wrapper](const std::string& aName,
                                       const std::string& aStatus,
                                       std::int64_t aExpected) {
    return RunWrapped<std::int64_t>(*wrapper, CallKind::Put, [&] {
      return store->putStatus(aName, aStatus, aExpected);
    });
  };
  return wrapped;
}

ObjectStore
CountCalls(ObjectStore aStore, std::shared_ptr<CallCounts> aCounts)
{
  return WrapStore(
    std::move(aStore),
    [counts = std::move(aCounts)](CallKind aKind, const auto& aCall) {
      auto error = aCall();
      counts->Add(aKind, error && IsPlatformFailure(error->code));
      return error;
    });
}

bool
IsPlatformFailure(PlatformErrorCode aCode)
{
  return aCode == PlatformErrorCode::Unreachable ||
         aCode == PlatformErrorCode::TimedOut ||
         aCode == PlatformErrorCode::Throttled;
}

} // namespace lacewingwharf
