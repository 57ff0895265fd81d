#include "decision/session/Session.h"

namespace almondpier {

bool takesEffectWhenRun(const CallerSession &Session) {
  const PendingStatement &Pending = *Session.m_Pending;
  const Statement &Executed = Pending.m_Received.m_Statement;
  return (Pending.m_IsAutocommit && isWrite(Executed)) ||
         (Executed.m_Kind == StatementKind::Commit && Session.m_HasWritten);
}

} // namespace almondpier
