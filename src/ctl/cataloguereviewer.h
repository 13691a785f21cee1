#pragma once

#include "ctl/options.h"
#include "ctl/reviewinput.h"
#include "ctl/reviewreport.h"

#include <functional>
#include <string>

namespace lacewingwharf {

/**
 * Implements the command that checks a whole catalogue before it is submitted.
 */
class CatalogueReviewer
{
public:
  using Print = std::function<void(const std::string&)>;

  CatalogueReviewer(CtlOptions aOptions,
                    DocumentFormat aFormat,
                    Print aOut,
                    Print aError);

  ExitCode Review();

private:
  void PrintReport(const ReviewReport& aReport);

  CtlOptions options;
  DocumentFormat format;
  Print out;
  Print error;
};

} // namespace lacewingwharf
