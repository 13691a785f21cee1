#include "settings/settingsreader.h"

#include "settings/settingskeys.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace lacewingwharf {

namespace {

/** Reads one text and collects every fault on the way. */
class Reading
{
public:
  explicit Reading(std::string_view aText)
    : rest(aText)
  {
  }

  Result<Settings, SettingsErrors> Run();

private:
  static char* NextLine(char* aBuffer, int aSize, void* aSelf);
  static int OnKey(void* aSelf,
                   const char* aSection,
                   const char* aName,
                   const char* aValue);
  void Assign(std::string_view aSection,
              std::string_view aName,
              std::string_view aValue);
  void AddError(SettingsErrorCode aCode, int aLine, std::string aDetail);
  void CheckMissing();

  std::string_view rest;
  int line = 0;
  Settings settings;
  SettingsErrors errors;
  std::set<const SettingsKey*> seen;
};

Result<Settings, SettingsErrors>
Reading::Run()
{
  const int badLine = ini_parse_stream(NextLine, this, OnKey, this);
  if (badLine > 0) {
    this->AddError(
      SettingsErrorCode::Syntax, badLine, "expected [section] or key = value");
  }
  this->CheckMissing();
  if (!this->errors.empty()) {
    std::ranges::stable_sort(this->errors, {}, &SettingsError::line);
    return failure(std::move(this->errors));
  }
  return success(std::move(this->settings));
}

// inih does not tell the handler its line, so the lines are counted as they
// are handed out.
char*
Reading::NextLine(char* aBuffer, int aSize, void* aSelf)
{
  auto& self = *static_cast<Reading*>(aSelf);
  if (self.rest.empty()) {
    return nullptr;
  }
  const auto lineEnd = self.rest.find('\n');
  const std::size_t whole =
    lineEnd == std::string_view::npos ? self.rest.size() : lineEnd + 1;
  const std::size_t taken =
    std::min(whole, static_cast<std::size_t>(aSize) - 1);
  std::memcpy(aBuffer, self.rest.data(), taken);
  aBuffer[taken] = '\0';
  self.rest.remove_prefix(taken);
  if (taken == whole) {
    ++self.line;
  }
  return aBuffer;
}

int
Reading::OnKey(void* aSelf,
               const char* aSection,
               const char* aName,
               const char* aValue)
{
  static_cast<Reading*>(aSelf)->Assign(aSection, aName, aValue);
  return 1;
}

void
Reading::Assign(std::string_view aSection,
                std::string_view aName,
                std::string_view aValue)
{
  const std::string label = fmt::format("[{}] {}", aSection, aName);
  const auto key = std::ranges::find_if(
    SettingsKeys(), [aSection, aName](const SettingsKey& aKey) {
      return aKey.section == aSection && aKey.name == aName;
    });
  if (key == SettingsKeys().end()) {
    this->AddError(SettingsErrorCode::UnknownKey, this->line, label);
    return;
  }
  const bool isNew = this->seen.insert(&*key).second;
  if (!isNew && !key->mayRepeat) {
    this->AddError(SettingsErrorCode::Duplicate, this->line, label);
    return;
  }
  if (!key->assign(this->settings, aValue)) {
    this->AddError(
      SettingsErrorCode::BadValue,
      this->line,
      fmt::format("{} = '{}', must be {}", label, aValue, key->accepts));
  }
}

void
Reading::AddError(SettingsErrorCode aCode, int aLine, std::string aDetail)
{
  this->errors.push_back({ aCode, aLine, std::move(aDetail) });
}

void
Reading::CheckMissing()
{
  std::ranges::for_each(SettingsKeys(), [this](const SettingsKey& aKey) {
    if (aKey.isRequired && !this->seen.contains(&aKey)) {
      this->AddError(SettingsErrorCode::MissingKey,
                     0,
                     fmt::format("[{}] {}", aKey.section, aKey.name));
    }
  });
}

} // namespace

Result<Settings, SettingsErrors>
ParseSettings(std::string_view aText)
{
  return Reading(aText).Run();
}

Result<Settings, SettingsErrors>
ReadSettings(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return failure(SettingsErrors{
      { SettingsErrorCode::Unreadable, 0, std::strerror(errno) } });
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str());
}

std::string
DescribeError(const std::string& aFile, const SettingsError& aError)
{
  return fmt::format("{}:{}: {}: {}",
                     aFile,
                     aError.line,
                     kSettingsErrorNames.NameOf(aError.code),
                     aError.detail);
}

} // namespace lacewingwharf
