#include "linkstate.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lacewingwharf {

using Json = nlohmann::json;

LinkState::LinkState(Millis aDelay, double aBitsPerSecond)
  : delay(static_cast<double>(aDelay))
  , bitsPerSecond(aBitsPerSecond)
{
}

double
LinkState::ComputeDepartureTime(LinkDirection aDirection,
                                std::size_t aBytes,
                                double aNow)
{
  constexpr double kBitsPerByte = 8;
  constexpr double kMillisPerSecond = 1000;
  const std::lock_guard lock(this->mutex);
  Direction& direction =
    this->directions.at(static_cast<std::size_t>(aDirection));
  direction.bytes += aBytes;
  direction.freeAt = std::max(aNow, direction.freeAt);
  if (this->bitsPerSecond > 0) {
    direction.freeAt += static_cast<double>(aBytes) * kBitsPerByte *
                        kMillisPerSecond / this->bitsPerSecond;
  }
  return direction.freeAt + this->delay;
}

bool
LinkState::IsCut() const
{
  const std::lock_guard lock(this->mutex);
  return this->isCut;
}

std::uint64_t
LinkState::SilenceCount() const
{
  const std::lock_guard lock(this->mutex);
  return this->silenceCount;
}

void
LinkState::SetCut(bool aIsCut)
{
  const std::lock_guard lock(this->mutex);
  this->isCut = aIsCut;
}

void
LinkState::Silence()
{
  const std::lock_guard lock(this->mutex);
  ++this->silenceCount;
}

std::optional<std::string>
LinkState::ApplyJson(const std::string& aJson)
{
  const Json json = Json::parse(aJson, nullptr, false);
  if (!json.is_object()) {
    return "the body is not a JSON object";
  }
  const std::lock_guard lock(this->mutex);
  try {
    this->delay = json.value("delay_ms", this->delay);
    this->bitsPerSecond = json.value("bits_per_s", this->bitsPerSecond);
    this->isCut = json.value("cut", this->isCut);
    this->silenceCount += json.value("silent", false) ? 1 : 0;
  } catch (const Json::exception&) {
    return "wrong type for a setting";
  }
  return std::nullopt;
}

std::string
LinkState::AsJson() const
{
  const std::lock_guard lock(this->mutex);
  return Json{
    { "delay_ms", this->delay },
    { "bits_per_s", this->bitsPerSecond },
    { "cut", this->isCut },
    { "bytes_forward", this->directions[0].bytes },
    { "bytes_backward", this->directions[1].bytes }
  }.dump();
}

} // namespace lacewingwharf
