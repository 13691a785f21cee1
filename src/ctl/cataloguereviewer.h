#pragma once

#include "ctl/options.h"
#include "ctl/reviewbase.h"
#include "ctl/reviewinput.h"
#include "ctl/reviewreport.h"
#include "store/objectstore.h"

#include <functional>
#include <string>

namespace lacewingwharf {

/** The code of the warning about a document that daemons have already. */
inline constexpr const char* kVersionNotNewerCode = "version-not-newer";

/** The code of the warning about a document that no daemon ever takes. */
inline constexpr const char* kVersionNotPositiveCode = "version-not-positive";

/**
 * Implements the command that checks a whole catalogue before it is submitted.
 */
class CatalogueReviewer
{
public:
  using Print = std::function<void(const std::string&)>;

  /** aStore has the accepted versions of catalogues that are no documents. */
  CatalogueReviewer(ObjectStore aStore,
                    CtlOptions aOptions,
                    DocumentFormat aFormat,
                    Print aOut,
                    Print aError);

  ExitCode Review();

private:
  ExitCode Compare(const InputCatalogue& aInput,
                   const Snapshot& aSnapshot,
                   ReviewReport& aReport);
  bool HasBase() const;
  ReviewBaseResult ReadBase(bool aIsDocument) const;
  void PrintError(const std::string& aMessage);
  void PrintReport(const ReviewReport& aReport);

  ObjectStore store;
  CtlOptions options;
  DocumentFormat format;
  Print out;
  Print error;
};

} // namespace lacewingwharf
