/// \file
/// Runs random requests and faults against two owners of one group and checks
/// the guarantees given to callers.
#pragma once

#include "owner/Simulation.h"

#include <sstream>

namespace almondpier::testing {

class RandomOwnerTest {
public:
  explicit RandomOwnerTest(uint64_t Seed)
      : m_Sim(makeOptions(Seed)), m_Random(Seed * 7'919 + 1) {
    m_Sim.m_OnCompleted = [this](uint64_t Ticket, const RequestResult &Result) {
      onCompleted(Ticket, Result);
    };
    m_Sessions.resize(8);
    for (size_t Index = 0; Index < m_Sessions.size(); ++Index)
      m_Sessions[Index].m_Name = "s" + std::to_string(Index);
  }

  /// Returns the first violated guarantee, or an empty string.
  std::string run(int Steps) {
    runControlLeader();
    for (int Step = 0; Step < Steps && m_Violation.empty(); ++Step) {
      m_Sim.run(Duration(static_cast<int64_t>(randomBelow(3'000))));
      if (chance(2))
        injectFault();
      else
        performRandomOperation(m_Sessions[randomBelow(m_Sessions.size())]);
    }
    m_Sim.clearFaults();
    for (auto &Entry : m_Sim.m_Instances)
      Entry.second->m_IsUp = true;
    m_Sim.publish();
    m_Sim.run(seconds(4));
    if (m_Violation.empty())
      checkFinalState();
    return m_Violation;
  }

  size_t acknowledged() const { return m_Acknowledged.size(); }
  size_t unknownOutcomes() const { return m_UnknownOutcomes; }
  size_t reads() const { return m_ReadsChecked; }
  size_t replicaReads() const { return m_ReplicaReads; }
  size_t failovers() const { return m_Sim.record().m_BegunTerm; }

private:
  struct Operation {
    size_t m_Session = 0;
    size_t m_Owner = 0;
    AdmittedRequest m_Request;
    Time m_SubmittedAt{};
    /// Number of writes acknowledged before the request arrived.
    size_t m_AcknowledgedBefore = 0;
    std::set<std::string> m_SessionWrites;
    /// Statements that are durable once the request is acknowledged.
    std::vector<std::string> m_DurableStatements;
    bool m_IsRepeated = false;
    bool m_IsCancelled = false;
  };
  struct Session {
    std::string m_Name;
    bool m_IsBusy = false;
    Position m_Position;
    bool m_NeedsConfirmed = false;
    std::set<std::string> m_Writes;
    std::optional<TransactionId> m_Transaction;
    size_t m_TransactionOwner = 0;
    std::vector<std::string> m_Statements;
    /// A write whose outcome is unknown.
    std::optional<Operation> m_UnknownWrite;
  };

  static Simulation::Options makeOptions(uint64_t Seed) {
    Simulation::Options Made;
    Made.m_Instances = Seed % 4 == 0 ? 5 : 3;
    Made.m_Owners = 2;
    Made.m_Seed = Seed;
    Made.m_Slots = 1 + static_cast<uint32_t>(Seed % 3);
    Made.m_ConnectionLimit = 15;
    Made.m_Jitter = milliseconds(1 + Seed % 5);
    Made.m_ReplicationBatch = 1 + Seed % 3;
    return Made;
  }
  uint64_t randomBelow(uint64_t Bound) { return m_Random() % Bound; }
  bool chance(uint64_t Percent) { return randomBelow(100) < Percent; }
  std::string randomInstance() {
    auto It = m_Sim.m_Instances.begin();
    std::advance(It,
                 static_cast<ptrdiff_t>(randomBelow(m_Sim.m_Instances.size())));
    return It->first.m_Value;
  }
  void reportViolation(const std::string &Text) {
    if (m_Violation.empty())
      m_Violation = Text;
  }

  void performRandomOperation(Session &Actor) {
    if (Actor.m_IsBusy) {
      if (chance(1))
        cancelRandomRequest();
      return;
    }
    Operation New;
    New.m_Session = static_cast<size_t>(&Actor - m_Sessions.data());
    New.m_Owner = randomBelow(2);
    std::string Text = Actor.m_Name + ":" + std::to_string(++m_StatementCount);
    uint32_t TimeLeftMs = static_cast<uint32_t>(20 + randomBelow(1'500));
    RequestKind Kind = RequestKind::Read;
    if (Actor.m_Transaction) {
      uint64_t Choice = randomBelow(10);
      Kind = Choice < 6   ? RequestKind::Execute
             : Choice < 9 ? RequestKind::Commit
                          : RequestKind::Rollback;
      New.m_Owner = Actor.m_TransactionOwner;
    } else if (Actor.m_UnknownWrite && chance(50)) {
      repeatUnknownWrite(Actor);
      return;
    } else {
      uint64_t Choice = randomBelow(20);
      Kind = Choice < 8    ? RequestKind::Write
             : Choice < 10 ? RequestKind::Begin
                           : RequestKind::Read;
    }
    New.m_Request = m_Sim.request(Kind, Text, TimeLeftMs);
    if (New.m_Session % 2 == 1) {
      New.m_Request.m_Organisation = {"other"};
      New.m_Request.m_Key = {"other-key"};
    }
    fillRequest(Actor, New, Text);
    submit(Actor, New);
  }

  void fillRequest(Session &Actor, Operation &New, const std::string &Text) {
    AdmittedRequest &Request = New.m_Request;
    bool HasId = chance(70);
    switch (Request.m_Kind) {
    case RequestKind::Write:
      New.m_DurableStatements = {Text};
      break;
    case RequestKind::Execute:
      Actor.m_Statements.push_back(Text);
      break;
    case RequestKind::Commit:
      New.m_DurableStatements = Actor.m_Statements;
      Request.m_Statement = "";
      break;
    case RequestKind::Read:
      Request.m_Requirement.m_Position = Actor.m_Position;
      Request.m_Requirement.m_ConfirmedPrimary =
          Actor.m_NeedsConfirmed || chance(20);
      if (chance(25))
        Request.m_Requirement.m_MaxAgeMs = randomBelow(600);
      break;
    default:
      break;
    }
    bool Tracked = Request.m_Kind == RequestKind::Write ||
                   Request.m_Kind == RequestKind::Commit;
    if (Tracked && HasId)
      Request.m_RequestId = Request.m_Organisation.m_Value + "/" + Text;
    if (Actor.m_Transaction)
      Request.m_Transaction = Actor.m_Transaction;
  }

  void repeatUnknownWrite(Session &Actor) {
    Operation Again = *Actor.m_UnknownWrite;
    Again.m_IsRepeated = true;
    Again.m_Owner = randomBelow(2);
    // A commit cannot be sent again, only looked up.
    if (chance(40) || Again.m_Request.m_Kind == RequestKind::Commit) {
      Again.m_Request.m_Kind = RequestKind::Outcome;
      Again.m_Request.m_Transaction.reset();
    }
    submit(Actor, Again);
  }

  void submit(Session &Actor, Operation &New) {
    New.m_SubmittedAt = m_Sim.now();
    New.m_AcknowledgedBefore = m_Acknowledged.size();
    New.m_SessionWrites = Actor.m_Writes;
    Actor.m_IsBusy = true;
    uint64_t Ticket =
        m_Sim.m_Submitted.empty() ? 1 : m_Sim.m_Submitted.rbegin()->first + 1;
    m_Operations[Ticket] = New;
    m_Sim.submit(New.m_Request, New.m_Owner);
  }

  void cancelRandomRequest() {
    for (auto &Entry : m_Operations) {
      Operation &Open = Entry.second;
      if (Open.m_IsCancelled || m_Sim.result(Entry.first) != nullptr ||
          chance(50))
        continue;
      Open.m_IsCancelled = true;
      m_Sim.cancel(Entry.first, Open.m_Owner);
      Session &Actor = m_Sessions[Open.m_Session];
      Actor.m_IsBusy = false;
      Actor.m_NeedsConfirmed = true;
      Actor.m_Transaction.reset();
      Actor.m_Statements.clear();
      return;
    }
  }

  void onCompleted(uint64_t Ticket, const RequestResult &Result) {
    Operation &Done = m_Operations.at(Ticket);
    Session &Actor = m_Sessions[Done.m_Session];
    if (Done.m_IsCancelled)
      reportViolation("a cancelled request completed");
    Actor.m_IsBusy = false;
    RequestKind Kind = Done.m_Request.m_Kind;
    if (Kind == RequestKind::Read) {
      checkRead(Done, Result);
      return;
    }
    bool IsFailed = Result.m_Error.has_value();
    bool IsRefused = IsFailed && Result.m_Error->m_Ran == Ran::No;
    if (IsRefused && !Done.m_IsRepeated)
      for (const std::string &Text : statementsIn(Done))
        m_NotRun.insert(Text);
    if (Kind == RequestKind::Begin) {
      if (!IsFailed) {
        Actor.m_Transaction = Result.m_Transaction;
        Actor.m_TransactionOwner = Done.m_Owner;
        Actor.m_Statements.clear();
      }
      return;
    }
    if (Kind == RequestKind::Execute) {
      if (IsFailed && Result.m_Error->m_Kind != ErrorKind::Overloaded) {
        Actor.m_Transaction.reset();
      }
      return;
    }
    if (Kind == RequestKind::Rollback || Kind == RequestKind::Commit)
      Actor.m_Transaction.reset();
    if (Kind == RequestKind::Rollback)
      return;
    if (!IsFailed) {
      onAcknowledged(Actor, Done, Result);
      return;
    }
    if (IsRefused)
      return;
    ++m_UnknownOutcomes;
    Actor.m_NeedsConfirmed = true;
    if (!Done.m_Request.m_RequestId.empty() && Kind != RequestKind::Outcome)
      Actor.m_UnknownWrite = Done;
  }

  static std::vector<std::string> statementsIn(const Operation &Done) {
    if (Done.m_Request.m_Kind == RequestKind::Execute)
      return {Done.m_Request.m_Statement};
    if (Done.m_Request.m_Kind == RequestKind::Write)
      return Done.m_DurableStatements;
    return {};
  }

  void onAcknowledged(Session &Actor, const Operation &Done,
                      const RequestResult &Result) {
    Actor.m_UnknownWrite.reset();
    Actor.m_Position = std::max(Actor.m_Position, Result.m_Position);
    FakeInstance *Primary = m_Sim.primary();
    std::set<std::string> Held;
    bool IsCurrent =
        Primary != nullptr && Primary->m_SealedTerm >= Result.m_Position.m_Term;
    if (IsCurrent)
      Held = splitStatements(Primary->contents());
    for (const std::string &Text : Done.m_DurableStatements) {
      if (IsCurrent && !Held.contains(Text))
        reportViolation(
            "R2: " + Text +
            " was acknowledged but is not in the log of the primary");
      m_Acknowledged.emplace_back(m_Sim.now(), Text);
      Actor.m_Writes.insert(Text);
    }
  }

  static std::set<std::string> splitStatements(const std::string &Text) {
    std::set<std::string> Parts;
    std::istringstream In(Text);
    for (std::string Part; std::getline(In, Part, ',');)
      Parts.insert(Part);
    return Parts;
  }

  void checkRead(const Operation &Done, const RequestResult &Result) {
    if (Result.m_Error)
      return;
    size_t Bar = Result.m_Body.find('|');
    if (Result.m_Body.substr(0, Bar) != Done.m_Request.m_Statement)
      reportViolation("R8: a read received the answer of another request");
    std::set<std::string> Seen = splitStatements(Result.m_Body.substr(Bar + 1));
    ++m_ReadsChecked;
    m_ReplicaReads += Result.m_ServedByReplica ? 1 : 0;
    const ReadRequirement &Requirement = Done.m_Request.m_Requirement;
    if (Requirement.m_MaxAgeMs) {
      Time Bound = Done.m_SubmittedAt - milliseconds(*Requirement.m_MaxAgeMs);
      for (const std::pair<Time, std::string> &Entry : m_Acknowledged)
        if (Entry.first < Bound && !Seen.contains(Entry.second))
          reportViolation("a read is older than its maximum age: it lacks " +
                          Entry.second);
      return;
    }
    if (Requirement.m_ConfirmedPrimary)
      for (size_t Index = 0; Index < Done.m_AcknowledgedBefore; ++Index)
        if (!Seen.contains(m_Acknowledged[Index].second))
          reportViolation("a confirmed read lacks the acknowledged write " +
                          m_Acknowledged[Index].second);
    for (const std::string &Text : Done.m_SessionWrites)
      if (!Seen.contains(Text))
        reportViolation("R1: a session does not read its own write " + Text);
  }

  void injectFault() {
    std::string Name = randomInstance();
    Duration Length(static_cast<int64_t>(randomBelow(1'500'000)));
    size_t Owner = randomBelow(2);
    switch (randomBelow(11)) {
    case 0:
      m_Sim.kill(Name);
      m_Sim.schedule(Length, [this, Name] { m_Sim.restart(Name); });
      break;
    case 1:
      m_Sim.partitionOwner(Owner, Name);
      m_Sim.schedule(Length, [this, Name, Owner] {
        m_Sim.m_Owners[Owner]->m_UnreachableInstances.erase({Name});
      });
      break;
    case 2:
      m_Sim.m_CutFromReplication.insert({Name});
      m_Sim.schedule(
          Length, [this, Name] { m_Sim.m_CutFromReplication.erase({Name}); });
      break;
    case 3:
    case 4: // Cuts an instance off from control and from replication.
      if (chance(50) && m_Sim.primary() != nullptr)
        Name = m_Sim.primary()->m_Name.m_Value;
      m_Sim.m_CutFromReplication.insert({Name});
      m_Sim.m_CutFromControl.insert({Name});
      m_Sim.schedule(Length, [this, Name] {
        m_Sim.m_CutFromReplication.erase({Name});
        m_Sim.m_CutFromControl.erase({Name});
      });
      break;
    case 5:
      m_Sim.m_Owners[Owner]->m_IsIsolated = true;
      m_Sim.schedule(Length * 2, [this, Owner] {
        m_Sim.m_Owners[Owner]->m_IsIsolated = false;
        m_Sim.publish();
      });
      break;
    case 6:
      m_Sim.change(DrainInstance{{"db"}, {Name}, true});
      m_Sim.publish();
      m_Sim.schedule(Length, [this, Name] {
        m_Sim.change(DrainInstance{{"db"}, {Name}, false});
        m_Sim.publish();
      });
      break;
    case 7: // Cuts the primary off from control, but not from its replicas.
      if (m_Sim.primary() == nullptr)
        break;
      Name = m_Sim.primary()->m_Name.m_Value;
      m_Sim.m_CutFromControl.insert({Name});
      m_Sim.schedule(Length,
                     [this, Name] { m_Sim.m_CutFromControl.erase({Name}); });
      break;
    case 8:
    case 9:
      if (chance(50) && m_Sim.primary() != nullptr)
        Name = m_Sim.primary()->m_Name.m_Value;
      m_Sim.suspend(Name, Length);
      break;
    default:
      m_Sim.resetRandomConnection(Owner);
    }
  }

  /// Acts as the control leader: fails over when the primary does not answer.
  /// Randomly stops between the steps of a failover, as after a loss of the
  /// leader.
  void runControlLeader() {
    FakeInstance *Primary = m_Sim.primary();
    bool IsServing = Primary != nullptr && Primary->m_IsUp &&
                     !m_Sim.m_CutFromControl.contains(Primary->m_Name) &&
                     !m_Sim.record().m_Draining.contains(Primary->m_Name) &&
                     m_Sim.record().m_PrimaryTerm == Primary->m_SealedTerm &&
                     m_Sim.record().m_BegunTerm == Primary->m_SealedTerm;
    if (IsServing) {
      m_Sim.schedule(milliseconds(20), [this] { runControlLeader(); });
      return;
    }
    uint64_t Term = m_Sim.beginTerm();
    m_Sim.publish();
    m_Sim.schedule(Duration(randomBelow(50'000)), [this, Term] {
      std::vector<FakeInstance *> Sealed = m_Sim.sealAll(Term);
      if (Sealed.size() < m_Sim.record().majority() || chance(10)) {
        m_Sim.schedule(milliseconds(60), [this] { runControlLeader(); });
        return;
      }
      m_Sim.schedule(Duration(randomBelow(10'000)), [this, Sealed, Term] {
        FakeInstance *Elected = m_Sim.promote(Sealed);
        if (Elected == nullptr || chance(15)) {
          m_Sim.schedule(milliseconds(60), [this] { runControlLeader(); });
          return;
        }
        m_Sim.schedule(Duration(randomBelow(10'000)), [this, Elected] {
          m_Sim.elect(*Elected);
          m_Sim.publish();
          runControlLeader();
        });
      });
    });
  }

  void checkFinalState() {
    if (!m_Sim.m_CompletionError.empty())
      reportViolation(m_Sim.m_CompletionError);
    FakeInstance *Primary = m_Sim.primary();
    std::set<std::string> Held = splitStatements(Primary->contents());
    for (const std::pair<Time, std::string> &Entry : m_Acknowledged)
      if (!Held.contains(Entry.second))
        reportViolation("R2: the acknowledged write " + Entry.second +
                        " is lost");
    for (auto &Entry : m_Sim.m_Instances) {
      FakeInstance &Checked = *Entry.second;
      std::string All = Checked.contents();
      size_t Count =
          static_cast<size_t>(std::count(All.begin(), All.end(), ','));
      if (splitStatements(All).size() != Count)
        reportViolation("R10: a statement ran twice at " + Entry.first.m_Value);
      for (const std::string &Text : m_NotRun)
        if (Checked.m_Executed.contains(Text))
          reportViolation("R9: " + Text +
                          " ran, but the caller was told it did not");
      if (Checked.m_HasMixedTransactions)
        reportViolation("R3: a transaction has statements of two callers");
    }
    for (const std::pair<const uint64_t, Operation> &Entry : m_Operations)
      if (!Entry.second.m_IsCancelled && m_Sim.result(Entry.first) == nullptr)
        reportViolation("a request never completed");
    for (const std::pair<const InstanceName, size_t> &Entry :
         m_Sim.m_MaxOutstanding)
      if (Entry.second > m_Sim.m_Options.m_Slots + 1)
        reportViolation(
            "more than slots + 1 requests were outstanding at an instance");
  }

  Simulation m_Sim;
  std::mt19937_64 m_Random;
  std::vector<Session> m_Sessions;
  std::map<uint64_t, Operation> m_Operations;
  std::vector<std::pair<Time, std::string>> m_Acknowledged;
  std::set<std::string> m_NotRun;
  uint64_t m_StatementCount = 0;
  size_t m_UnknownOutcomes = 0;
  size_t m_ReadsChecked = 0;
  size_t m_ReplicaReads = 0;
  std::string m_Violation;
};

} // namespace almondpier::testing
