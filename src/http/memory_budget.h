/// Bounds the memory that clients can make the servers of a process hold.
#pragma once

#include "bulrushtray/clock.h"

#include <cstddef>
#include <list>
#include <memory>
#include <optional>

namespace bulrush::http {

class memory_account;

/// Holds memory for one client, such as its connection.
class memory_holder {
public:
  virtual ~memory_holder() = default;
  /// Frees the memory, which is no longer counted, without an answer.
  virtual void evict() = 0;
};

/// The bytes of requests and responses that all accounts hold together, and
/// which of them give way when they exceed a bound. Requests get a part of it,
/// so that there is room for responses, and large ones a smaller part, so that
/// uploads leave room for small requests.
class memory_budget {
public:
  explicit memory_budget(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}
  memory_budget(const memory_budget &) = delete;
  memory_budget &operator=(const memory_budget &) = delete;

  std::size_t maxBytes() const { return MaxBytes; }
  std::size_t usedBytes() const { return RequestBytes + ResponseBytes; }

  /// To be called after the request bytes of `Newest` have grown; the request
  /// that is arriving has `Bytes` so far. Evicts holders that have been
  /// writing, or reading a large request, for long; returns whether the request
  /// then fits. One that does not must be refused.
  bool fitsRequest(const memory_account &Newest, std::size_t Bytes,
                   instant Now);
  /// To be called after the response bytes of `Newest` have grown. Evicts
  /// holders until the bound is kept, first those that have been writing for
  /// longest; returns whether `Newest` was spared.
  bool fitsResponse(memory_account &Newest, instant Now);

private:
  friend class memory_account;
  using account_list = std::list<memory_account *>;

  /// Whether the others hold hardly anything; such an account is spared, so
  /// that one message of any size passes.
  bool isAlone(const memory_account &Account) const;
  memory_account *findSlowReader(const memory_account &Newest,
                                 instant Now) const;
  memory_account *findSlowWriter(instant Now) const;
  static void evict(memory_account &Account);

  const std::size_t MaxBytes;
  std::size_t RequestBytes = 0;
  std::size_t ResponseBytes = 0;
  account_list Readers; ///< in the order in which they began
  account_list Writers; ///< in the order in which they began
};

/// What one holder holds; counted in its budget until its end or eviction.
class memory_account {
public:
  /// `Holder` must outlive the account.
  memory_account(std::shared_ptr<memory_budget> Budget, memory_holder &Holder)
      : Budget(std::move(Budget)), Holder(Holder) {}
  ~memory_account() { release(); }
  memory_account(const memory_account &) = delete;
  memory_account &operator=(const memory_account &) = delete;

  std::size_t bytes() const { return RequestBytes + ResponseBytes; }
  void setRequestBytes(std::size_t Bytes);
  void setResponseBytes(std::size_t Bytes);
  /// A request has arrived in part; no effect if one has already.
  void beginReading(instant Now);
  void endReading();
  /// A response is being written.
  void beginWriting(instant Now);
  void endWriting();
  /// Counts nothing from now on.
  void release();

private:
  friend class memory_budget;

  /// Place in a list of the budget.
  struct activity {
    instant Since;
    memory_budget::account_list::iterator Position;
  };

  std::shared_ptr<memory_budget> Budget;
  memory_holder &Holder;
  std::size_t RequestBytes = 0;
  std::size_t ResponseBytes = 0;
  std::optional<activity> Reading;
  std::optional<activity> Writing;
  bool IsReleased = false;
};

} // namespace bulrush::http
