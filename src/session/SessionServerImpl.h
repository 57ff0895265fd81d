/// \file
/// Member function definitions of SessionServer. Only its public header
/// includes this file.
#pragma once

#include "decision/Invariant.h"
#include "proxy/ProxyStart.h"

#include <cstdlib>
#include <utility>

namespace almondpier {

template <LineFormat Format>
SessionServer<Format>::SessionServer(EventLoop &Loop,
                                     const SessionServerSettings &Settings)
    : m_Loop(Loop), m_Settings(Settings),
      m_Core(makeOptions(Settings), Settings.m_Limits, Loop.now()),
      m_Links(
          Loop, FleetSecret{Settings.m_FleetSecret},
          Settings.m_Host.m_ForwardEndpoint,
          [this](ProxyEvent Event) { dispatchLinkEvent(std::move(Event)); }),
      m_Listener(Loop, Settings.m_Listen, Settings.m_CallerLimits,
                 [this](std::unique_ptr<LineStream> Stream) {
                   accept(std::move(Stream));
                 }),
      m_Health(
          Loop, Settings.m_Health, HttpServerLimits(),
          {[this](const HttpServerRequest &Request) { handle(Request); }, {}}),
      m_Tick(Loop, kTickInterval, [this] { tick(); }) {
  writeLog(LogLevel::Info, "listening for sessions on " +
                               formatEndpoint(Settings.m_Listen) +
                               " and for health probes and metrics on " +
                               formatEndpoint(Settings.m_Health));
}

template <LineFormat Format>
ProxyOptions
SessionServer<Format>::makeOptions(const SessionServerSettings &Settings) {
  ProxyOptions Options = makeProxyOptions(
      Settings.m_Host, Settings.m_FleetSecret, Settings.m_Control);
  Options.m_Capacity = Settings.m_Capacity;
  return Options;
}

template <LineFormat Format>
void SessionServer<Format>::accept(std::unique_ptr<LineStream> Stream) {
  SessionId Id{++m_LastSession};
  Stream->setCallbacks(
      {{},
       [this, Id](std::string_view Line) { onCallerLine(Id, Line); },
       [this, Id](const std::string & /*Reason*/) {
         closeCaller(Id);
         dispatch(SessionEnded{Id});
       }});
  m_Callers[Id.m_Value] = Caller{
      std::move(Stream), m_Loop.now(), false, m_Loop.now(), 0, std::nullopt};
}

template <LineFormat Format>
void SessionServer<Format>::onCallerLine(SessionId Id, std::string_view Line) {
  auto Found = m_Callers.find(Id.m_Value);
  if (Found == m_Callers.end() || Found->second.m_ClosingSince)
    return;
  CallerLine Parsed = Format::parseCallerLine(Line);
  Caller &Sender = Found->second;
  if (OpenLine *Open = std::get_if<OpenLine>(&Parsed);
      Open != nullptr && !Sender.m_HasOpened) {
    Sender.m_HasOpened = true;
    return dispatch(SessionOpened{Id, Open->m_Route, Open->m_Key});
  }
  Statement *Sent = std::get_if<Statement>(&Parsed);
  Sender.m_LastLineAt = m_Loop.now();
  if (Sent != nullptr && Sender.m_HasOpened) {
    ++Sender.m_Outstanding;
    return dispatch(StatementReceived{Id, std::move(*Sent)});
  }
  // While a statement is outstanding, the caller would take the error for the
  // reply to it.
  if (!std::holds_alternative<EndLine>(Parsed) && Sender.m_Outstanding == 0)
    Sender.m_Stream->write(Format::formatRefused(SessionError::Malformed));
  closeCaller(Id);
  dispatch(SessionEnded{Id});
}

template <LineFormat Format>
void SessionServer<Format>::closeCaller(SessionId Id) {
  auto Found = m_Callers.find(Id.m_Value);
  if (Found == m_Callers.end() || Found->second.m_ClosingSince)
    return;
  Found->second.m_Stream->closeAfterWriting();
  if (!Found->second.m_Stream->isFinished()) {
    Found->second.m_ClosingSince = m_Loop.now();
    return;
  }
  m_ClosedStreams.push_back(std::move(Found->second.m_Stream));
  m_Callers.erase(Found);
}

template <LineFormat Format>
void SessionServer<Format>::onInstanceLine(ConnectionId Id,
                                           std::string_view Line) {
  auto Found = m_Instances.find(Id.m_Value);
  if (Found == m_Instances.end())
    return;
  Instance &Peer = Found->second;
  InstanceLine Parsed = Format::parseInstanceLine(Line);
  // A reply is any number of rows, one result and the state.
  bool IsExpected =
      std::holds_alternative<ReadyLine>(Parsed) ||
      (!Peer.m_HasResult &&
       (std::holds_alternative<ErrorLine>(Parsed) ||
        (Peer.m_IsConnected && !std::holds_alternative<InvalidLine>(Parsed))));
  if (!IsExpected)
    return dispatch(InstanceReplyInvalid{Id, ReplyDefect::InvalidLine});
  if (RowLine *Row = std::get_if<RowLine>(&Parsed)) {
    // The rows of a reply that is too large are read and dropped.
    Peer.m_ReplyBytes += Row->m_Row.size() + kRowOverheadBytes;
    if (Peer.m_ReplyBytes <= kMaxReplyBytes)
      Peer.m_Reply.m_Rows.push_back(std::move(Row->m_Row));
    else
      Peer.m_Reply.m_Rows.clear();
  } else if (CompleteLine *Complete = std::get_if<CompleteLine>(&Parsed)) {
    Peer.m_HasResult = true;
    Peer.m_Reply.m_Receipt = std::move(Complete->m_Receipt);
  } else if (ErrorLine *Failure = std::get_if<ErrorLine>(&Parsed)) {
    if (!Peer.m_IsConnected)
      return dispatch(InstanceRefused{Id, Failure->m_Error});
    Peer.m_HasResult = true;
    Peer.m_Reply.m_Error = Failure->m_Error;
    Peer.m_Reply.m_ErrorText = std::move(Failure->m_Text);
  } else if (ReadyLine *Ready = std::get_if<ReadyLine>(&Parsed)) {
    onInstanceReady(Id, Peer, *Ready);
  }
}

template <LineFormat Format>
void SessionServer<Format>::onInstanceReady(ConnectionId Id, Instance &Peer,
                                            const ReadyLine &Ready) {
  if (!Peer.m_IsConnected) {
    Peer.m_IsConnected = true;
    return dispatch(InstanceConnected{Id, Ready.m_Position});
  }
  StatementReply Reply = std::exchange(Peer.m_Reply, StatementReply());
  size_t Bytes = std::exchange(Peer.m_ReplyBytes, 0);
  if (!std::exchange(Peer.m_HasResult, false))
    return dispatch(InstanceReplyInvalid{
        Id, Bytes == 0 ? ReplyDefect::NoResult : ReplyDefect::InvalidLine});
  // Only a statement with a receipt has rows.
  if (Bytes > kMaxReplyBytes && !Reply.m_Error && Reply.m_Receipt.empty())
    return dispatch(InstanceReplyInvalid{Id, ReplyDefect::InvalidLine});
  // The receipt stays, because it tells a copy of the reply.
  if (Bytes > kMaxReplyBytes && !Reply.m_Error) {
    Reply.m_Rows.clear();
    Reply.m_Error = SessionError::TooLarge;
    Reply.m_ErrorText = "the result exceeds the size limit";
  }
  Reply.m_State = Ready.m_State;
  Reply.m_Position = Ready.m_Position;
  dispatch(InstanceReplied{Id, std::move(Reply)});
}

template <LineFormat Format>
void SessionServer<Format>::execute(const AcceptSession &Action) {
  auto Found = m_Callers.find(Action.m_Session.m_Value);
  if (Found != m_Callers.end())
    Found->second.m_Stream->write(Format::formatAccepted());
}

template <LineFormat Format>
void SessionServer<Format>::execute(const RefuseSession &Action) {
  auto Found = m_Callers.find(Action.m_Session.m_Value);
  if (Found == m_Callers.end())
    return;
  Found->second.m_Stream->write(Format::formatRefused(Action.m_Error));
  closeCaller(Action.m_Session);
}

template <LineFormat Format>
void SessionServer<Format>::execute(const ReplyToStatement &Action) {
  auto Found = m_Callers.find(Action.m_Session.m_Value);
  if (Found == m_Callers.end())
    return;
  m_StatementLatency.record(m_Loop.now() - Found->second.m_LastLineAt);
  --Found->second.m_Outstanding;
  Found->second.m_Stream->write(Format::formatReply(Action.m_Reply));
}

template <LineFormat Format>
void SessionServer<Format>::execute(const OpenInstanceConnection &Action) {
  ConnectionId Id = Action.m_Connection;
  std::unique_ptr<LineStream> Stream = LineStream::connect(
      m_Loop, Action.m_Endpoint, m_Settings.m_InstanceLimits,
      {{},
       [this, Id](std::string_view Line) { onInstanceLine(Id, Line); },
       [this, Id](const std::string & /*Reason*/) {
         dispatch(ConnectionClosed{Id});
       }});
  Stream->write(Format::formatOpen(Action));
  m_Instances[Id.m_Value] = Instance{std::move(Stream), false, false, 0, {}};
}

template <LineFormat Format>
void SessionServer<Format>::execute(const SendToInstance &Action) {
  auto Found = m_Instances.find(Action.m_Connection.m_Value);
  if (Found == m_Instances.end())
    return;
  Instance &Peer = Found->second;
  // Part of a reply that came before the statement is none of its own.
  Peer.m_Reply = StatementReply();
  Peer.m_ReplyBytes = 0;
  Peer.m_HasResult = false;
  Peer.m_Stream->write(
      Format::formatStatement(Action.m_Statement, Action.m_MinPosition));
}

template <LineFormat Format>
void SessionServer<Format>::execute(const CloseConnection &Action) {
  auto Found = m_Instances.find(Action.m_Connection.m_Value);
  if (Found == m_Instances.end())
    return;
  Found->second.m_Stream->reset();
  m_ClosedStreams.push_back(std::move(Found->second.m_Stream));
  m_Instances.erase(Found);
}

template <LineFormat Format>
void SessionServer<Format>::execute(const ReportDecision &Action) {
  if (m_LogRateLimiter.tryAcquire(m_Loop.now(), Action.m_IsFailure))
    writeLog(Action.m_IsFailure ? LogLevel::Warning : LogLevel::Info,
             Action.m_Text);
}

template <LineFormat Format> void SessionServer<Format>::tick() {
  m_ClosedStreams.clear();
  m_Links.destroyClosedLinks();
  Time Now = m_Loop.now();
  std::vector<SessionId> Unopened;
  for (auto It = m_Callers.begin(); It != m_Callers.end();) {
    Caller &Peer = It->second;
    bool IsDone =
        Peer.m_ClosingSince && (Peer.m_Stream->isFinished() ||
                                Now - *Peer.m_ClosingSince >= kCloseTimeout);
    if (!Peer.m_HasOpened && !Peer.m_ClosingSince &&
        Now - Peer.m_ConnectedAt >= m_Settings.m_OpenTimeout)
      Unopened.push_back(SessionId{It->first});
    It = IsDone ? m_Callers.erase(It) : std::next(It);
  }
  for (SessionId Id : Unopened)
    closeCaller(Id);
  if (uint64_t Dropped = m_LogRateLimiter.takeDroppedCount(Now))
    writeLog(LogLevel::Warning,
             std::to_string(Dropped) +
                 " log lines about requests were dropped by the rate limit");
  dispatch(Tick());
}

template <LineFormat Format>
void SessionServer<Format>::dispatchLinkEvent(ProxyEvent Event) {
  if (LinkOpened *Opened = std::get_if<LinkOpened>(&Event))
    dispatch(*Opened);
  else if (LinkClosed *Closed = std::get_if<LinkClosed>(&Event))
    dispatch(std::move(*Closed));
  else if (MessageReceived *Received = std::get_if<MessageReceived>(&Event))
    dispatch(std::move(*Received));
}

template <LineFormat Format>
void SessionServer<Format>::dispatch(SessionEvent Event) {
  m_Events.push_back(std::move(Event));
  if (m_IsDispatching)
    return;
  m_IsDispatching = true;
  try {
    while (!m_Events.empty()) {
      SessionEvent Next = std::move(m_Events.front());
      m_Events.pop_front();
      SessionActions Actions;
      ProxyActions ControlActions;
      m_Core.handle(Next, m_Loop.now(), Actions, ControlActions);
      for (const SessionAction &Action : Actions)
        std::visit([this](const auto &Typed) { execute(Typed); }, Action);
      for (const ProxyAction &Action : ControlActions)
        std::visit([this](const auto &Typed) { execute(Typed); }, Action);
    }
  } catch (const std::exception &Failure) {
    // The state may be inconsistent, and an exception must not propagate
    // through libevent.
    writeLog(LogLevel::Error, Failure.what());
    std::_Exit(EXIT_FAILURE);
  }
  m_IsDispatching = false;
}

template <LineFormat Format>
void SessionServer<Format>::handle(const HttpServerRequest &Request) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  HttpResponse Response;
  Response.m_Status = kNotFound;
  if (Request.m_Path == m_Settings.m_ReadyPath)
    Response.m_Status = m_Core.isReady(m_Loop.now()) ? kOk : kUnavailable;
  if (Request.m_Path == "/metrics")
    Response = HttpResponse{
        kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics()};
  m_Health.reply(Request.m_Id, Response);
}

template <LineFormat Format>
std::string SessionServer<Format>::metrics() const {
  CounterList Counters = m_Core.counters();
  for (const CounterList &Part : {m_Links.counters(), processCounters()})
    Counters.insert(Counters.end(), Part.begin(), Part.end());
  return formatCounters(Counters) +
         formatHistogram("almondpier_statement_seconds",
                         "Time from a statement to its answer",
                         m_StatementLatency);
}

} // namespace almondpier
