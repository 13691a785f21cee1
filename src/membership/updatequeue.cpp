#include "membership/updatequeue.h"

#include "common/log.h"
#include "membership/wiresize.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

// Sends in addition to the logarithm of the member count, to make up for a lost
// datagram in each direction.
constexpr int kExtraSends = 2;

// Two trees deliver a push, so almost no member depends on these sends.
constexpr int kSendsOfPushed = 4;

// Take() stops after this many updates that do not fit, which bounds the work
// for one datagram when most updates exceed the remaining space.
constexpr int kMaxSkipped = 8;

} // namespace

int
UpdateQueue::SendLimit(std::size_t aMemberCount)
{
  return kExtraSends + static_cast<int>(std::bit_width(aMemberCount));
}

UpdateQueue::Rank
UpdateQueue::RankOf(const Update& aUpdate)
{
  return { aUpdate.sent, aUpdate.order, aUpdate.record.host };
}

void
UpdateQueue::Add(const wire::MemberRecord& aRecord)
{
  this->Insert(aRecord, std::numeric_limits<int>::max());
}

void
UpdateQueue::AddPushed(const wire::MemberRecord& aRecord)
{
  this->Insert(aRecord, kSendsOfPushed);
}

void
UpdateQueue::Insert(const wire::MemberRecord& aRecord, int aMaxSends)
{
  const std::size_t bytes = EncodedSize(aRecord);
  if (bytes > kMaxRecordBytes) {
    kLog.Warning(
      "record of {} has {} bytes, too large for datagrams: only syncs carry it",
      aRecord.host,
      bytes);
    return;
  }
  Update& update = this->updates[aRecord.host];
  this->ranks.erase(RankOf(update));
  update.record = aRecord;
  update.bytes = bytes;
  update.sent = 0;
  update.maxSends = aMaxSends;
  // Of updates that were sent equally often, the newest goes first.
  update.order = this->nextOrder--;
  this->ranks.insert(RankOf(update));
}

std::vector<wire::MemberRecord>
UpdateQueue::Take(std::size_t aBytes, std::size_t aMemberCount)
{
  std::vector<wire::MemberRecord> taken;
  std::size_t left = aBytes;
  int skipped = 0;
  for (const Rank& rank : this->ranks) {
    const Update& update = this->updates.at(std::get<std::string>(rank));
    if (update.bytes <= left) {
      left -= update.bytes;
      taken.push_back(update.record);
    } else if (++skipped == kMaxSkipped) {
      break;
    }
  }
  const int limit = SendLimit(aMemberCount);
  for (const wire::MemberRecord& record : taken) {
    const auto position = this->updates.find(record.host);
    this->ranks.erase(RankOf(position->second));
    Update& update = position->second;
    if (++update.sent >= std::min(limit, update.maxSends)) {
      this->updates.erase(position);
    } else {
      this->ranks.insert(RankOf(update));
    }
  }
  return taken;
}

} // namespace lacewingwharf
