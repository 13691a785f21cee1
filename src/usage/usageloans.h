#pragma once

#include "membership/endpointview.h"
#include "usage/usagedivisor.h"
#include "usage/usagetimes.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * To whom this daemon lends the halves of its share of the caps. A half is lent
 * to another accountant only after its last loan has ended.
 */
class UsageLoans
{
public:
  UsageLoans(std::string aHost, UsageTimes aTimes, Millis aNow);

  /**
   * Must be called when another member has answered. Nothing is lent for
   * spreadTime from then on, in which the others learn that this daemon is a
   * member. The wait for loans of an earlier process runs at the same time.
   */
  void SetContact(Millis aNow);

  /**
   * Must be called when all members are known; nothing is lent before. Counts
   * as the contact if there was none.
   */
  void SetComplete(Millis aNow);

  /**
   * Without a record of this daemon among the members, nothing is lent. The
   * caps are divided among the groups of the fleet first. Incomplete lists only
   * determine the accountants.
   */
  void SetView(const EndpointView& aView, Millis aNow);

  /**
   * Whether no accountant of the group replies, so that this daemon uses its
   * own share.
   */
  void SetIsolated(int aGroup, bool aIsIsolated, Millis aNow);
  bool IsIsolated(int aGroup) const;

  /** Moves the halves whose loans have ended. */
  void Advance(Millis aNow);

  /** The hosts that may have a half since the last call. */
  std::vector<std::string> TakeNewHolders();

  /** The accountant of a half; empty without members. */
  const std::string& AccountantOf(int aGroup, int aHalf) const;

  /** The accountant chosen from the members, also while isolated. */
  const std::string& ChosenAccountantOf(int aGroup, int aHalf) const;

  /**
   * Time until a daemon that has lent nothing of the group since its start may
   * lend; 0 when it does or may.
   */
  Millis FirstLoanIn(int aGroup, Millis aNow) const;

  /** The halves that a request to aHost lends, and that its sending renews. */
  int LendTo(const std::string& aHost, Millis aNow);

  /** The number by which caps are divided; see UsageDivisor. */
  int Members() const;

private:
  struct Loan
  {
    std::string chosen;
    std::string holder; // The accountant that may have the half.
    Millis endsAt = 0;
  };

  void CountMembers(const EndpointView& aView, Millis aNow);
  std::string Choose(int aGroup, int aHalf) const;
  const std::string& WantedFor(std::size_t aLoan) const;

  std::string host;
  UsageTimes times;
  std::vector<FleetMember> candidates;
  std::vector<std::string> regions; // Sorted.
  bool isMember = false;
  bool hasContact = false;
  bool isComplete = false; // All members are known.
  UsageDivisor divisor;
  int members = 1;
  int listed = 1;
  Millis listedAt = 0; // Time of the last fall of the number of members.
  std::array<Loan, kUsageLoans> loans;
  std::vector<std::string> newHolders;
  std::array<bool, kUsageGroups> isolated{};
};

inline int
UsageLoans::Members() const
{
  return this->members;
}

inline bool
UsageLoans::IsIsolated(int aGroup) const
{
  return this->isolated[static_cast<std::size_t>(aGroup)];
}

} // namespace lacewingwharf
