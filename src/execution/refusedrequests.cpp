#include "execution/refusedrequests.h"

namespace lacewingwharf {

namespace {

// At several hundred refusals a second, longer than a request is tried again.
constexpr std::size_t kMaxIds = 4096;

} // namespace

void
RefusedRequests::Add(const std::string& aRequestId)
{
  if (aRequestId.empty() || !this->ids.insert(aRequestId).second) {
    return;
  }
  this->order.push_back(aRequestId);
  if (this->order.size() > kMaxIds) {
    this->ids.erase(this->order.front());
    this->order.pop_front();
  }
}

} // namespace lacewingwharf
