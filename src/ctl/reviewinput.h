#pragma once

#include "catalogue/cataloguecheck.h"
#include "common/result.h"
#include "ctl/options.h"
#include "distribution/distributor.h"
#include "store/objectstore.h"

#include <functional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** The form of whole configurations on sites with a platform of their own. */
struct DocumentFormat
{
  /** Whether a text is a document rather than a catalogue entry. */
  std::function<bool(const std::string& aText)> isDocument;
  std::function<CatalogueResult<CatalogueDocument>(const std::string& aText)>
    read;

  /** Warnings about limits of a valid document that its entries can't hold. */
  std::function<std::vector<Finding>(const std::string& aText)> findRaisedRates;

  std::string object; // The store object with the document in force.
  std::function<ObjectStore()> makeStore;
};

/** A whole catalogue that was read from files. */
struct InputCatalogue
{
  VersionStamp stamp;
  std::vector<ChangedEntry> entries;
  bool isDocument = false;

  /**
   * Warnings about the translation of a document, or the error for which it
   * failed; there are no entries then.
   */
  std::vector<Finding> findings;
};

/**
 * Reads a whole catalogue from one document, or from files with one entry each,
 * whose names without ".json" are those of the entries. A directory stands for
 * all its files that end with ".json".
 */
Result<InputCatalogue, UsageError>
ReadInputCatalogue(const std::vector<std::string>& aFiles,
                   const DocumentFormat& aFormat);

} // namespace lacewingwharf
