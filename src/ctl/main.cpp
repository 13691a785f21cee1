#include "common/clock.h"
#include "configdocument.h"
#include "ctl/catalogueeditor.h"
#include "ctl/cataloguereviewer.h"
#include "ctl/fleetinspector.h"
#include "ctl/options.h"
#include "documentreview.h"
#include "objectapi.h"
#include "store/httpobjectstore.h"

#include <fmt/format.h>

#include <cstdio>
#include <utility>

using namespace lacewingwharf;

namespace {

void
PrintOut(const std::string& aText)
{
  fmt::print("{}", aText);
}

void
PrintError(const std::string& aText)
{
  fmt::print(stderr, "{}", aText);
}

DocumentFormat
MakeDocumentFormat(HttpStoreConfig aConfig)
{
  DocumentFormat format;
  format.isDocument = platform::IsConfigDocument;
  format.read = platform::ReadConfigDocument;
  format.findRaisedRates = platform::FindRaisedRates;
  format.object = platform::kConfigObjectName;
  format.makeStore = [config = std::move(aConfig)] {
    return platform::MakeObjectStore(config);
  };
  return format;
}

ExitCode
RunCommand(const CtlOptions& aOptions)
{
  HttpStoreConfig config;
  config.baseUrl = fmt::format("http://{}", aOptions.platform);
  const ObjectStore store = MakeHttpObjectStore(config);
  CatalogueReviewer reviewer(store,
                             aOptions,
                             MakeDocumentFormat(std::move(config)),
                             PrintOut,
                             PrintError);
  CatalogueEditor editor(store, aOptions, PrintOut, PrintError);
  FleetInspector inspector(
    store, aOptions, Clock::Steady(), PrintOut, PrintError);
  switch (aOptions.command) {
    case CtlCommand::Put:
      return editor.Put();
    case CtlCommand::Get:
      return editor.Get();
    case CtlCommand::List:
      return editor.List();
    case CtlCommand::Delete:
      return editor.Delete();
    case CtlCommand::Check:
      return editor.Check();
    case CtlCommand::Review:
      return reviewer.Review();
    case CtlCommand::Status:
      return inspector.Status();
    case CtlCommand::Explain:
      return inspector.Explain();
    case CtlCommand::Usage:
      return inspector.Usage();
    case CtlCommand::Wait:
      return inspector.Wait();
  }
  return ExitCode::Usage;
}

} // namespace

int
main(int argc, char** argv)
{
  const auto options = ParseCtlOptions(argc, argv);
  if (!options) {
    PrintError(fmt::format("lacewingwharfctl: {}\nTry --help.\n",
                           options.error().message));
    return static_cast<int>(ExitCode::Usage);
  }
  if (options.value().shouldPrintHelp) {
    PrintOut(CtlHelp());
    return static_cast<int>(ExitCode::Ok);
  }
  return static_cast<int>(RunCommand(options.value()));
}
