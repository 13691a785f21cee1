#include "httpserver/standinexchange.h"

#include <microhttpd.h>

namespace lacewingwharf {

namespace {

std::string
FindValue(const std::map<std::string, std::string>& aValues,
          const std::string& aName)
{
  const auto found = aValues.find(aName);
  return found == aValues.end() ? std::string() : found->second;
}

} // namespace

std::string
StandinRequest::Header(const std::string& aName) const
{
  return FindValue(this->headers, aName);
}

std::string
StandinRequest::Query(const std::string& aName) const
{
  return FindValue(this->query, aName);
}

StandinExchange::StandinExchange(MHD_Connection* aConnection)
  : connection(aConnection)
{
}

bool
StandinExchange::Answer(StandinAnswer aAnswer)
{
  return this->Finish(State::Answered, std::move(aAnswer));
}

bool
StandinExchange::Abort()
{
  return this->Finish(State::Aborted, {});
}

void
StandinExchange::SetOnDisconnect(std::function<void()> aHook)
{
  const std::lock_guard lock(this->mutex);
  this->onDisconnect = std::move(aHook);
}

bool
StandinExchange::Finish(State aState, StandinAnswer aAnswer)
{
  const std::lock_guard lock(this->mutex);
  if (this->state != State::Waiting) {
    return false;
  }
  this->state = aState;
  this->answer = std::move(aAnswer);
  // The hook may own this exchange, so dropping it breaks a reference cycle.
  this->onDisconnect = nullptr;
  MHD_resume_connection(this->connection);
  return true;
}

void
StandinExchange::HandleDisconnect()
{
  std::function<void()> hook;
  {
    const std::lock_guard lock(this->mutex);
    if (this->state != State::Waiting) {
      return;
    }
    hook = std::exchange(this->onDisconnect, nullptr);
  }
  if (hook) {
    hook();
  }
  this->Abort();
}

void
StandinExchange::Suspend()
{
  const std::lock_guard lock(this->mutex);
  const auto* info = MHD_get_connection_info(this->connection,
                                             MHD_CONNECTION_INFO_CONNECTION_FD);
  this->socketFd = info->connect_fd;
  this->state = State::Waiting;
  MHD_suspend_connection(this->connection);
}

} // namespace lacewingwharf
