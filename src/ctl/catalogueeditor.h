#pragma once

#include "ctl/options.h"
#include "store/objectstore.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewingwharf {

/** Name of the platform object that holds a catalogue entry. */
std::string
CatalogueObject(std::string_view aName);

/**
 * The commands that read and write catalogue entries. All writes are
 * conditional unless forced, so that of two operators who race on one entry
 * one wins and the other is told what changed.
 */
class CatalogueEditor
{
public:
  using Print = std::function<void(const std::string&)>;

  CatalogueEditor(ObjectStore aStore,
                  CtlOptions aOptions,
                  Print aOut,
                  Print aError);

  ExitCode Put();
  ExitCode Get();
  ExitCode List();
  ExitCode Delete();
  ExitCode Check();

private:
  struct Edit
  {
    std::string name;
    std::string text;
  };

  ExitCode ReadEdits(std::vector<Edit>& aEdits);
  ExitCode PutOne(const Edit& aEdit);
  std::int64_t ExpectedOf(const std::string& aName) const;
  ExitCode SettleLostPut(const Edit& aEdit, const PlatformError& aError);
  ExitCode ExplainConflict(const Edit& aEdit);
  ExitCode ExplainDeleteConflict(const std::string& aName);
  void ReportPartialPut(const std::vector<Edit>& aEdits, std::size_t aWritten);
  void PrintWritten(const std::string& aName, std::int64_t aRevision);
  ExitCode Report(const PlatformError& aError, const std::string& aName);

  ObjectStore store;
  CtlOptions options;
  Print out;
  Print error;
};

} // namespace lacewingwharf
