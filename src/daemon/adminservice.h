#pragma once

#include "proxy/httpserver.h"
#include "settings/settings.h"

#include <functional>
#include <optional>
#include <string>

namespace lacewingwharf {

struct Announcement;

/** What the admin port can ask and tell; called on its server thread. */
struct AdminHooks
{
  std::function<void(const Announcement&)> announce;

  /** JSON texts. */
  std::function<std::string()> state;
  std::function<std::string()> members;
  std::function<std::optional<std::string>(const std::string& aName)> entry;

  /** Text exposition format. */
  std::function<std::string()> metrics;
};

/**
 * The admin port: announcements of backend servers, state for operators and
 * metrics for scrapers.
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
