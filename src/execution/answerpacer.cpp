#include "execution/answerpacer.h"

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

namespace {

// Answers are taken at ticks of 10 ms. Without this lead, the link would be
// idle between the end of an answer and the next tick.
constexpr double kLeadMillis = 10;

// Least weight of the latest answer in the mean size. Sizes vary widely, and an
// error of the mean is an error of the whole backlog.
constexpr double kMeanGain = 0.02;

// Part of the time until the limit that the backlog may fill. Answers may be
// larger than the mean, and the work of the server and the way to the caller
// take time, too. A longer backlog would not let the link carry more.
constexpr double kUsableTime = 0.8;

// Entries come and go with versions of the catalogue.
constexpr std::size_t kMaxEntryMeans = 1000;

} // namespace

AnswerPacer::AnswerPacer(double aBytesPerMilli)
  : rate(aBytesPerMilli)
{
}

std::optional<Millis>
AnswerPacer::LatenessOf(const std::string& aEntry,
                        std::optional<Millis> aTargetAt,
                        Millis aDeadlineAt,
                        double aNow) const
{
  const double own = this->MeanBytes(aEntry) / this->rate;
  const double backlog =
    std::max(0.0, this->freeAt - aNow) +
    (this->reservedBytes + static_cast<double>(this->waitingBytes)) /
      this->rate;
  if (backlog <= 0) {
    return std::nullopt; // No other server would send it sooner.
  }
  const auto usableTime = [aNow](Millis aLimit) {
    return kUsableTime * (static_cast<double>(aLimit) - aNow);
  };
  const bool canMeetTarget = aTargetAt && own <= usableTime(*aTargetAt);
  const double lateness =
    backlog + own - usableTime(canMeetTarget ? *aTargetAt : aDeadlineAt);
  if (lateness <= 0) {
    return std::nullopt;
  }
  return static_cast<Millis>(std::ceil(lateness));
}

void
AnswerPacer::Reserve(const std::string& aCallId, const std::string& aEntry)
{
  const double bytes = this->MeanBytes(aEntry);
  if (this->reservations.emplace(aCallId, bytes).second) {
    this->reservedBytes += bytes;
  }
}

void
AnswerPacer::Queue(const std::string& aCallId,
                   const std::string& aEntry,
                   std::size_t aBytes)
{
  this->Release(aCallId);
  if (this->meanBytesByEntry.size() >= kMaxEntryMeans &&
      !this->meanBytesByEntry.contains(aEntry)) {
    this->meanBytesByEntry.clear();
  }
  MeanSize& mean = this->meanBytesByEntry[aEntry];
  ++mean.answers;
  mean.bytes += std::max(kMeanGain, 1.0 / mean.answers) *
                (static_cast<double>(aBytes) - mean.bytes);
  this->waiting.push_back({ aCallId, aBytes });
  this->waitingBytes += aBytes;
}

void
AnswerPacer::Remove(const std::string& aCallId)
{
  this->Release(aCallId);
  const auto answer =
    std::ranges::find(this->waiting, aCallId, &WaitingAnswer::callId);
  if (answer != this->waiting.end()) {
    this->waitingBytes -= answer->bytes;
    this->waiting.erase(answer);
  }
}

std::optional<std::string>
AnswerPacer::TakeNext(double aNow)
{
  if (this->waiting.empty() || this->freeAt > aNow + kLeadMillis) {
    return std::nullopt;
  }
  WaitingAnswer next = std::move(this->waiting.front());
  this->waiting.pop_front();
  this->waitingBytes -= next.bytes;
  this->freeAt =
    std::max(this->freeAt, aNow) + static_cast<double>(next.bytes) / this->rate;
  return std::move(next.callId);
}

double
AnswerPacer::MeanBytes(const std::string& aEntry) const
{
  const auto mean = this->meanBytesByEntry.find(aEntry);
  return mean == this->meanBytesByEntry.end() ? 0 : mean->second.bytes;
}

void
AnswerPacer::Release(const std::string& aCallId)
{
  const auto reservation = this->reservations.find(aCallId);
  if (reservation != this->reservations.end()) {
    this->reservedBytes -= reservation->second;
    this->reservations.erase(reservation);
  }
}

} // namespace lacewingwharf
