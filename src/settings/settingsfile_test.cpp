#include "settings/settingsfile.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <chrono>
#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace lacewingwharf;

namespace {

std::filesystem::path
TestFile(const char* aName)
{
  return std::filesystem::temp_directory_path() /
         fmt::format("lww-{}-{}.ini", aName, getpid());
}

} // namespace

// The daemon reloads a changed file without a signal. Each change must be
// reported exactly once, even if the size stays the same.
Test(settingsfile, ReportsAWrittenFileOnce)
{
  const auto path = TestFile("written");
  std::ofstream(path) << "[log]\n";
  SettingsFile file(path.string());
  cr_expect_not(file.DetectChange());
  std::ofstream(path) << "[log]\nlevel = error\n";
  cr_expect(file.DetectChange());
  cr_expect_not(file.DetectChange());
  // Only the time changes, not the size.
  std::filesystem::last_write_time(
    path, std::filesystem::last_write_time(path) + std::chrono::seconds(1));
  cr_expect(file.DetectChange());
  std::filesystem::remove(path);
}

// A file may be missing for a short time while it is replaced. Its creation and
// its removal are changes, not errors.
Test(settingsfile, ReportsACreatedAndARemovedFile)
{
  const auto path = TestFile("replaced");
  SettingsFile file(path.string());
  cr_expect_not(file.DetectChange());
  std::ofstream(path) << "[log]\n";
  cr_expect(file.DetectChange());
  std::filesystem::remove(path);
  cr_expect(file.DetectChange());
}
