#pragma once

#include "ctl/cataloguereviewer.h"
#include "ctl/ctlharness.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

namespace lacewingwharf {

/** Runs reviews of files in a test, with the stores that a test provides. */
class ReviewHarness
{
public:
  ReviewHarness()
    : directory(std::filesystem::temp_directory_path() /
                fmt::format("lww-review-{}", getpid()))
  {
    unsetenv("LACEWINGWHARF_PLATFORM");
    std::filesystem::create_directories(this->directory);
    this->format.isDocument = [](const std::string&) { return false; };
  }
  ~ReviewHarness() { std::filesystem::remove_all(this->directory); }
  ReviewHarness(const ReviewHarness&) = delete;
  ReviewHarness& operator=(const ReviewHarness&) = delete;

  ObjectStore store;
  DocumentFormat format;

  /** aName may begin with a directory, which is created. */
  std::string WriteFile(const std::string& aName,
                        const std::string& aText) const
  {
    const auto path = this->directory / aName;
    std::filesystem::create_directories(path.parent_path());
    std::ofstream(path) << aText;
    return path.string();
  }

  CtlRun Run(std::vector<std::string> aArguments) const
  {
    aArguments.insert(aArguments.begin(), "review");
    const auto options = ParseCtl(std::move(aArguments));
    CtlRun run;
    if (!options) {
      run.error = options.error().message;
      return run;
    }
    CatalogueReviewer reviewer(
      this->store,
      options.value(),
      this->format,
      [&run](const std::string& aText) { run.out += aText; },
      [&run](const std::string& aText) { run.error += aText; });
    run.code = reviewer.Review();
    return run;
  }

private:
  std::filesystem::path directory;
};

} // namespace lacewingwharf
