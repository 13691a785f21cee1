#pragma once

#include "ctl/catalogueeditor.h"
#include "ctl/fleetinspector.h"
#include "ctl/options.h"
#include "store/httpobjectstore.h"
#include "testkit/platformstandin.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace lacewingwharf {

/** Exit code and output of a lacewingwharfctl command in a test. */
struct CtlRun
{
  ExitCode code = ExitCode::Usage;
  std::string out;
  std::string error;

  bool ErrorContains(const std::string& aText) const
  {
    return this->error.find(aText) != std::string::npos;
  }
};

inline Result<CtlOptions, UsageError>
ParseCtl(std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(), "lacewingwharfctl");
  std::vector<char*> pointers;
  pointers.reserve(aArguments.size() + 1);
  for (std::string& argument : aArguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  return ParseCtlOptions(static_cast<int>(aArguments.size()), pointers.data());
}

/** Runs commands of lacewingwharfctl in a test with a platform stand-in. */
class CtlHarness
{
public:
  CtlHarness()
    : store(this->NewStore())
    , directory(std::filesystem::temp_directory_path() /
                fmt::format("lww-ctl-{}", getpid()))
  {
    std::filesystem::create_directories(this->directory);
  }
  ~CtlHarness() { std::filesystem::remove_all(this->directory); }
  CtlHarness(const CtlHarness&) = delete;
  CtlHarness& operator=(const CtlHarness&) = delete;

  PlatformStandin platform;
  ObjectStore store;

  ObjectStore NewStore() const
  {
    return MakeHttpObjectStore(this->platform.StoreConfig());
  }

  std::string WriteFile(const std::string& aName,
                        const std::string& aText) const
  {
    const auto path = this->directory / aName;
    std::ofstream(path) << aText;
    return path.string();
  }

  CtlOptions ParseOptions(std::vector<std::string> aArguments) const
  {
    aArguments.insert(aArguments.begin(),
                      { "--platform", this->platform.Url().substr(7) });
    const auto options = ParseCtl(std::move(aArguments));
    cr_assert(options.has_value(),
              "%s",
              options.has_error() ? options.error().message.c_str() : "");
    return options.value();
  }

  CtlRun RunEditor(const std::vector<std::string>& aArguments) const
  {
    return RunEditor(this->store, this->ParseOptions(aArguments));
  }

  static CtlRun RunEditor(const ObjectStore& aStore, const CtlOptions& aOptions)
  {
    CtlRun run;
    CatalogueEditor editor(
      aStore,
      aOptions,
      [&run](const std::string& aText) { run.out += aText; },
      [&run](const std::string& aText) { run.error += aText; });
    switch (aOptions.command) {
      case CtlCommand::Put:
        run.code = editor.Put();
        break;
      case CtlCommand::Get:
        run.code = editor.Get();
        break;
      case CtlCommand::List:
        run.code = editor.List();
        break;
      case CtlCommand::Delete:
        run.code = editor.Delete();
        break;
      default:
        run.code = editor.Check();
    }
    return run;
  }

  /** Runs a command that reads from daemons; aDaemons answers for them. */
  CtlRun RunInspector(const std::vector<std::string>& aArguments,
                      const DaemonClient::Reader& aDaemons) const
  {
    const CtlOptions options = this->ParseOptions(aArguments);
    CtlRun run;
    FleetInspector inspector(
      this->store,
      options,
      Clock::Steady(),
      [&run](const std::string& aText) { run.out += aText; },
      [&run](const std::string& aText) { run.error += aText; },
      DaemonClient(aDaemons));
    switch (options.command) {
      case CtlCommand::Status:
        run.code = inspector.Status();
        break;
      case CtlCommand::Explain:
        run.code = inspector.Explain();
        break;
      case CtlCommand::Usage:
        run.code = inspector.Usage();
        break;
      default:
        run.code = inspector.Wait();
    }
    return run;
  }

  /** Writes an object directly, as another operator could do. */
  std::int64_t PutObject(const std::string& aObject,
                         const std::string& aValue) const
  {
    const auto put = this->store.put(aObject, aValue, kAnyRevision);
    cr_assert(put.has_value());
    return put.value();
  }

private:
  std::filesystem::path directory;
};

} // namespace lacewingwharf
