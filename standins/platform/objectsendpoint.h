#pragma once

#include "httpserver/standinexchange.h"
#include "objecttable.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lacewingwharf {

/**
 * Serves the object API of the users' platform from an ObjectTable: objects
 * with kind and name, paged lists, spec and status, and finalizers. An object
 * is stored as "KIND/NAME" with the JSON text of everything except its
 * revision.
 */
class ObjectsEndpoint
{
public:
  static constexpr const char* kPath = "/api/objects/";

  ObjectsEndpoint(ObjectTable& aTable, std::size_t aPageItems);

  /** Answers any request except a watch. */
  StandinAnswer Answer(const StandinRequest& aRequest);

  /** The path after kPath: "KIND", "KIND/NAME" or "KIND/NAME/status". */
  static std::string GetTarget(const StandinRequest& aRequest);

  /** The body of the answer to a watch that found aChanges. */
  static std::string MakeEventsBody(const ObjectList& aChanges);

private:
  StandinAnswer List(const std::string& aKind, const std::string& aAfter) const;
  StandinAnswer Create(const std::string& aKind,
                       const StandinRequest& aRequest);
  StandinAnswer Replace(const std::string& aName,
                        const StandinRequest& aRequest,
                        bool aIsStatus);
  StandinAnswer Remove(const std::string& aName,
                       const StandinRequest& aRequest);
  StandinAnswer MakeObjectAnswer(const std::string& aName,
                                 unsigned int aStatus) const;
  StandinAnswer Write(const std::string& aName,
                      const std::string& aText,
                      std::int64_t aExpected,
                      unsigned int aStatus);

  ObjectTable& table;
  std::size_t pageItems;
};

} // namespace lacewingwharf
