#pragma once

#include "common/result.h"
#include "daemon/sitebounds.h"
#include "distribution/distributor.h"
#include "execution/calldialect.h"
#include "membership/localserver.h"
#include "store/httpobjectstore.h"

#include <functional>
#include <optional>
#include <string>

namespace lacewingwharf {

/**
 * Why a request with a report of a backend server is invalid, and the HTTP
 * status of the answer to it.
 */
struct ReportRefusal
{
  int status = 400;
  std::string detail;
};

/**
 * The HTTP requests by which backend servers report their state and the
 * platform checks readiness, on sites where neither uses the product's admin
 * port.
 */
struct SiteHttpInterface
{
  std::string readinessPath;
  std::function<Result<ServerReport, ReportRefusal>(const HttpRequest&)>
    parseReport;
};

/**
 * The store object in which operators write the whole catalogue, on sites where
 * they do not write single entries.
 */
struct DocumentSource
{
  std::string object;
  std::string prefix; // Prefix of the objects to watch.
  std::function<CatalogueResult<CatalogueDocument>(const std::string& aText)>
    read;
};

/**
 * All parts of the interface that a site can replace. The default values are
 * the product's own interface.
 */
struct DaemonProtocol
{
  CallDialect dialect;
  SiteBounds bounds;
  std::function<ObjectStore(HttpStoreConfig)> makeStore = MakeHttpObjectStore;
  std::optional<SiteHttpInterface> siteHttpInterface;
  std::optional<DocumentSource> documents;
};

} // namespace lacewingwharf
