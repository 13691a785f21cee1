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

// Guards against a settings file that changes without a signal and is never
// read again, and against one that is read again for nothing.
Test(settingsfile, a_written_file_is_a_change_once)
{
  const auto path = TestFile("written");
  std::ofstream(path) << "[log]\n";
  SettingsFile file(path.string());
  cr_expect_not(file.TakeChange());
  std::ofstream(path) << "[log]\nlevel = error\n";
  cr_expect(file.TakeChange());
  cr_expect_not(file.TakeChange());
  // Of the same size.
  std::filesystem::last_write_time(
    path, std::filesystem::last_write_time(path) + std::chrono::seconds(1));
  cr_expect(file.TakeChange());
  std::filesystem::remove(path);
}

// Guards against an error for a file that is missing while it is replaced.
Test(settingsfile, a_file_that_is_replaced_is_a_change)
{
  const auto path = TestFile("replaced");
  SettingsFile file(path.string());
  cr_expect_not(file.TakeChange());
  std::ofstream(path) << "[log]\n";
  cr_expect(file.TakeChange());
  std::filesystem::remove(path);
  cr_expect(file.TakeChange());
}
