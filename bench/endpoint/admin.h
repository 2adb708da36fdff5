/// The admin API of the stand-ins: what experiments change and read.
#pragma once

#include "fleet.h"
#include "http/message.h"
#include "http/server.h"
#include "platform_list.h"

namespace bulrush::bench {

/// Answers `/admin/...` and `/platform/vms`. Each call is listed in
/// docs/ENDPOINTS.md.
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
                                 const std::string &What,
                                 const std::string &Body);

  fleet &Fleet;
  platform_list Platform;
  steady_clock_source Clock;
};

} // namespace bulrush::bench
