#include "fleet.h"

#include "layout.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <future>
#include <mutex>
#include <thread>

namespace bulrush::bench {

namespace asio = boost::asio;

namespace {

/// An event loop and its thread.
struct worker {
  asio::io_context Io{1};
  asio::executor_work_guard<asio::io_context::executor_type> Guard{
      Io.get_executor()};
  std::thread Thread;
};

std::uint64_t endpointSeed(std::uint64_t Seed, endpoint_id Endpoint) {
  return Seed * 1'000'003 + Endpoint.Value;
}

expected<endpoint_behaviour> initialBehaviour(const fleet_settings &Settings,
                                              const endpoint &Endpoint) {
  endpoint_behaviour Base;
  Base.Slots = Endpoint.Limits.Slots;
  Base.Connections = Endpoint.Limits.Connections;
  Base.ConnectCost = Endpoint.Limits.ConnectCost;
  const std::string &Pool = Settings.Deployment.Pools[Endpoint.Pool.Value].Name;
  const auto Found = Settings.BehaviourByPool.find(Pool);
  if (Found == Settings.BehaviourByPool.end())
    return Base;
  return applyPatch(Base, Found->second);
}

/// Returns `Held` with `Added` appended and all but the `Keep` newest older
/// snapshots removed.
std::vector<query::held_snapshot>
addSnapshot(std::vector<query::held_snapshot> Held, query::held_snapshot Added,
            std::size_t Keep) {
  Held.push_back(std::move(Added));
  if (Held.size() > Keep + 1)
    Held.erase(Held.begin(),
               Held.end() - static_cast<std::ptrdiff_t>(Keep + 1));
  return Held;
}

} // namespace

struct fleet::impl {
  fleet_settings Settings;
  std::vector<std::unique_ptr<worker>> Workers;
  std::vector<std::unique_ptr<endpoint_server>> Endpoints;
  mutable std::mutex Mutex;
  std::vector<published_snapshot> Published;

  explicit impl(fleet_settings S) : Settings(std::move(S)) {
    for (std::size_t I = 0; I < std::max<std::size_t>(1, Settings.Threads); ++I)
      Workers.push_back(std::make_unique<worker>());
  }

  ~impl() {
    for (auto &Worker : Workers)
      Worker->Io.stop();
    for (auto &Worker : Workers)
      if (Worker->Thread.joinable())
        Worker->Thread.join();
    Endpoints.clear();
  }

  worker &workerFor(endpoint_id Endpoint) {
    return *Workers[Endpoint.Value % Workers.size()];
  }

  expected<void> open() {
    for (const endpoint &E : Settings.Deployment.Endpoints) {
      const auto Behaviour = initialBehaviour(Settings, E);
      if (!Behaviour)
        return fail(Behaviour.error());
      Endpoints.push_back(
          std::make_unique<endpoint_server>(workerFor(E.Id).Io, E, *Behaviour,
                                            endpointSeed(Settings.Seed, E.Id)));
    }
    for (const pool &Pool : Settings.Deployment.Pools)
      publish({{Pool.Id, snapshot_id{1}, Pool.Shards}, 0, millis{0}});
    for (auto &Endpoint : Endpoints)
      if (auto Started = Endpoint->start(); !Started)
        return Started;
    for (auto &Worker : Workers)
      Worker->Thread = std::thread([&Io = Worker->Io] { Io.run(); });
    return {};
  }

  void publish(const publication &P) {
    const pool &Pool = Settings.Deployment.Pools[P.NewSnapshot.Pool.Value];
    std::vector<zone_id> Zones;
    for (const endpoint_id Id : Pool.Endpoints)
      Zones.push_back(Settings.Deployment.Endpoints[Id.Value].Zone);
    const shard_layout Layout =
        placeShards(Zones, P.NewSnapshot.TotalShards, Pool.Replicas);
    {
      const std::lock_guard Lock(Mutex);
      Published.push_back(P.NewSnapshot);
    }
    for (std::size_t I = 0; I < Pool.Endpoints.size(); ++I) {
      const double Share = static_cast<double>(I) / Pool.Endpoints.size();
      const query::held_snapshot Held{P.NewSnapshot.Snapshot,
                                      P.NewSnapshot.TotalShards, Layout[I]};
      installSnapshot(Pool.Endpoints[I], Held, P.Keep, P.RolloutTime * Share);
    }
  }

  void installSnapshot(endpoint_id Id, const query::held_snapshot &Held,
                       std::size_t Keep, millis After) {
    endpoint_server *Endpoint = Endpoints[Id.Value].get();
    const auto Timer = std::make_shared<asio::steady_timer>(workerFor(Id).Io);
    const auto Apply = [Endpoint, Held, Keep, Timer] {
      auto All = addSnapshot(Endpoint->model().held(), Held, Keep);
      Endpoint->apply(set_snapshots{std::move(All)});
    };
    if (After <= millis{0}) {
      asio::post(workerFor(Id).Io, Apply);
      return;
    }
    Timer->expires_after(std::chrono::microseconds(
        static_cast<std::int64_t>(After.Count * 1000)));
    Timer->async_wait([Apply](boost::system::error_code Error) {
      if (!Error)
        Apply();
    });
  }
};

expected<std::unique_ptr<fleet>> fleet::start(fleet_settings Settings) {
  auto Impl = std::make_unique<impl>(std::move(Settings));
  if (const auto Opened = Impl->open(); !Opened)
    return fail(Opened.error());
  return std::unique_ptr<fleet>(new fleet(std::move(Impl)));
}

fleet::fleet(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}
fleet::~fleet() = default;

std::vector<endpoint_id> fleet::select(const std::string &Selector) const {
  std::uint32_t Number = 0;
  const char *End = Selector.data() + Selector.size();
  const auto Read = std::from_chars(Selector.data(), End, Number);
  const bool IsNumber = Read.ec == std::errc{} && Read.ptr == End;
  const deployment &D = Impl->Settings.Deployment;
  std::vector<endpoint_id> Out;
  for (const endpoint &E : D.Endpoints) {
    const bool Matches = IsNumber
                             ? E.Id.Value == Number
                             : Selector == "all" ||
                                   D.Zones[E.Zone.Value].Name == Selector ||
                                   D.Pools[E.Pool.Value].Name == Selector;
    if (Matches)
      Out.push_back(E.Id);
  }
  return Out;
}

void fleet::visit(const std::vector<endpoint_id> &Endpoints,
                  const std::function<void(endpoint_server &)> &Visit) {
  std::vector<std::future<void>> Done;
  for (const endpoint_id Id : Endpoints) {
    auto Task = std::make_shared<std::packaged_task<void()>>(
        [this, Id, &Visit] { Visit(*Impl->Endpoints[Id.Value]); });
    Done.push_back(Task->get_future());
    asio::post(Impl->workerFor(Id).Io, [Task] { (*Task)(); });
  }
  for (auto &Each : Done)
    Each.wait();
}

void fleet::publish(const publication &Publication) {
  Impl->publish(Publication);
}

std::vector<published_snapshot> fleet::published() const {
  const std::lock_guard Lock(Impl->Mutex);
  return Impl->Published;
}

const deployment &fleet::description() const {
  return Impl->Settings.Deployment;
}

} // namespace bulrush::bench
