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

/** A call of a server that could not be read, with the status for it. */
struct ReportRefusal
{
  int status = 400;
  std::string detail;
};

/**
 * How servers announce themselves and the platform asks for readiness, where
 * neither uses the admin port of the product.
 */
struct SiteCalls
{
  std::string readinessPath;
  std::function<Result<ServerReport, ReportRefusal>(const HttpRequest&)>
    readReport;
};

/** Where operators write whole versions, instead of entries one by one. */
struct DocumentSource
{
  std::string object;
  std::string prefix; // To watch.
  std::function<CatalogueResult<CatalogueDocument>(const std::string& aText)>
    read;
};

/**
 * Everything in which the interface of a site differs from the product's own,
 * which is the default.
 */
struct DaemonProtocol
{
  CallDialect dialect;
  SiteBounds bounds;
  std::function<ObjectStore(HttpStoreConfig)> makeStore = MakeHttpObjectStore;
  std::optional<SiteCalls> siteCalls;
  std::optional<DocumentSource> documents;
};

} // namespace lacewingwharf
