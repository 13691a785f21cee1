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

/** Parses the text of a settings file and collects all errors. */
class SettingsParser
{
public:
  explicit SettingsParser(std::string_view aText)
    : remaining(aText)
  {
  }

  Result<Settings, SettingsErrors> Parse();

private:
  static char* NextLine(char* aBuffer, int aSize, void* aSelf);
  static int HandleKey(void* aSelf,
                       const char* aSection,
                       const char* aName,
                       const char* aValue);
  void Assign(std::string_view aSection,
              std::string_view aName,
              std::string_view aValue);
  void AddError(SettingsErrorCode aCode, int aLine, std::string aDetail);
  void CheckRequiredKeys();

  std::string_view remaining;
  int line = 0;
  Settings settings;
  SettingsErrors errors;
  std::set<const SettingsKey*> foundKeys;
};

Result<Settings, SettingsErrors>
SettingsParser::Parse()
{
  const int badLine = ini_parse_stream(NextLine, this, HandleKey, this);
  if (badLine > 0) {
    this->AddError(
      SettingsErrorCode::Syntax, badLine, "expected [section] or key = value");
  }
  this->CheckRequiredKeys();
  if (!this->errors.empty()) {
    std::ranges::stable_sort(this->errors, {}, &SettingsError::line);
    return failure(std::move(this->errors));
  }
  return success(std::move(this->settings));
}

// inih does not pass line numbers to the handler, so this function counts the
// lines that it returns. A line longer than the buffer is returned in parts.
char*
SettingsParser::NextLine(char* aBuffer, int aSize, void* aSelf)
{
  auto& self = *static_cast<SettingsParser*>(aSelf);
  if (self.remaining.empty()) {
    return nullptr;
  }
  const auto lineEnd = self.remaining.find('\n');
  const std::size_t lineSize =
    lineEnd == std::string_view::npos ? self.remaining.size() : lineEnd + 1;
  const std::size_t copiedSize =
    std::min(lineSize, static_cast<std::size_t>(aSize) - 1);
  std::memcpy(aBuffer, self.remaining.data(), copiedSize);
  aBuffer[copiedSize] = '\0';
  self.remaining.remove_prefix(copiedSize);
  if (copiedSize == lineSize) {
    ++self.line;
  }
  return aBuffer;
}

int
SettingsParser::HandleKey(void* aSelf,
                          const char* aSection,
                          const char* aName,
                          const char* aValue)
{
  static_cast<SettingsParser*>(aSelf)->Assign(aSection, aName, aValue);
  return 1;
}

void
SettingsParser::Assign(std::string_view aSection,
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
  const bool isFirstUse = this->foundKeys.insert(&*key).second;
  if (!isFirstUse && !key->isRepeatable) {
    this->AddError(SettingsErrorCode::Duplicate, this->line, label);
    return;
  }
  if (!key->assign(this->settings, aValue)) {
    this->AddError(
      SettingsErrorCode::BadValue,
      this->line,
      fmt::format(
        "{} = '{}', must be {}", label, aValue, key->valueDescription));
  }
}

void
SettingsParser::AddError(SettingsErrorCode aCode,
                         int aLine,
                         std::string aDetail)
{
  this->errors.push_back({ aCode, aLine, std::move(aDetail) });
}

void
SettingsParser::CheckRequiredKeys()
{
  std::ranges::for_each(SettingsKeys(), [this](const SettingsKey& aKey) {
    if (aKey.isRequired && !this->foundKeys.contains(&aKey)) {
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
  return SettingsParser(aText).Parse();
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
