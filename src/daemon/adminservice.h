#pragma once

#include "proxy/httpserver.h"
#include "settings/settings.h"

#include <functional>
#include <optional>
#include <string>

namespace lacewingwharf {

struct Announcement;

/** Functions that the admin port calls, on the thread of its HTTP server. */
struct AdminHooks
{
  std::function<void(const Announcement&)> announce;

  /** These return JSON texts. */
  std::function<std::string()> state;
  std::function<std::string()> members;
  std::function<std::optional<std::string>(const std::string& aName)> entry;

  /** Returns the policy and the calls of a team. */
  std::function<std::optional<std::string>(const std::string& aName)> team;

  /** Returns all metrics in the text exposition format. */
  std::function<std::string()> metrics;
};

/**
 * The admin port: takes announcements of backend servers and serves the state
 * to operators and the metrics to scrapers.
 */
class AdminService
{
public:
  AdminService(const Settings& aSettings, AdminHooks aHooks);

  bool Start();
  void Stop();

private:
  HttpAnswer Handle(const HttpRequest& aRequest);
  HttpAnswer HandleAnnouncement(const std::string& aService,
                                const std::string& aBody);
  HttpAnswer HandleRead(const std::string& aPath);

  Settings settings;
  AdminHooks hooks;
  HttpServer server;
};

} // namespace lacewingwharf
