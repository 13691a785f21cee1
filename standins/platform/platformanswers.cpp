#include "platformanswers.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr unsigned int kNotFound = 404;
constexpr unsigned int kConflict = 409;

} // namespace

StandinAnswer
TextAnswer(unsigned int aStatus, std::string aText)
{
  StandinAnswer answer;
  answer.status = aStatus;
  answer.body = std::move(aText);
  return answer;
}

StandinAnswer
JsonAnswer(std::string aBody)
{
  StandinAnswer answer;
  answer.body = std::move(aBody);
  answer.headers.emplace_back("Content-Type", "application/json");
  return answer;
}

std::string
MakeListBody(const ObjectList& aList)
{
  Json rows = Json::array();
  for (const StoredObject& object : aList.objects) {
    Json row{ { "name", object.name }, { "revision", object.revision } };
    if (object.isDeleted) {
      row["deleted"] = true;
    } else {
      row["value"] = object.value;
    }
    rows.push_back(std::move(row));
  }
  return Json{
    { "revision", aList.revision }, { "objects", std::move(rows) }
  }.dump();
}

StandinAnswer
MakeWriteAnswer(const WriteResult& aResult)
{
  StandinAnswer answer;
  answer.headers.emplace_back("Object-Revision",
                              std::to_string(aResult.revision));
  if (aResult.error == PlatformErrorCode::Conflict) {
    answer.status = kConflict;
  } else if (aResult.error == PlatformErrorCode::NotFound) {
    answer.status = kNotFound;
  }
  return answer;
}

} // namespace lacewingwharf
