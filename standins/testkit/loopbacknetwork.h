#pragma once

#include "common/testsocket.h"

#include <string>

namespace lacewingwharf {

/**
 * A loopback network 127.82.X that no other fleet on this host uses. It is
 * reserved by a listening socket for the lifetime of this object, because the
 * daemons of a fleet bind their ports only later, and again at each restart.
 */
class LoopbackNetwork
{
public:
  LoopbackNetwork();

  /** The first three parts of the addresses. */
  const std::string& Prefix() const;

private:
  std::string prefix;
  loopback::Socket reservation;
};

inline const std::string&
LoopbackNetwork::Prefix() const
{
  return this->prefix;
}

} // namespace lacewingwharf
