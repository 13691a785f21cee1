#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace lacewingwharf {

/**
 * The ids of requests that backend servers refused lately. A faulty server may
 * send a refusal a second time. On the connection of a later try of the same
 * request, its id does not tell the copy from the answer to that try.
 */
class RefusedRequests
{
public:
  void Add(const std::string& aRequestId);
  bool Contains(const std::string& aRequestId) const;

private:
  std::unordered_set<std::string> ids;
  std::deque<std::string> order; // Oldest first.
};

inline bool
RefusedRequests::Contains(const std::string& aRequestId) const
{
  return this->ids.contains(aRequestId);
}

} // namespace lacewingwharf
