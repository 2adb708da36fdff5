/// The order in which the parts that wait for one service are sent.
#pragma once

#include "relay/catalog.h"

#include <map>
#include <optional>
#include <set>

namespace bulrush::relay {

/// A part of a request that waits for an endpoint of its service.
struct work_item {
  query_id Request;
  std::size_t Part = 0;
  std::uint32_t Urgency = 0; ///< 0 is the highest
  account_name Account;      ///< empty: none; all such share one account
  instant SendBy;            ///< sent later, it cannot end by its deadline
  instant ArrivedAt;

  /// Whether this item goes before another one of its account: the one with the
  /// nearest deadline, then the one that arrived first.
  bool isBefore(const work_item &Other) const;
};

/// Orders waiting parts by urgency, then by fair shares of the accounts of one
/// urgency, then by deadline. Shares follow start-time fair queueing: each part
/// that is sent moves its account by one in virtual time, and the account that
/// is furthest behind comes next. An account that did not wait gets no credit
/// for that. While two accounts wait, each gets the same number of parts sent,
/// so none of one urgency gets less than a quarter of the average.
///
/// Also measures how fast parts are sent while others wait.
class work_order {
public:
  void add(const work_item &Item);
  /// Has no effect if the item does not wait.
  void remove(const work_item &Item);

  bool isEmpty() const { return Count == 0; }
  std::size_t size() const { return Count; }

  /// The first item that is not in `Skipped`; null if there is none.
  const work_item *next(const std::vector<work_item> &Skipped = {}) const;
  /// Whether some waiting item goes before `Item`, which does not wait.
  bool hasItemBefore(const work_item &Item) const;

  /// Number of waiting items of the account and urgency of `Item`.
  std::size_t waitingOfAccount(const work_item &Item) const;
  /// Whether `Item`, which waits, is among the first `Limit` of its account.
  bool isAmongFirst(const work_item &Item, std::size_t Limit) const;

  /// Records that a part was sent, after its removal if it waited. Only parts
  /// that are sent while others wait count for the shares.
  void onSent(const work_item &Item, instant Now);

  /// Number of waiting items that are sent before `Item`, which does not wait,
  /// if no others arrive.
  std::size_t ahead(const work_item &Item) const;
  /// Mean time between the sends of two parts while others waited; no value
  /// until `MinSamples` of them.
  std::optional<millis> interval() const;
  /// Expected time until `Item`, which does not wait, is sent.
  std::optional<millis> expectedWait(const work_item &Item) const;

  static constexpr std::uint32_t MinSamples = 8;

private:
  struct by_order {
    bool operator()(const work_item &A, const work_item &B) const {
      return A.isBefore(B);
    }
  };
  /// The waiting items of one account.
  struct account_queue {
    double Start = 0; ///< virtual time at which its next part is due
    std::set<work_item, by_order> Items;
  };
  /// Position of an account among those of its level.
  struct account_position {
    double Start = 0;
    const work_item *First = nullptr;

    bool operator<(const account_position &Other) const {
      return Start != Other.Start ? Start < Other.Start
                                  : First->isBefore(*Other.First);
    }
  };
  /// The accounts of one urgency.
  struct level {
    double VirtualTime = 0; ///< start of the part that was sent last
    /// Those that wait, and those that were served ahead of the virtual time.
    std::map<account_name, account_queue> Accounts;
    std::set<account_position> Order; ///< of those that wait
    std::size_t Count = 0;            ///< waiting items

    double startOf(const account_name &Account) const;
  };

  static account_position positionOf(const account_queue &Queue) {
    return {Queue.Start, &*Queue.Items.begin()};
  }

  std::map<std::uint32_t, level> Levels; ///< with waiting items, by urgency
  std::size_t Count = 0;                 ///< waiting items
  std::uint32_t Samples = 0;             ///< in `Interval`
  millis Interval;                       ///< moving average
  instant SentAt = Never;                ///< of the last part
};

} // namespace bulrush::relay
