/// Test fixture: an owner with a few endpoints.
#pragma once

#include "query/owner.h"

#include <algorithm>

namespace bulrush::query {

struct owner_fixture {
  static constexpr vm_id Sender{1};
  static constexpr incarnation_id Incarnation{9};

  deployment Deployment;
  std::unique_ptr<owner> Owner;
  instant Now{1000};
  std::vector<owner_action> Actions;
  std::uint64_t LastSub = 0;

  explicit owner_fixture(std::uint32_t Slots = 2, owner_settings Settings = {},
                         std::uint32_t EndpointCount = 2) {
    for (std::uint32_t I = 0; I < EndpointCount; ++I) {
      endpoint Endpoint{endpoint_id{I}, {}, zone_id{std::uint16_t(I)}, {}, {}};
      Endpoint.Limits.Slots = Slots;
      Deployment.Endpoints.push_back(Endpoint);
    }
    Owner = std::make_unique<owner>(Deployment, Settings);
  }

  void step(owner_event Event) { Owner->step(std::move(Event), Now, Actions); }

  void grantAllLeases(millis Lease = {1e6}, millis Inherited = {}) {
    ownership_changed Event;
    for (const endpoint &Endpoint : Deployment.Endpoints)
      Event.Grants.push_back({Endpoint.Id, Now + Lease, Now + Inherited});
    step(Event);
  }

  /// Delivers a batch with one sub-request to the owner.
  sub_id submitRequest(millis Remaining = {100}, double Weight = 1,
                       bool IsCommand = false, std::uint32_t Endpoint = 0) {
    sub_request Request;
    Request.Sub = {++LastSub};
    Request.Endpoint = {Endpoint};
    Request.Weight = Weight;
    Request.IsCommand = IsCommand;
    step(batch_arrived{{Sender, Remaining, {}, {Request}, Incarnation}});
    return Request.Sub;
  }

  template <class T> std::vector<T> actionsOf() const {
    std::vector<T> Found;
    for (const owner_action &Action : Actions)
      if (const T *Alternative = std::get_if<T>(&Action))
        Found.push_back(*Alternative);
    return Found;
  }

  /// Number of requests that the owner sent to endpoints.
  std::size_t sendCount() const { return actionsOf<send_to_endpoint>().size(); }

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

  /// Delivers the endpoint's reply to the request sent for `Sub`, if any.
  void reply(sub_id Sub, reply_kind Kind = reply_kind::answered,
             reply_headers Headers = {}, millis Latency = {5}) {
    for (const auto &Sent : actionsOf<send_to_endpoint>()) {
      if (Sent.Request.Sub != Sub)
        continue;
      step(endpoint_replied{Sent.Request.Endpoint, Sent.Attempt, Kind, Headers,
                            std::make_shared<std::string>("body"), Latency});
      return;
    }
  }

  /// Answers one request after the other until the endpoint is warm.
  void warmUp(std::uint32_t Endpoint = 0) {
    for (int I = 0; I < 400; ++I)
      reply(submitRequest({100}, 1, false, Endpoint));
    Actions.clear();
  }

  void advance(millis Duration) {
    Now = Now + Duration;
    step(timer_fired{});
  }
};

} // namespace bulrush::query
