#include "proxy/httpserver.h"

#include "proxy/httpserverimpl.h"

#include <utility>

namespace lacewingwharf {

HttpServer::HttpServer(HttpServerConfig aConfig, Handlers aHandlers)
  : impl(std::make_unique<Impl>(std::move(aConfig), std::move(aHandlers)))
{
}

HttpServer::~HttpServer() = default;

bool
HttpServer::Start()
{
  return this->impl->Start();
}

void
HttpServer::AnnounceClose()
{
  this->impl->AnnounceClose();
}

void
HttpServer::SetLimits(const ConnectionLimits& aLimits)
{
  this->impl->SetLimits(aLimits);
}

void
HttpServer::StopAccepting()
{
  this->impl->StopAccepting();
}

void
HttpServer::Stop()
{
  this->impl->Stop();
}

void
HttpServer::Answer(RequestId aRequest, HttpAnswer aAnswer)
{
  this->impl->Answer(aRequest, std::move(aAnswer));
}

void
HttpServer::Abort(RequestId aRequest)
{
  this->impl->Abort(aRequest);
}

std::size_t
HttpServer::InFlight() const
{
  return this->impl->InFlight();
}

std::uint64_t
HttpServer::AnswersLost() const
{
  return this->impl->AnswersLost();
}

PipelineCounts
HttpServer::Pipelining() const
{
  return this->impl->Pipelining();
}

CallerMemoryCounts
HttpServer::Memory() const
{
  return this->impl->Memory();
}

} // namespace lacewingwharf
