#include "ctl/reviewinput.h"

#include "ctl/inputfile.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <optional>
#include <set>
#include <system_error>
#include <utility>

namespace lacewingwharf {

namespace {

namespace filesystem = std::filesystem;

constexpr std::string_view kSuffix = ".json";
constexpr std::string_view kStandardInput = "-";

// Entries have no revision before they are written. It must not be 0, which
// marks an entry that the store has lost.
constexpr std::int64_t kUnwrittenRevision = 1;

UsageError
UnreadableError(const std::string& aFile)
{
  return { fmt::format(
    "{}: cannot be read; check the path, the permissions and "
    "that it is a regular file",
    aFile) };
}

/** Replaces directories by their files, in the order of their names. */
Result<std::vector<std::string>, UsageError>
ExpandDirectories(const std::vector<std::string>& aFiles)
{
  std::vector<std::string> files;
  for (const std::string& file : aFiles) {
    std::error_code error;
    if (!filesystem::is_directory(file, error)) {
      files.push_back(file);
      continue;
    }
    std::vector<std::string> found;
    filesystem::directory_iterator entry(file, error);
    while (!error && entry != filesystem::directory_iterator()) {
      if (entry->path().extension() == kSuffix) {
        found.push_back(entry->path().string());
      }
      entry.increment(error);
    }
    if (error) {
      return failure(UnreadableError(file));
    }
    if (found.empty()) {
      return failure(UsageError{
        fmt::format("{}: has no files that end with {}", file, kSuffix) });
    }
    std::ranges::sort(found);
    files.insert(files.end(), found.begin(), found.end());
  }
  return success(std::move(files));
}

std::string
EntryNameOf(const std::string& aFile)
{
  std::string name = filesystem::path(aFile).filename().string();
  if (name.ends_with(kSuffix)) {
    name.resize(name.size() - kSuffix.size());
  }
  return name;
}

InputCatalogue
ReadDocument(const std::string& aText, const DocumentFormat& aFormat)
{
  InputCatalogue input;
  input.isDocument = true;
  auto document = aFormat.read(aText);
  if (!document) {
    input.findings.push_back(ErrorFinding(document.assume_error()));
    return input;
  }
  input.findings = aFormat.findRaisedRates(aText);
  input.stamp.version = document.assume_value().version;
  input.entries = std::move(document).assume_value().entries;
  return input;
}

} // namespace

Result<InputCatalogue, UsageError>
ReadInputCatalogue(const std::vector<std::string>& aFiles,
                   const DocumentFormat& aFormat)
{
  auto files = ExpandDirectories(aFiles);
  if (!files) {
    return failure(std::move(files).assume_error());
  }
  InputCatalogue input;
  std::set<std::string> names;
  for (const std::string& file : files.assume_value()) {
    const auto text = ReadRegularFileOrStdin(file);
    if (!text) {
      return failure(UnreadableError(file));
    }
    if (aFormat.isDocument(*text)) {
      if (files.assume_value().size() > 1) {
        return failure(UsageError{ fmt::format(
          "{}: a document is a whole configuration; give no other file with it",
          file) });
      }
      return success(ReadDocument(*text, aFormat));
    }
    if (file == kStandardInput) {
      return failure(
        UsageError{ "standard input: only a document can be read from it, "
                    "because an entry has the name of its file" });
    }
    std::string name = EntryNameOf(file);
    if (!names.insert(name).second) {
      return failure(
        UsageError{ fmt::format("the entry '{}' is given twice", name) });
    }
    input.entries.push_back({ std::move(name), kUnwrittenRevision, *text });
  }
  return success(std::move(input));
}

} // namespace lacewingwharf
