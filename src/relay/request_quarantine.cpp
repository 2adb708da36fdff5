#include "relay/request_quarantine.h"

#include "relay/fingerprint.h"

namespace bulrush::relay {

void request_quarantine::onCrash(request_fingerprint Request,
                                 const crash_history::known_crash &Crash,
                                 instant Now, relay_actions &Out) {
  History.add(Request, Crash, Now);
  crash_report Report;
  Report.Request = Request;
  Report.Crashes.push_back(
      {Crash.Endpoint, Crash.At - Crash.SentAt, Now - Crash.At});
  Out.push_back(send_crash_reports{{std::move(Report)}});
}

void request_quarantine::onSuccess(const opaque_request &Request,
                                   relay_actions &Out) {
  if (History.isEmpty())
    return;
  const request_fingerprint Fingerprint = fingerprintOf(Request);
  if (!History.isKnown(Fingerprint))
    return;
  History.clear(Fingerprint);
  crash_report Report;
  Report.Request = Fingerprint;
  Report.HasSucceeded = true;
  Out.push_back(send_crash_reports{{std::move(Report)}});
}

void request_quarantine::on(const verdicts_arrived &Event, instant Now) {
  for (const verdict_notice &Each : Event.Notices)
    History.apply(Each, Now);
}

void request_quarantine::on(const leader_found &, instant Now,
                            relay_actions &Out) const {
  if (!History.isEmpty())
    Out.push_back(send_crash_reports{History.reports(Now)});
}

millis request_quarantine::timeLeft(const opaque_request &Request,
                                    instant Now) const {
  return History.isEmpty()
             ? millis{0}
             : History.quarantineLeft(fingerprintOf(Request), Now);
}

} // namespace bulrush::relay
