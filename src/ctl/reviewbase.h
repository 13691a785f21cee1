#pragma once

#include "catalogue/cataloguecheck.h"
#include "common/result.h"
#include "ctl/options.h"
#include "ctl/reviewinput.h"
#include "store/objectstore.h"

#include <string>
#include <vector>

namespace lacewingwharf {

/** The catalogue with which a reviewed one is compared. */
struct ReviewBase
{
  SnapshotPtr snapshot;
  std::string description; // For operators.
};

/** Why there is no base, and the exit code of the command. */
struct ReviewBaseError
{
  ExitCode code = ExitCode::PlatformFailed;
  std::string message;
};

using ReviewBaseResult = Result<ReviewBase, ReviewBaseError>;

/** Validates a catalogue as the acceptor or the daemons of a site do. */
CatalogueCheck
CheckInputCatalogue(const InputCatalogue& aInput);

/** The base in files must have the form of the reviewed catalogue. */
ReviewBaseResult
ReadBaseFromFiles(const std::vector<std::string>& aFiles,
                  const DocumentFormat& aFormat,
                  bool aIsDocument);

/** Reads the newest version that the acceptor has accepted. Blocks. */
ReviewBaseResult
ReadAcceptedBase(const ObjectStore& aStore);

/** Reads the document in the store of a site. Blocks. */
ReviewBaseResult
ReadDocumentBase(const DocumentFormat& aFormat);

} // namespace lacewingwharf
