#include "fuzz_params.h"

#include "control_world.h"

#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/// One operator's command, from the plan to the answers.
struct operator_story {
  std::optional<plan> Plan;
  std::uint32_t Sends = 0;
  double FirstSend = 0;
  std::optional<confirm_status> Decided; ///< accepted, conflict or invalid
  std::optional<confirm_status> Last;
  revision Revision;
  double AnsweredAt = 0;
};

/// Operators that plan, confirm, lose answers and resend at any voter.
class operators {
public:
  explicit operators(control_world &World) : World(World) {
    World.OnResult = [this](std::size_t, std::uint64_t Ticket,
                            const operator_result &Result) {
      take(Ticket, Result);
    };
    World.OnStep = [this] { checkRevisions(); };
  }

  void askForPlan(std::size_t Voter, std::uint32_t Choice) {
    const std::uint64_t Id = Stories.size();
    Stories.emplace_back();
    const std::uint16_t Zone = Choice % 3;
    const change Change = Choice % 2 == 0 ? change{zone_out{zone_id{Zone}}}
                                          : change{zone_in{zone_id{Zone}}};
    ask(Voter, Id,
        plan_request{
            {Choice % 2 == 0 ? "anna" : "ben"}, {std::to_string(Id)}, Change});
  }

  void confirm(std::size_t Voter, std::uint32_t Choice) {
    if (Stories.empty())
      return;
    const std::uint64_t Id = Choice % Stories.size();
    operator_story &Story = Stories[Id];
    if (!Story.Plan)
      return;
    if (Story.Sends++ == 0) {
      Story.FirstSend = World.Now;
      FirstSends.insert(LastTicket + 1);
    }
    ask(Voter, Id, confirm_request{*Story.Plan, Story.Sends == 1});
  }

  /// Every promise about answers, once the log is known in full.
  void checkAll() const {
    for (const operator_story &Story : Stories)
      checkStory(Story);
    checkOrder();
  }

private:
  void ask(std::size_t Voter, std::uint64_t Story,
           const operator_request &Request) {
    StoryOf[++LastTicket] = Story;
    World.ask(Voter, LastTicket, Request);
  }

  void take(std::uint64_t Ticket, const operator_result &Result) {
    operator_story &Story = Stories[StoryOf.at(Ticket)];
    if (const auto *Planned = std::get_if<plan_result>(&Result)) {
      Story.Plan = Planned->Plan;
      return;
    }
    const auto *Confirmed = std::get_if<confirm_result>(&Result);
    if (!Confirmed)
      return;
    Story.Last = Confirmed->Status;
    if (Confirmed->Status == confirm_status::not_run) {
      RC_ASSERT(FirstSends.contains(Ticket));
      // It speaks of the first send; a resend may have been accepted.
      RC_ASSERT(Story.Sends > 1 || !Story.Decided.has_value());
      return;
    }
    if (Confirmed->Status == confirm_status::unknown)
      return;
    if (Story.Decided) {
      RC_ASSERT(*Story.Decided == Confirmed->Status);
      RC_ASSERT(Story.Revision == Confirmed->Revision);
      return;
    }
    Story.Decided = Confirmed->Status;
    Story.Revision = Confirmed->Revision;
    Story.AnsweredAt = World.Now;
  }

  const state_machine &longest() const {
    const state_machine *Best = &World.AllVoters[0].Core->machine();
    for (const auto &V : World.AllVoters)
      if (V.Core->machine().applied() > Best->applied())
        Best = &V.Core->machine();
    return *Best;
  }

  /// How often the command is part of the accepted history.
  std::size_t timesApplied(const plan &Plan) const {
    std::size_t Count = 0;
    for (const history_entry &Entry : longest().history())
      Count += Entry.Operator == Plan.Operator && Entry.Command == Plan.Command;
    return Count;
  }

  void checkStory(const operator_story &Story) const {
    if (!Story.Plan)
      return;
    const std::size_t Applied = timesApplied(*Story.Plan);
    RC_ASSERT(Applied <= 1);
    RC_ASSERT(Story.Sends > 0 || Applied == 0);
    if (Story.Decided)
      RC_ASSERT(Applied == (*Story.Decided == confirm_status::accepted));
    if (Story.Sends == 1 && Story.Last == confirm_status::not_run)
      RC_ASSERT(Applied == 0);
    if (Applied == 1 && Story.Decided)
      RC_ASSERT(Story.Revision.Value == Story.Plan->BaseRevision.Value + 1);
  }

  /// A command answered before another was first sent comes before it.
  void checkOrder() const {
    for (const operator_story &Early : Stories)
      for (const operator_story &Late : Stories) {
        const bool Both = Early.Decided == confirm_status::accepted &&
                          Late.Decided == confirm_status::accepted;
        if (Both && Early.AnsweredAt < Late.FirstSend)
          RC_ASSERT(Early.Revision < Late.Revision);
      }
  }

  /// No voter's revision goes down, and equal places have equal states.
  void checkRevisions() {
    for (std::size_t I = 0; I < control_world::Voters; ++I) {
      const state_machine &Machine = World.AllVoters[I].Core->machine();
      RC_ASSERT(Machine.config().Revision >= LastRevision[I]);
      LastRevision[I] = Machine.config().Revision;
      const std::uint64_t Digest = digest(Machine.config());
      const auto [Place, IsNew] =
          DigestAt.try_emplace(Machine.applied(), Digest);
      RC_ASSERT(IsNew || Place->second == Digest);
    }
  }

  control_world &World;
  std::deque<operator_story> Stories;
  std::map<std::uint64_t, std::uint64_t> StoryOf; ///< by ticket
  std::set<std::uint64_t> FirstSends;
  std::uint64_t LastTicket = 0;
  std::array<revision, control_world::Voters> LastRevision;
  std::map<log_index, std::uint64_t> DigestAt;
};

struct scene {
  explicit scene(std::uint32_t Seed) : World(Seed), Operators(World) {
    World.CommitsAtOnce = false;
  }
  control_world World;
  operators Operators;
};

enum class operation {
  advance,
  plan,
  confirm,
  commit,
  elect,
  lose_quorum,
  tell,
  catch_up,
  pause,
  restart,
  loss,
  delay
};

struct model {};

struct one_step : rc::state::Command<model, scene> {
  void run(const model &, scene &S) const override {
    control_world &W = S.World;
    const std::size_t Voter = First % control_world::Voters;
    switch (What) {
    case operation::advance:
      return W.advance(First);
    case operation::plan:
      return S.Operators.askForPlan(Voter, Second);
    case operation::confirm:
      return S.Operators.confirm(Voter, Second);
    case operation::commit:
      return W.commit();
    case operation::elect:
      return W.elect(Voter);
    case operation::lose_quorum:
      return W.loseQuorum();
    case operation::tell:
      return W.tellLeader(Voter);
    case operation::catch_up:
      return W.catchUp(Voter);
    case operation::pause:
      return W.pauseVoter(Voter, !W.AllVoters[Voter].IsPaused);
    case operation::restart:
      return W.restartVoter(Voter);
    case operation::loss:
      W.Loss = First % 2 == 0 ? 0 : 0.3;
      return;
    case operation::delay:
      W.MaxDelay = First % 2 == 0 ? 5 : 1500;
      return;
    }
  }
  void show(std::ostream &Out) const override {
    Out << static_cast<int>(What) << ' ' << First << ' ' << Second;
  }

  operation What =
      *rc::gen::weightedElement<operation>({{15, operation::advance},
                                            {15, operation::plan},
                                            {25, operation::confirm},
                                            {12, operation::commit},
                                            {3, operation::elect},
                                            {1, operation::lose_quorum},
                                            {5, operation::tell},
                                            {5, operation::catch_up},
                                            {1, operation::pause},
                                            {1, operation::restart},
                                            {1, operation::loss},
                                            {1, operation::delay}});
  std::uint32_t First = *rc::gen::inRange(0, 600);
  std::uint32_t Second = *rc::gen::inRange(0, 1000);
};

} // namespace

TEST_CASE("operators' commands take effect at most once, in one order, as told",
          "[commands]") {
  checkProperty("commands", 2000, 300, [] {
    scene S(*rc::gen::arbitrary<std::uint32_t>());
    rc::state::check(model{}, S, rc::state::gen::execOneOfWithArgs<one_step>());
    S.World.heal();
    S.World.CommitsAtOnce = true;
    S.World.advance(5000);
    for (std::size_t I = 0; I < control_world::Voters; ++I)
      S.World.catchUp(I);
    S.Operators.checkAll();
  });
}
