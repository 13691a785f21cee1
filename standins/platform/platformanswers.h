#pragma once

#include "httpserver/standinexchange.h"
#include "objecttable.h"

#include <string>

namespace lacewingwharf {

StandinAnswer
TextAnswer(unsigned int aStatus, std::string aText);

StandinAnswer
JsonAnswer(std::string aBody);

/** The body of an answer to a list or a watch of docs/platform-api.md. */
std::string
MakeListBody(const ObjectList& aList);

/** The answer to a write of docs/platform-api.md. */
StandinAnswer
MakeWriteAnswer(const WriteResult& aResult);

} // namespace lacewingwharf
