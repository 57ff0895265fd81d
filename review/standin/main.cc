// Plays one case of the review: standin CASE REPOSITORY FOLDER RECORD TROUBLE.
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
// run.
#include "cases.hh"

int main(int Count, char **Arguments) {
  constexpr int kHeld = 0;
  constexpr int kBroken = 1;
  constexpr int kNotRun = 2;
  constexpr int kArguments = 6;
  if (Count != kArguments) {
    std::fprintf(stderr,
                 "usage: standin CASE REPOSITORY FOLDER RECORD TROUBLE\n");
    return kNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::string Name = Arguments[1];
  bool HasTrouble = std::string(Arguments[5]) != "0";
  static Record Log(Arguments[4]);
  auto Found = cases().find(Name);
  if (Found == cases().end())
    return kNotRun;
  const Case &Chosen = Found->second;
  // Threads of the stand-ins use the world until the process ends.
  World &Played =
      *new World(Log, Arguments[2], Arguments[3], Chosen.m_Settings);
  if (Chosen.m_Prepare)
    Chosen.m_Prepare(Played);
  int Result = kNotRun;
  if (Played.problem().empty() && Played.start()) {
    Log.line("case", Name + (HasTrouble ? " with" : " without") +
                         " the disruption begins");
    std::optional<bool> IsBroken = Chosen.m_Play(Played, Log, HasTrouble);
    if (IsBroken)
      Result = *IsBroken ? kBroken : kHeld;
  }
  if (!Played.problem().empty())
    Log.line("case", "could not run: " + Played.problem());
  Played.stop();
  Log.line("case", Result == kBroken ? "the rule was broken"
                   : Result == kHeld ? "the rule held"
                                     : "not run");
  std::_Exit(Result);
}
