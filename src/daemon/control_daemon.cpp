#include "daemon/control_daemon.h"

#include "daemon/control_actors.h"
#include "daemon/operator_http.h"
#include "daemon/process.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "wire/daemon_codec.h"
#include "wire/generated/bulrush.pb.h"
#include "wire/query_codec.h"
#include "wire/voter_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <caf/all.hpp>
#include <chrono>
#include <csignal>
#include <optional>

namespace bulrush::daemon {

namespace {

using telemetry::logEvent;
using telemetry::severity;
using error_code = boost::system::error_code;

constexpr auto TickInterval = std::chrono::milliseconds(20);
/// Time for handing over the leadership after a stop request.
constexpr millis TransferTime{500};

control::replica_options
replicaOptions(const settings::control_settings &Settings) {
  control::replica_options Out;
  for (const vm &Vm : Settings.Deployment.Vms)
    if (Vm.HasDisk)
      Out.Vms.push_back(Vm.Id);
  Out.FleetSize = static_cast<std::uint32_t>(Out.Vms.size());
  Out.SnapshotEvery = Settings.SnapshotEvery;
  return Out;
}

control::wall_time wallNow() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::milliseconds>(Now).count()};
}

std::string_view eventName(store::folder_notice Notice) {
  switch (Notice) {
  case store::folder_notice::created:
    return "data_folder_created";
  case store::folder_notice::torn_tail:
    return "torn_tail_cut";
  case store::folder_notice::copied_files:
    return "data_folder_is_copy";
  case store::folder_notice::damaged_files:
    return "data_folder_set_aside";
  case store::folder_notice::damaged_bootstrap:
    return "bootstrap_record_damaged";
  }
  return "data_folder";
}

} // namespace

struct control_daemon::state final : operator_http_host {
  settings::control_settings Settings;
  steady_clock_source Clock;
  telemetry::metrics Metrics;
  incarnation_id Incarnation = newIncarnation();
  boost::asio::io_context Io{1};
  caf::actor_system_config CafConfig;
  std::unique_ptr<store::disk> Disk;
  caf::actor_system System{configureScheduler(CafConfig)};
  std::optional<operator_http> Api;
  std::optional<http::server> Server;
  std::optional<wire::link_set> Links;
  std::optional<control_actors> Actors;
  boost::asio::steady_timer TickTimer{Io};
  boost::asio::signal_set Signals{Io, SIGTERM, SIGINT};
  bool IsStopping = false;
  instant StopRequestedAt{};
  exit_status Exit = exit_status::stopped;

  explicit state(settings::control_settings InitialSettings)
      : Settings(std::move(InitialSettings)) {}

  // operator_http_host
  void submitRequest(std::uint64_t Ticket,
                     control::operator_request Request) override {
    sendToCore(control::operator_request_received{{Settings.Self.Id, Ticket},
                                                  std::move(Request)});
  }
  void visitNode(std::function<void(const control_node &)> Visitor) override {
    Actors->visitNode(std::move(Visitor));
  }
  void post(std::function<void()> Work) override {
    boost::asio::post(Io, std::move(Work));
  }
  http::response cutLinks(const std::string &Body) override;

  expected<void> start();
  expected<void> openLog();
  void sendToCore(control::control_event Event) {
    Actors->send({std::move(Event)});
  }
  void onMessage(wire::process_id From, const wire::Envelope &Message);
  void countMalformedMessage() { Metrics.add("link_refused", "malformed"); }
  void onActions(std::vector<node_action> Actions);

  /// Never called: the node actor sends writes to the disk actor.
  void run(control::persist &) {}
  void run(control::send &Action);
  void run(control::operator_answer &Action);
  void run(control::forward_request &Action);
  void run(control::addressed_reply &Action);
  void run(control::send_ledger_answer &Action);
  void run(control::became_leader &Action);
  void run(control::lost_leadership &Action);
  void run(control::group_changed &Action);
  void run(control::identity_lost &);
  void run(control::state_machine_failed &Action);

  void tick();
  void waitForSignal();
  void stop(exit_status Status, std::string_view Reason);
};

expected<void> control_daemon::state::openLog() {
  auto Opened = store::openPosixDisk(Settings.DataFolder);
  if (!Opened)
    return fail(Opened.error().Message);
  Disk = std::move(*Opened);
  store::folder_options Options;
  Options.Vm = Settings.Self.Id;
  Options.NewVoterId = drawSeed();
  Options.MinIncarnation = static_cast<std::uint64_t>(wallNow().Ms);
  auto Log = store::durable_log::openRepaired(*Disk, Options);
  if (!Log)
    return fail(Log.error().Message);
  for (const store::folder_notice Notice : Log->notices())
    logEvent(severity::warning, eventName(Notice),
             {{"folder", Settings.DataFolder},
              {"bytes", Log->tornBytes()},
              {"why", Log->damage()}});
  control_node Node(Settings.Self.Id, Settings.Deployment,
                    replicaOptions(Settings), Log->state(), drawSeed());
  Actors.emplace(
      System, std::move(Node), std::move(*Log), Clock,
      [this](std::vector<node_action> Actions) {
        boost::asio::post(Io, [this, Batch = std::move(Actions)]() mutable {
          onActions(std::move(Batch));
        });
      },
      [this](const store::disk_error &Error) {
        boost::asio::post(Io, [this, Message = Error.Message] {
          stop(exit_status::failed, Message);
        });
      });
  return {};
}

expected<void> control_daemon::state::start() {
  auto Keys = loadKeys(Settings.KeysFile);
  if (!Keys)
    return fail(Keys.error());
  auto Tokens = operator_tokens::load(Settings.OperatorsFile);
  if (!Tokens)
    return fail(Tokens.error());
  Links.emplace(
      Io,
      linkSettings(Settings.Deployment, {Settings.Self.Id, wire::role::control},
                   Settings.Self.Control, Incarnation, *Keys),
      Metrics, [this](wire::process_id From, const wire::Envelope &Message) {
        onMessage(From, Message);
      });
  Api.emplace(Settings.Deployment, std::move(*Tokens), *this, Metrics);
  http::server_settings Http;
  Http.Listen = Settings.Self.Operators;
  Server.emplace(Io, Http, *Api, Metrics);
  if (auto Opened = openLog(); !Opened)
    return Opened;
  if (auto Started = Links->start(); !Started)
    return Started;
  if (auto Started = Server->start(); !Started)
    return Started;
  waitForSignal();
  tick();
  logEvent(severity::info, "started",
           {{"vm", Settings.Self.Id.Value},
            {"operators_port", Settings.Self.Operators.Port},
            {"encrypted", Keys->has_value()}});
  return {};
}

void control_daemon::state::onMessage(wire::process_id From,
                                      const wire::Envelope &Message) {
  const control::daemon_id Daemon{From.Vm, {Message.incarnation()}};
  switch (Message.body_case()) {
  case wire::Envelope::kVoter: {
    auto Decoded = wire::fromProto(Message.voter());
    if (!Decoded)
      return countMalformedMessage();
    Actors->send(
        {control::event(control::message_received{std::move(*Decoded)})});
    return;
  }
  case wire::Envelope::kHeartbeat:
    return sendToCore(control::heartbeat_received{
        Daemon, wire::fromProto(Message.heartbeat())});
  case wire::Envelope::kLedgerAsk: {
    auto Decoded = wire::fromProto(Message.ledger_ask());
    return Decoded ? sendToCore(std::move(*Decoded)) : countMalformedMessage();
  }
  case wire::Envelope::kOperatorForward: {
    auto Decoded = wire::fromProto(From.Vm, Message.operator_forward());
    return Decoded ? sendToCore(std::move(*Decoded)) : countMalformedMessage();
  }
  case wire::Envelope::kOperatorResult: {
    auto Decoded = wire::fromProto(Message.operator_result());
    return Decoded ? sendToCore(std::move(*Decoded)) : countMalformedMessage();
  }
  case wire::Envelope::kEndpointReports:
    return sendToCore(control::endpoint_reports_received{
        wire::fromProto(Message.endpoint_reports())});
  default:
    Metrics.add("link_refused", "unexpected");
  }
}

void control_daemon::state::onActions(std::vector<node_action> Actions) {
  for (node_action &Action : Actions)
    std::visit([this](auto &Each) { run(Each); }, Action);
}

void control_daemon::state::run(control::send &Action) {
  wire::Envelope Message;
  wire::toProto(Action.Message, *Message.mutable_voter());
  Links->send({Action.Vm, wire::role::control}, Message);
}

void control_daemon::state::run(control::operator_answer &Action) {
  if (Action.To.Vm == Settings.Self.Id) {
    Api->answer(Action.To.Ticket, Action.Result);
    return;
  }
  wire::Envelope Message;
  wire::toProto(Action, *Message.mutable_operator_result());
  Links->send({Action.To.Vm, wire::role::control}, Message);
}

void control_daemon::state::run(control::forward_request &Action) {
  wire::Envelope Message;
  wire::toProto(Action, *Message.mutable_operator_forward());
  Links->send({Action.Leader, wire::role::control}, Message);
}

void control_daemon::state::run(control::addressed_reply &Action) {
  wire::Envelope Message;
  wire::toProto(Action.Reply, *Message.mutable_heartbeat_reply());
  Links->send({Action.To.Vm, wire::role::entry}, Message);
}

void control_daemon::state::run(control::send_ledger_answer &Action) {
  wire::Envelope Message;
  wire::toProto(Action.Answer, *Message.mutable_ledger_answer());
  Links->send({Action.Answer.Run.Daemon.Vm, wire::role::entry}, Message);
}

void control_daemon::state::run(control::became_leader &Action) {
  Metrics.add("leadership", "gained");
  logEvent(severity::info, "leadership_gained", {{"term", Action.Term.Value}});
}

void control_daemon::state::run(control::lost_leadership &Action) {
  Metrics.add("leadership", "lost");
  logEvent(severity::info, "leadership_lost", {{"term", Action.Term.Value}});
}

void control_daemon::state::run(control::group_changed &Action) {
  for (const control::group_member &Member : Action.Group.Members)
    logEvent(
        severity::info, "voter_group",
        {{"voter", Member.Id.Value},
         {"vm", Member.Vm.Value},
         {"role",
          Member.Role == control::member_role::voter ? "voter" : "learner"}});
}

/// The data folder is an outdated copy: it is retired, so that the next start
/// joins the group as a new member.
void control_daemon::state::run(control::identity_lost &) {
  const auto Retired = store::durable_log::retire(*Disk);
  if (!Retired)
    logEvent(severity::error, "retire_failed",
             {{"why", Retired.error().Message}});
  stop(exit_status::failed, "the data folder is an old copy");
}

void control_daemon::state::run(control::state_machine_failed &Action) {
  stop(exit_status::failed, Action.Reason.Message);
}

/// After a stop request the process exits once no HTTP request is in flight,
/// but not within `TransferTime`. At `StopBound` it exits in any case.
void control_daemon::state::tick() {
  Actors->send({control::event(control::tick{}),
                control::control_event(control::control_tick{wallNow()})});
  const bool IsIdle = Server->inFlightRequests() == 0;
  const millis Stopping = Clock.now() - StopRequestedAt;
  if (IsStopping && IsIdle && Stopping >= TransferTime) {
    stop(exit_status::stopped, "asked");
    return;
  }
  if (IsStopping && Stopping >= Settings.StopBound) {
    stop(exit_status::bound_reached, "requests are open at the stop bound");
    return;
  }
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait([this](error_code Error) {
    if (!Error)
      tick();
  });
}

void control_daemon::state::waitForSignal() {
  Signals.async_wait([this](error_code Error, int Number) {
    if (Error)
      return;
    if (IsStopping) {
      stop(exit_status::bound_reached, "second signal");
      return;
    }
    logEvent(severity::info, "stop_asked", {{"signal", Number}});
    IsStopping = true;
    StopRequestedAt = Clock.now();
    Server->stopAccepting();
    Actors->send({control::event(control::transfer_leadership{})});
    waitForSignal();
  });
}

void control_daemon::state::stop(exit_status Status, std::string_view Reason) {
  logEvent(Status == exit_status::failed ? severity::error : severity::info,
           "stopped", {{"why", Reason}});
  Exit = Status;
  Io.stop();
}

http::response control_daemon::state::cutLinks(const std::string &Body) {
  return handleTestCut(*Links, Settings.Deployment, Settings.Testing, Body);
}

control_daemon::control_daemon(settings::control_settings Settings)
    : State(std::make_unique<state>(std::move(Settings))) {}

control_daemon::~control_daemon() = default;

exit_status control_daemon::run() {
  if (auto Started = State->start(); !Started) {
    logEvent(severity::error, "start_failed",
             {{"why", Started.error().Message}});
    return exit_status::failed;
  }
  State->Io.run();
  State->Actors.reset();
  return State->Exit;
}

} // namespace bulrush::daemon
