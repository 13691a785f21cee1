#include "common/jsonitems.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

/** Walks over the structural characters of a JSON text, without checking it. */
class JsonScanner
{
public:
  explicit JsonScanner(std::string_view aText)
    : text(aText)
  {
  }

  /**
   * Moves to the next character outside of strings that is a bracket, a brace,
   * a comma or a colon. Returns 0 at the end of the text.
   */
  char Next()
  {
    for (; this->position < this->text.size(); ++this->position) {
      const char character = this->text[this->position];
      if (character == '"') {
        this->SkipString();
      } else if (kStructure.find(character) != std::string_view::npos) {
        this->depth += character == '{' || character == '[' ? 1 : 0;
        this->depth -=
          (character == '}' || character == ']') && this->depth > 0 ? 1 : 0;
        ++this->position;
        return character;
      }
    }
    return 0;
  }

  /** The number of open brackets and braces. */
  std::size_t Depth() const { return this->depth; }

  /** The position behind the character that Next() returned. */
  std::size_t Position() const { return this->position; }

  /** The last string before the position, without its quotes. */
  std::string_view LastString() const { return this->lastString; }

private:
  static constexpr std::string_view kStructure = "{}[],:";

  /** Moves to the closing quote. */
  void SkipString()
  {
    const std::size_t start = ++this->position;
    while (this->position < this->text.size() &&
           this->text[this->position] != '"') {
      this->position += this->text[this->position] == '\\' ? 2 : 1;
    }
    this->position = std::min(this->position, this->text.size());
    this->lastString = this->text.substr(start, this->position - start);
  }

  std::string_view text;
  std::size_t position = 0;
  std::size_t depth = 0;
  std::string_view lastString;
};

bool
IsBlank(std::string_view aText)
{
  return aText.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

/** Moves behind the opening bracket of the array aField of the object. */
bool
FindArray(JsonScanner& aScanner,
          std::string_view aText,
          std::string_view aField)
{
  while (const char character = aScanner.Next()) {
    const bool isField = character == ':' && aScanner.Depth() == 1 &&
                         aScanner.LastString() == aField;
    if (!isField) {
      continue;
    }
    const std::size_t start = aScanner.Position();
    return aScanner.Next() == '[' &&
           IsBlank(aText.substr(start, aScanner.Position() - start - 1));
  }
  return false;
}

} // namespace

std::optional<JsonItems>
SplitItems(std::string_view aText, std::string_view aField)
{
  constexpr std::size_t kArrayDepth = 2;
  JsonScanner scanner(aText);
  if (!FindArray(scanner, aText, aField)) {
    return std::nullopt;
  }
  const std::size_t arrayStart = scanner.Position();
  JsonItems result;
  std::size_t itemStart = arrayStart;
  while (const char character = scanner.Next()) {
    const bool isEnd = character == ']' && scanner.Depth() < kArrayDepth;
    const bool isSeparator = character == ',' && scanner.Depth() == kArrayDepth;
    if (!isEnd && !isSeparator) {
      continue;
    }
    const std::size_t itemEnd = scanner.Position() - 1;
    const auto item = aText.substr(itemStart, itemEnd - itemStart);
    if (!isEnd || !IsBlank(item)) {
      result.items.push_back(item);
    }
    itemStart = scanner.Position();
    if (isEnd) {
      result.rest = aText.substr(0, arrayStart);
      result.rest += aText.substr(itemEnd);
      return result;
    }
  }
  return std::nullopt;
}

nlohmann::json
ParseItem(std::string_view aText)
{
  JsonScanner scanner(aText);
  while (scanner.Next() != 0) {
    if (scanner.Depth() > kMaxItemDepth) {
      return nlohmann::json::value_t::discarded;
    }
  }
  return nlohmann::json::parse(aText, nullptr, false);
}

} // namespace lacewingwharf
