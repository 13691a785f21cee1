#include "testkit/slowserver.h"

#include "testkit/site.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

SlowServer::SlowServer(const std::string& aAddress,
                       std::string aId,
                       OnRun aOnRun)
  : id(std::move(aId))
  , onRun(std::move(aOnRun))
  , server({ aAddress, Site::kServerPort },
           [this](const auto& aExchange) { this->Run(aExchange); })
{
  this->isStarted = this->server.Start();
}

bool
SlowServer::HasRun(const std::string& aRequestId)
{
  return this->Runs(aRequestId) > 0;
}

std::size_t
SlowServer::Runs(const std::string& aRequestId)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->runs.find(aRequestId);
  return found != this->runs.end() ? found->second : 0;
}

std::size_t
SlowServer::MostAtOnce()
{
  const std::lock_guard lock(this->mutex);
  return this->mostHeld;
}

void
SlowServer::Run(const std::shared_ptr<StandinExchange>& aExchange)
{
  const StandinRequest& request = aExchange->Request();
  const std::string requestId = request.Header("x-request-id");
  if (this->onRun) {
    this->onRun(request);
  }
  {
    const std::lock_guard lock(this->mutex);
    ++this->runs[requestId];
    this->mostHeld = std::max(this->mostHeld, ++this->held);
  }
  const std::string hold = request.Query("hold");
  this->server.RunAfter(
    hold.empty() ? 0 : std::stoi(hold),
    [this, aExchange, requestId] { this->Finish(aExchange, requestId); });
}

void
SlowServer::Finish(const std::shared_ptr<StandinExchange>& aExchange,
                   const std::string& aRequestId)
{
  {
    const std::lock_guard lock(this->mutex);
    --this->held;
  }
  StandinAnswer answer;
  answer.headers = { { "X-Request-Id", aRequestId },
                     { "X-Server-Signature", "sig-" + this->id } };
  answer.body = "ran at " + this->id;
  aExchange->Answer(answer);
}

} // namespace lacewingwharf
