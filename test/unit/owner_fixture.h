/// An owner with a few endpoints, and shorthand to drive it.
#pragma once

#include "query/owner.h"

#include <algorithm>

namespace bulrush::query {

struct owner_fixture {
  static constexpr vm_id Sender{1};
  static constexpr incarnation_id Life{9};

  deployment World;
  std::unique_ptr<owner> Owner;
  instant Now{1000};
  std::vector<owner_action> Actions;
  std::uint64_t NextSub = 0;

  explicit owner_fixture(std::uint32_t Slots = 2, owner_settings Settings = {},
                         std::uint32_t Count = 2) {
    for (std::uint32_t I = 0; I < Count; ++I) {
      endpoint Endpoint{endpoint_id{I}, {}, zone_id{std::uint16_t(I)}, {}, {}};
      Endpoint.Limits.Slots = Slots;
      World.Endpoints.push_back(Endpoint);
    }
    Owner = std::make_unique<owner>(World, Settings);
  }

  void step(owner_event Event) { Owner->step(std::move(Event), Now, Actions); }

  void grantAll(millis Lease = {1e6}, millis Inherited = {}) {
    ownership_changed Event;
    for (const endpoint &Endpoint : World.Endpoints)
      Event.Grants.push_back({Endpoint.Id, Now + Lease, Now + Inherited});
    step(Event);
  }

  sub_id request(millis Remaining = {100}, double Weight = 1,
                 bool IsCommand = false, std::uint32_t Endpoint = 0) {
    sub_request Request;
    Request.Sub = {++NextSub};
    Request.Endpoint = {Endpoint};
    Request.Weight = Weight;
    Request.IsCommand = IsCommand;
    step(batch_arrived{{Sender, Remaining, {}, {Request}, Life}});
    return Request.Sub;
  }

  template <class T> std::vector<T> all() const {
    std::vector<T> Found;
    for (const owner_action &Action : Actions)
      if (const T *Alternative = std::get_if<T>(&Action))
        Found.push_back(*Alternative);
    return Found;
  }

  std::size_t sends() const { return all<send_to_endpoint>().size(); }

  const sub_reply *replyTo(sub_id Sub) const {
    for (const owner_action &Action : Actions)
      if (const auto *Reply = std::get_if<reply_to_entry>(&Action))
        if (Reply->Reply.Sub == Sub)
          return &Reply->Reply;
    return nullptr;
  }

  refusal reasonOf(sub_id Sub) const {
    const sub_reply *Reply = replyTo(Sub);
    return Reply ? Reply->Reason : refusal::none;
  }

  /// The endpoint answers what was sent as `Sub`.
  void answer(sub_id Sub, reply_kind Kind = reply_kind::answered,
              reply_headers Headers = {}, millis Latency = {5}) {
    for (const auto &Sent : all<send_to_endpoint>()) {
      if (Sent.Request.Sub != Sub)
        continue;
      step(endpoint_replied{Sent.Request.Endpoint, Sent.Attempt, Kind, Headers,
                            std::make_shared<std::string>("body"), Latency});
      return;
    }
  }

  /// Lets one request after another succeed until the endpoint is warm.
  void warm(std::uint32_t Endpoint = 0) {
    for (int I = 0; I < 400; ++I)
      answer(request({100}, 1, false, Endpoint));
    Actions.clear();
  }

  void advance(millis By) {
    Now = Now + By;
    step(timer_fired{});
  }
};

} // namespace bulrush::query
