#pragma once

#include "common/clock.h"
#include "common/log.h"
#include "common/names.h"

#include <string>
#include <vector>

namespace lacewingwharf {

/** An IP address and a port, as written in the settings. */
struct SocketAddress
{
  std::string address;
  int port = 0;
};

enum class ProtocolKind
{
  Own,     // As described in docs/OPERATIONS.md and docs/platform-api.md.
  Platform // As the platform of the site requires; see docs/platform.md.
};

inline constexpr auto kProtocolKindNames = MakeNameTable<ProtocolKind>(
  { { ProtocolKind::Own, "own" }, { ProtocolKind::Platform, "platform" } });

/** Settings for a site whose platform defines the protocol. */
struct SiteSettings
{
  ProtocolKind protocol = ProtocolKind::Own;
  SocketAddress calls;         // For calls of callers and of the server.
  SocketAddress readiness;     // For the platform's readiness checks.
  SocketAddress announcements; // For reports of the server on this host.
  SocketAddress server;
  std::string service; // The service of the server on this host.
  Millis announceInterval = 1500;

  /** Bounds as NAME=VALUE, with the names that the platform uses. */
  std::vector<std::string> bounds;

  /** Optional parts of the site's rules that are in use, such as "rollout". */
  std::vector<std::string> contracts;
};

/** A peer that is reached through a port forwarder. */
struct PeerForward
{
  SocketAddress peer;
  SocketAddress forwarder;
};

/** All settings of the daemon with their defaults. */
struct Settings
{
  // [daemon]
  std::string host;
  std::string address;
  std::string region;
  std::string domain;
  LogLevel logLevel = LogLevel::Info;
  Millis stopLimit = 30000;
  double linkRate = 0; // Mbit/s; 0 means not known.

  // [peer]
  int peerPort = 7100;
  std::vector<PeerForward> forwards;

  // [http]
  int callPort = 8080;
  int adminPort = 8081;
  int maxBodyBytes = 4194304;
  int maxConnections = 2000;
  int pipelineRequests = 32;
  int pipelineBytes = 1048576;
  int pipelineTotalBytes = 16777216;
  int callerBytes = 67108864;
  int callerConnectionBytes = 33554432;
  int callerAddressBytes = 0;       // 0 means as callerBytes.
  int callerAddressConnections = 0; // 0 means as maxConnections.

  // [calls]
  double hedgeShare = 0; // Of a service's calls; 0 means no second attempts.

  // [platform]
  SocketAddress platform;
  std::string platformRegion;
  Millis platformTimeout = 2000;
  int platformCallsPerSecond = 20;

  // [membership]
  std::vector<SocketAddress> peers;
  Millis gossipInterval = 1000;
  Millis suspicionTime = 3000;
  Millis endpointTimeout = 3000;

  // [distribution]
  int relays = 2;
  int fanout = 8;
  Millis startWait = 2000;

  // [claims]
  Millis claimRetention = 86400000;
  Millis claimWait = 1000;
  int claimCallsPerSecond = 300;

  // [status]
  Millis reportInterval = 5000;

  // [site]
  SiteSettings site;
};

} // namespace lacewingwharf
