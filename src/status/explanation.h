#pragma once

#include "status/domainstatus.h"
#include "store/objectstore.h"

#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/**
 * What an operator wants to know of an entry: what is slow or refused, for
 * whom, since when, whose it is, which limit was exceeded and by how much, and
 * in which failure domain.
 */
class Explanation
{
public:
  /** From the objects under status/ENTRY/; unreadable ones are listed. */
  static Explanation From(std::string aEntry,
                          const std::vector<StoredObject>& aObjects);

  static StatusResult<Explanation> FromJson(std::string_view aText);
  std::string ToJson() const;

  /** At most 24 lines of 80 columns. */
  std::string Text(Millis aNow) const;

  const std::string& Entry() const;
  const std::vector<DomainStatus>& Domains() const;

private:
  std::string Owner() const;

  std::string entry;
  std::vector<DomainStatus> domains;
  std::string acceptance; // Why the last edit was not accepted.
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
