/// The admin API of the stand-in endpoints. Experiments use it to change their
/// behaviour and to read their records.
#pragma once

#include "fleet.h"
#include "http/message.h"
#include "http/server.h"
#include "platform_list.h"

namespace bulrush::bench {

/// Handles `/admin/...` and `/platform/vms`; docs/ENDPOINTS.md lists the calls.
class admin_api final : public http::handler {
public:
  explicit admin_api(fleet &Fleet);

  void handle(http::request Request, http::responder Respond) override;
  http::response answer(const http::request &Request);

private:
  http::response listEndpoints();
  http::response listRecords(std::string_view Query);
  http::response listSnapshots() const;
  http::response resetRecords();
  http::response publish(const std::string &Body);
  http::response changePlatform(const std::string &Body);
  http::response changeEndpoints(const std::string &Selector,
                                 const std::string &Change,
                                 const std::string &Body);

  fleet &Fleet;
  platform_list Platform;
  steady_clock_source Clock;
};

} // namespace bulrush::bench
