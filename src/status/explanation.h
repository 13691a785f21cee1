#pragma once

#include "status/domainstatus.h"
#include "store/objectstore.h"

#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/**
 * Summarizes the state of an entry for operators: its owner and, per failure
 * domain, how many calls are refused or slow, for which callers, since when,
 * and which limit was exceeded by how much.
 */
class Explanation
{
public:
  /**
   * Reads the objects below status/ENTRY/. The names of objects that cannot be
   * read are listed in the explanation.
   */
  static Explanation FromObjects(std::string aEntry,
                                 const std::vector<StoredObject>& aObjects);

  static StatusResult<Explanation> FromJson(std::string_view aText);
  std::string ToJson() const;

  /** Returns at most 24 lines of at most 80 columns. */
  std::string Text(Millis aNow) const;

  const std::string& Entry() const;
  const std::vector<DomainStatus>& Domains() const;

private:
  std::string Owner() const;

  std::string entry;
  std::vector<DomainStatus> domains;
  std::string acceptance; // Reason why the last edit was not accepted.
  std::vector<std::string> unreadable;
};

inline const std::string&
Explanation::Entry() const
{
  return this->entry;
}

inline const std::vector<DomainStatus>&
Explanation::Domains() const
{
  return this->domains;
}

} // namespace lacewingwharf
