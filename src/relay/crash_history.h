/// Counts the endpoints that went down under each request.
#pragma once

#include "relay/crash_reports.h"

#include <map>

namespace bulrush::relay {

/// Decides which requests are kept from endpoints. Kept by each relay for what
/// it saw itself and by the registry's leader for the reports of all relays, in
/// memory. Deterministic, no I/O.
///
/// A request under which `MaxCrashes` endpoints went down is quarantined. Once
/// an endpoint has answered it, its crashes no longer count. After a quarantine
/// the next crash starts one that is twice as long.
class crash_history {
public:
  struct known_crash {
    endpoint_identity Endpoint;
    instant SentAt; ///< the request, to this endpoint
    instant At;
  };
  /// Adds a crash unless it is known.
  void add(request_fingerprint Request, const known_crash &Crash, instant Now);
  /// An endpoint has answered the request.
  void clear(request_fingerprint Request) { Entries.erase(Request); }
  /// Applies the reports of a relay; returns the decisions that changed.
  std::vector<verdict_notice> apply(const std::vector<crash_report> &Reports,
                                    instant Now);
  /// Applies a decision that was made elsewhere.
  void apply(const verdict_notice &Notice, instant Now);

  bool isKnown(request_fingerprint Request) const {
    return Entries.count(Request) > 0;
  }
  request_verdict verdict(request_fingerprint Request, instant Now) const;
  /// 0 if the request is not quarantined.
  millis quarantineLeft(request_fingerprint Request, instant Now) const;
  bool isEmpty() const { return Entries.empty(); }
  /// Number of quarantined requests.
  std::size_t quarantined(instant Now) const;

  /// All that is known, for a leader that has just taken over.
  std::vector<crash_report> reports(instant Now) const;
  /// The requests that are watched or quarantined, for a relay that has just
  /// come.
  std::vector<verdict_notice> notices(instant Now) const;
  verdict_notice noticeOf(request_fingerprint Request, instant Now) const;

private:
  struct entry {
    std::vector<known_crash> Crashes;
    instant UpdatedAt;
    instant QuarantinedUntil{-1e300};
    std::uint32_t Quarantines = 0; ///< so far
    bool IsWatchedElsewhere = false;
  };

  static std::size_t countSeparate(const entry &Entry);
  entry &entryOf(request_fingerprint Request, instant Now);
  void forgetOld(instant Now);

  std::map<request_fingerprint, entry> Entries;
};

} // namespace bulrush::relay
