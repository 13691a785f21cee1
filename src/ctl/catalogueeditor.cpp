#include "ctl/catalogueeditor.h"

#include "catalogue/entry.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kCataloguePrefix = "catalogue/";

std::optional<std::string>
ReadText(const std::string& aFile)
{
  std::ostringstream text;
  if (aFile == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream stream(aFile);
  if (!stream) {
    return std::nullopt;
  }
  text << stream.rdbuf();
  return text.str();
}

std::string
WithChange(const std::string& aText, const std::string& aId, std::size_t aSize)
{
  Json entry = Json::parse(aText, nullptr, false);
  if (!entry.is_object()) {
    return aText;
  }
  entry["change"] = { { "id", aId }, { "size", aSize } };
  return entry.dump();
}

/** One line for each field that differs. */
std::string
Differences(const std::string& aWanted, const std::string& aPresent)
{
  const Json wanted = Json::parse(aWanted, nullptr, false);
  const Json present = Json::parse(aPresent, nullptr, false);
  std::string lines;
  for (const Json& step : Json::diff(wanted, present)) {
    lines += fmt::format(
      "  {} {}{}\n",
      step.at("op").get<std::string>(),
      step.at("path").get<std::string>(),
      step.contains("value") ? " = " + step.at("value").dump() : std::string());
  }
  return lines;
}

} // namespace

std::string
CatalogueObject(std::string_view aName)
{
  return fmt::format("{}{}", kCataloguePrefix, aName);
}

CatalogueEditor::CatalogueEditor(ObjectStore aStore,
                                 CtlOptions aOptions,
                                 Print aOut,
                                 Print aError)
  : store(std::move(aStore))
  , options(std::move(aOptions))
  , out(std::move(aOut))
  , error(std::move(aError))
{
}

ExitCode
CatalogueEditor::ReadEdits(std::vector<Edit>& aEdits)
{
  const std::vector<std::string>& arguments = this->options.arguments;
  ExitCode worst = ExitCode::Ok;
  for (std::size_t i = 0; i + 1 < arguments.size(); i += 2) {
    const std::string& name = arguments[i];
    const auto text = ReadText(arguments[i + 1]);
    if (!text) {
      this->error(fmt::format("{}: cannot be read\n", arguments[i + 1]));
      worst = ExitCode::Usage;
      continue;
    }
    const auto entry = ParseEntry(name, *text);
    if (!entry) {
      this->error(fmt::format("{}: {}: {}\n",
                              name,
                              kCatalogueErrorNames.NameOf(entry.error().code),
                              entry.error().detail));
      worst = ExitCode::Rejected;
      continue;
    }
    aEdits.push_back({ name, *text });
  }
  if (!this->options.changeId.empty()) {
    const std::size_t size = arguments.size() / 2;
    std::ranges::for_each(aEdits, [this, size](Edit& aEdit) {
      aEdit.text = WithChange(aEdit.text, this->options.changeId, size);
    });
  }
  return worst;
}

ExitCode
CatalogueEditor::Check()
{
  std::vector<Edit> edits;
  const ExitCode result = this->ReadEdits(edits);
  std::ranges::for_each(edits, [this](const Edit& aEdit) {
    this->out(fmt::format("{}: valid\n", aEdit.name));
  });
  return result;
}

ExitCode
CatalogueEditor::Put()
{
  std::vector<Edit> edits;
  if (const ExitCode read = this->ReadEdits(edits); read != ExitCode::Ok) {
    return read;
  }
  for (const Edit& edit : edits) {
    if (const ExitCode put = this->PutOne(edit); put != ExitCode::Ok) {
      return put;
    }
  }
  return ExitCode::Ok;
}

ExitCode
CatalogueEditor::PutOne(const Edit& aEdit)
{
  const std::int64_t expected =
    this->options.isForced
      ? kAnyRevision
      : this->options.expectedRevision.value_or(kCreateOnly);
  const std::string object = CatalogueObject(aEdit.name);
  const auto put = this->store.put(object, aEdit.text, expected);
  if (put) {
    this->out(
      this->options.isJson
        ? Json({ { "name", aEdit.name }, { "revision", put.value() } }).dump() +
            "\n"
        : fmt::format("{}: written at revision {}\n", aEdit.name, put.value()));
    return ExitCode::Ok;
  }
  const PlatformErrorCode code = put.error().code;
  if (code == PlatformErrorCode::Conflict) {
    return this->ExplainConflict(aEdit);
  }
  if (code == PlatformErrorCode::TimedOut) {
    // The write may have taken effect; reading it back tells.
    const auto present = this->store.get(object);
    if (present && present.value().value == aEdit.text) {
      this->out(fmt::format(
        "{}: written at revision {}\n", aEdit.name, present.value().revision));
      return ExitCode::Ok;
    }
  }
  return this->Report(put.error(), aEdit.name);
}

ExitCode
CatalogueEditor::ExplainConflict(const Edit& aEdit)
{
  const auto present = this->store.get(CatalogueObject(aEdit.name));
  if (!present) {
    this->error(fmt::format(
      "{}: not written, the entry was removed meanwhile\n", aEdit.name));
    return ExitCode::Conflict;
  }
  this->error(
    fmt::format("{}: not written, the entry is at revision {} now. From your "
                "text to the present one:\n{}",
                aEdit.name,
                present.value().revision,
                Differences(aEdit.text, present.value().value)));
  return ExitCode::Conflict;
}

ExitCode
CatalogueEditor::Get()
{
  const std::string& name = this->options.arguments.front();
  const auto object = this->store.get(CatalogueObject(name));
  if (!object) {
    return this->Report(object.error(), name);
  }
  const Json entry = Json::parse(object.value().value, nullptr, false);
  if (this->options.isJson) {
    const Json printed = { { "name", name },
                           { "revision", object.value().revision },
                           { "entry", entry } };
    this->out(printed.dump() + "\n");
    return ExitCode::Ok;
  }
  this->error(fmt::format("revision {}\n", object.value().revision));
  constexpr int kIndent = 2;
  this->out(
    (entry.is_discarded() ? object.value().value : entry.dump(kIndent)) + "\n");
  return ExitCode::Ok;
}

ExitCode
CatalogueEditor::List()
{
  const auto objects = this->store.list(std::string(kCataloguePrefix));
  if (!objects) {
    return this->Report(objects.error(), "catalogue");
  }
  Json rows = Json::array();
  for (const StoredObject& object : objects.value().objects) {
    const Json entry = Json::parse(object.value, nullptr, false);
    const auto field = [&entry](const char* aName) {
      return entry.is_object() ? entry.value(aName, "-") : std::string("?");
    };
    rows.push_back({ { "name", object.name.substr(kCataloguePrefix.size()) },
                     { "kind", field("kind") },
                     { "owner", field("owner") },
                     { "class", field("class") },
                     { "revision", object.revision } });
  }
  if (this->options.isJson) {
    this->out(rows.dump() + "\n");
    return ExitCode::Ok;
  }
  this->out(fmt::format("{:<24} {:<8} {:<20} {:<12} {:>9}\n",
                        "NAME",
                        "KIND",
                        "OWNER",
                        "CLASS",
                        "REVISION"));
  for (const Json& row : rows) {
    this->out(fmt::format("{:<24} {:<8} {:<20} {:<12} {:>9}\n",
                          row["name"].get<std::string>(),
                          row["kind"].get<std::string>(),
                          row["owner"].get<std::string>(),
                          row["class"].get<std::string>(),
                          row["revision"].get<std::int64_t>()));
  }
  return ExitCode::Ok;
}

ExitCode
CatalogueEditor::Delete()
{
  const std::string& name = this->options.arguments.front();
  if (!this->options.isForced && !this->options.expectedRevision) {
    this->error("delete: expected --expect or --force\n");
    return ExitCode::Usage;
  }
  const std::int64_t expected =
    this->options.isForced ? kAnyRevision : *this->options.expectedRevision;
  const auto removed = this->store.remove(CatalogueObject(name), expected);
  if (!removed) {
    return this->Report(removed.error(), name);
  }
  this->out(fmt::format("{}: removed\n", name));
  return ExitCode::Ok;
}

ExitCode
CatalogueEditor::Report(const PlatformError& aError, const std::string& aName)
{
  this->error(fmt::format("{}: {}{}{}\n",
                          aName,
                          kPlatformErrorNames.NameOf(aError.code),
                          aError.detail.empty() ? "" : ": ",
                          aError.detail));
  switch (aError.code) {
    case PlatformErrorCode::NotFound:
      return ExitCode::NotFound;
    case PlatformErrorCode::Conflict:
      return ExitCode::Conflict;
    default:
      return ExitCode::PlatformFailed;
  }
}

} // namespace lacewingwharf
