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

/** Returns the name of the platform object that stores a catalogue entry. */
std::string
CatalogueObjectName(std::string_view aName);

/**
 * Implements the commands that read and write catalogue entries. Every write
 * has a condition on the entry's revision unless it is forced. If two operators
 * write the same entry at the same time, one write succeeds and the other fails
 * with a message that shows the differences.
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
  ExitCode PutEntry(const Edit& aEdit);
  std::int64_t ExpectedRevisionOf(const std::string& aName) const;
  ExitCode ResolveTimedOutPut(const Edit& aEdit, const PlatformError& aError);
  ExitCode ReportPutConflict(const Edit& aEdit);
  ExitCode ReportDeleteConflict(const std::string& aName);
  void ReportPartialPut(const std::vector<Edit>& aEdits,
                        std::size_t aWrittenCount);
  void PrintWritten(const std::string& aName, std::int64_t aRevision);
  ExitCode ReportPlatformError(const PlatformError& aError,
                               const std::string& aName);

  ObjectStore store;
  CtlOptions options;
  Print out;
  Print error;
};

} // namespace lacewingwharf
