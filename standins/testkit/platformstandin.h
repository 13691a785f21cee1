#pragma once

#include "store/httpobjectstore.h"
#include "testkit/process.h"

#include <string>

namespace lacewingwharf {

/** An lww-platform process for one test. */
class PlatformStandin
{
public:
  explicit PlatformStandin(const std::vector<std::string>& aOptions = {});

  std::string Url() const;
  HttpStoreConfig StoreConfig() const;
  ChildProcess& Process();

  /** Restarts the process on the same port with an empty store. */
  void Restart(const std::vector<std::string>& aOptions = {});

  /** Posts to /v1/test/switch; returns false if the request fails. */
  bool Switch(const std::string& aJson) const;

  /** A counter from /v1/test/calls, or -1. */
  int Calls(const std::string& aKind) const;

private:
  std::uint16_t port;
  ChildProcess process;
};

inline ChildProcess&
PlatformStandin::Process()
{
  return this->process;
}

} // namespace lacewingwharf
