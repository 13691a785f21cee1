#pragma once

#include "httpserver/standinexchange.h"
#include "objecttable.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lacewingwharf {

/**
 * The form of the users' platform over an ObjectTable: kinds and names, lists
 * in pages, spec and status, finalizers. An object is stored as "KIND/NAME"
 * with the JSON text of everything but its revision.
 */
class ObjectsForm
{
public:
  static constexpr const char* kPath = "/api/objects/";

  ObjectsForm(ObjectTable& aTable, std::size_t aPageItems);

  /** The answer to all calls but a watch. */
  StandinAnswer Answer(const StandinRequest& aRequest);

  /** What follows kPath: "KIND" or "KIND/NAME" or "KIND/NAME/status". */
  static std::string TargetOf(const StandinRequest& aRequest);

  /** The answer to a watch with these changes. */
  static std::string EventsOf(const ObjectList& aChanges);

private:
  StandinAnswer List(const std::string& aKind, const std::string& aAfter) const;
  StandinAnswer Create(const std::string& aKind,
                       const StandinRequest& aRequest);
  StandinAnswer Replace(const std::string& aName,
                        const StandinRequest& aRequest,
                        bool aIsStatus);
  StandinAnswer Remove(const std::string& aName,
                       const StandinRequest& aRequest);
  StandinAnswer One(const std::string& aName, unsigned int aStatus) const;
  StandinAnswer Write(const std::string& aName,
                      const std::string& aText,
                      std::int64_t aExpected,
                      unsigned int aStatus);

  ObjectTable& table;
  std::size_t pageItems;
};

} // namespace lacewingwharf
