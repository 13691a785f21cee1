#include "ctl/catalogueeditor.h"

#include "catalogue/entry.h"
#include "common/jsonvalue.h"
#include "ctl/inputfile.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kCataloguePrefix = "catalogue/";

std::string
AddChangeSet(const std::string& aText,
             const std::string& aId,
             std::size_t aSize)
{
  Json entry = Json::parse(aText, nullptr, false);
  if (!entry.is_object()) {
    return aText;
  }
  entry["change"] = { { "id", aId }, { "size", aSize } };
  return entry.dump();
}

/** Returns one line for each operation of the JSON patch between the texts. */
std::string
FormatDifferences(const std::string& aProposed, const std::string& aCurrent)
{
  const Json proposed = Json::parse(aProposed, nullptr, false);
  const Json current = Json::parse(aCurrent, nullptr, false);
  std::string lines;
  for (const Json& step : Json::diff(proposed, current)) {
    lines += fmt::format(
      "  {} {}{}\n",
      step.at("op").get<std::string>(),
      step.at("path").get<std::string>(),
      step.contains("value") ? " = " + step.at("value").dump() : std::string());
  }
  return lines;
}

std::string_view
AdviceFor(PlatformErrorCode aCode)
{
  switch (aCode) {
    case PlatformErrorCode::Unreachable:
      return "nothing was written; check --platform and try again";
    case PlatformErrorCode::TimedOut:
      return "a write may have taken effect later; get the entry before trying "
             "again";
    case PlatformErrorCode::Throttled:
      return "nothing was written; try again in a few seconds";
    case PlatformErrorCode::NotFound:
      return "there is no such entry; list shows the existing entries";
    case PlatformErrorCode::TooLarge:
      return "nothing was written; a value may have at most 1 MB";
    default:
      return "nothing was written";
  }
}

} // namespace

std::string
CatalogueObjectName(std::string_view aName)
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
  ExitCode result = ExitCode::Ok;
  for (std::size_t i = 0; i + 1 < arguments.size(); i += 2) {
    const std::string& name = arguments[i];
    const auto text = ReadFileOrStdin(arguments[i + 1]);
    if (!text) {
      this->error(fmt::format("{}: cannot be read; check the path and the "
                              "permissions of the file\n",
                              arguments[i + 1]));
      result = ExitCode::Usage;
      continue;
    }
    const auto entry = ParseEntry(name, *text);
    if (!entry) {
      this->error(fmt::format("{}: {}: {}\n",
                              name,
                              kCatalogueErrorNames.NameOf(entry.error().code),
                              entry.error().detail));
      result = ExitCode::Rejected;
      continue;
    }
    aEdits.push_back({ name, *text });
  }
  if (!this->options.changeId.empty()) {
    const std::size_t size = arguments.size() / 2;
    std::ranges::for_each(aEdits, [this, size](Edit& aEdit) {
      aEdit.text = AddChangeSet(aEdit.text, this->options.changeId, size);
    });
  }
  return result;
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
  for (std::size_t i = 0; i < edits.size(); ++i) {
    if (const ExitCode put = this->PutEntry(edits[i]); put != ExitCode::Ok) {
      this->ReportPartialPut(edits, i);
      return put;
    }
  }
  return ExitCode::Ok;
}

std::int64_t
CatalogueEditor::ExpectedRevisionOf(const std::string& aName) const
{
  if (this->options.isForced) {
    return kAnyRevision;
  }
  const auto named = this->options.expectedByName.find(aName);
  return named != this->options.expectedByName.end()
           ? named->second
           : this->options.expectedRevision.value_or(kCreateOnly);
}

ExitCode
CatalogueEditor::PutEntry(const Edit& aEdit)
{
  const auto put = this->store.put(CatalogueObjectName(aEdit.name),
                                   aEdit.text,
                                   this->ExpectedRevisionOf(aEdit.name));
  if (put) {
    this->PrintWritten(aEdit.name, put.value());
    return ExitCode::Ok;
  }
  switch (put.error().code) {
    case PlatformErrorCode::Conflict:
      return this->ReportPutConflict(aEdit);
    case PlatformErrorCode::TimedOut:
      return this->ResolveTimedOutPut(aEdit, put.error());
    default:
      return this->ReportPlatformError(put.error(), aEdit.name);
  }
}

/**
 * A write that timed out may have taken effect. Reads the entry back to find
 * out.
 */
ExitCode
CatalogueEditor::ResolveTimedOutPut(const Edit& aEdit,
                                    const PlatformError& aError)
{
  const auto current = this->store.get(CatalogueObjectName(aEdit.name));
  if (current && current.value().value == aEdit.text) {
    this->PrintWritten(aEdit.name, current.value().revision);
    return ExitCode::Ok;
  }
  return this->ReportPlatformError(aError, aEdit.name);
}

void
CatalogueEditor::ReportPartialPut(const std::vector<Edit>& aEdits,
                                  std::size_t aWrittenCount)
{
  if (aEdits.size() < 2) {
    return;
  }
  this->error(fmt::format("put stopped: {} of {} entries are written\n",
                          aWrittenCount,
                          aEdits.size()));
  if (!this->options.changeId.empty() && aWrittenCount > 0) {
    this->error(
      fmt::format("change set '{}' is not accepted before all its entries are "
                  "written; put the remaining entries or "
                  "restore the previous ones\n",
                  this->options.changeId));
  }
}

void
CatalogueEditor::PrintWritten(const std::string& aName, std::int64_t aRevision)
{
  this->out(this->options.isJson
              ? Json({ { "name", aName }, { "revision", aRevision } }).dump() +
                  "\n"
              : fmt::format("{}: written at revision {}\n", aName, aRevision));
}

ExitCode
CatalogueEditor::ReportPutConflict(const Edit& aEdit)
{
  const auto current = this->store.get(CatalogueObjectName(aEdit.name));
  if (!current && current.error().code == PlatformErrorCode::NotFound) {
    this->error(fmt::format("{}: not written, the entry has been removed; "
                            "put it without --expect to create it\n",
                            aEdit.name));
    return ExitCode::Conflict;
  }
  if (!current) {
    this->error(
      fmt::format("{}: not written, the entry has another revision, which "
                  "cannot be read ({}); get the entry and try again\n",
                  aEdit.name,
                  kPlatformErrorNames.NameOf(current.error().code)));
    return ExitCode::Conflict;
  }
  const std::int64_t revision = current.value().revision;
  const std::string lines =
    FormatDifferences(aEdit.text, current.value().value);
  this->error(
    lines.empty()
      ? fmt::format("{}: not written, the entry already has this content, at "
                    "revision {}\n",
                    aEdit.name,
                    revision)
      : fmt::format("{}: not written, the entry is now at revision {}. "
                    "Differences from your text to the current one:\n{}To "
                    "replace it, merge these changes and use --expect {}\n",
                    aEdit.name,
                    revision,
                    lines,
                    revision));
  return ExitCode::Conflict;
}

ExitCode
CatalogueEditor::ReportDeleteConflict(const std::string& aName)
{
  const auto current = this->store.get(CatalogueObjectName(aName));
  this->error(
    current
      ? fmt::format("{}: not removed, the entry is now at revision {}: {}\nTo "
                    "remove it anyway, use --expect {}\n",
                    aName,
                    current.value().revision,
                    current.value().value,
                    current.value().revision)
      : fmt::format("{}: not removed by this command, and the current entry "
                    "cannot be read ({})\n",
                    aName,
                    kPlatformErrorNames.NameOf(current.error().code)));
  return ExitCode::Conflict;
}

ExitCode
CatalogueEditor::Get()
{
  const std::string& name = this->options.arguments.front();
  const auto object = this->store.get(CatalogueObjectName(name));
  if (!object) {
    return this->ReportPlatformError(object.error(), name);
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
    return this->ReportPlatformError(objects.error(), "catalogue");
  }
  Json rows = Json::array();
  for (const StoredObject& object : objects.value().objects) {
    const Json entry = Json::parse(object.value, nullptr, false);
    const auto field = [&entry](const char* aName) {
      return entry.is_object() ? FieldOr<std::string>(entry, aName, "-")
                               : std::string("?");
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
  if (!this->options.isForced && !this->options.expectedRevision &&
      !this->options.expectedByName.contains(name)) {
    this->error("delete: expected --expect REVISION (get shows it) or "
                "--force\n");
    return ExitCode::Usage;
  }
  const auto removed = this->store.remove(CatalogueObjectName(name),
                                          this->ExpectedRevisionOf(name));
  const bool isOutcomeUnknown =
    !removed && removed.error().code == PlatformErrorCode::TimedOut;
  if (isOutcomeUnknown) {
    // The delete may have taken effect, so the entry is read back to find out.
    const auto current = this->store.get(CatalogueObjectName(name));
    if (current || current.error().code != PlatformErrorCode::NotFound) {
      return this->ReportPlatformError(removed.error(), name);
    }
  } else if (!removed && removed.error().code == PlatformErrorCode::Conflict) {
    return this->ReportDeleteConflict(name);
  } else if (!removed) {
    return this->ReportPlatformError(removed.error(), name);
  }
  this->out(fmt::format("{}: removed\n", name));
  return ExitCode::Ok;
}

ExitCode
CatalogueEditor::ReportPlatformError(const PlatformError& aError,
                                     const std::string& aName)
{
  this->error(fmt::format("{}: {}{}{}; {}\n",
                          aName,
                          kPlatformErrorNames.NameOf(aError.code),
                          aError.detail.empty() ? "" : ": ",
                          aError.detail,
                          AdviceFor(aError.code)));
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
