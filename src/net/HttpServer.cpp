#include "net/LibeventHandles.h"

#include <cstdlib>
#include <cstring>
#include <unordered_map>

#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <sys/queue.h>

namespace almondpier {

static std::string_view findHeader(const std::vector<HttpHeader> &Headers,
                                   std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (Header.m_Name.size() == Name.size() &&
        ::strncasecmp(Header.m_Name.data(), Name.data(), Name.size()) == 0)
      return Header.m_Value;
  return {};
}

std::string_view HttpServerRequest::header(std::string_view Name) const {
  return findHeader(m_Headers, Name);
}
std::string_view HttpResponse::header(std::string_view Name) const {
  return findHeader(m_Headers, Name);
}

std::string HttpServerRequest::queryValue(std::string_view Name) const {
  evkeyvalq Values{};
  if (evhttp_parse_query_str(m_Query.c_str(), &Values) != 0)
    return {};
  const char *Found = evhttp_find_header(&Values, std::string(Name).c_str());
  std::string Result = Found == nullptr ? "" : Found;
  evhttp_clear_headers(&Values);
  return Result;
}

std::string decodePathSegment(std::string_view Encoded) {
  size_t Bytes = 0;
  std::unique_ptr<char, decltype(&std::free)> Decoded(
      evhttp_uridecode(std::string(Encoded).c_str(), 0, &Bytes), &std::free);
  if (!Decoded)
    throw std::bad_alloc();
  return std::string(Decoded.get(), Bytes);
}

static HttpMethod methodOf(evhttp_request *Request) {
  switch (evhttp_request_get_command(Request)) {
  case EVHTTP_REQ_GET:
    return HttpMethod::Get;
  case EVHTTP_REQ_POST:
    return HttpMethod::Post;
  default:
    return HttpMethod::Other;
  }
}

static std::vector<HttpHeader> copyHeaders(const evkeyvalq *Source) {
  std::vector<HttpHeader> Headers;
  for (const evkeyval *Entry = Source->tqh_first; Entry != nullptr;
       Entry = Entry->next.tqe_next)
    Headers.push_back(HttpHeader{Entry->key, Entry->value});
  return Headers;
}

static std::string copyBody(evbuffer *Source) {
  std::string Body(evbuffer_get_length(Source), '\0');
  evbuffer_copyout(Source, Body.data(), Body.size());
  return Body;
}

struct HttpServer::State {
  struct Connection {
    HttpConnectionId m_Id;
    evhttp_connection *m_Handle = nullptr;
    std::vector<HttpRequestId> m_Requests;
  };

  HttpServerLimits m_Limits;
  Callbacks m_Callbacks;
  HttpHandle m_Server;
  evhttp_bound_socket *m_Socket = nullptr;
  uint64_t m_LastId = 0;
  std::unordered_map<evhttp_connection *, Connection> m_Connections;
  std::unordered_map<uint64_t, evhttp_connection *> m_ConnectionById;
  std::unordered_map<uint64_t, evhttp_request *> m_Requests;

  void handle(evhttp_request *Request) {
    evhttp_connection *Handle = evhttp_request_get_connection(Request);
    Connection *Known = connectionOf(Handle);
    if (Known == nullptr) {
      evhttp_add_header(evhttp_request_get_output_headers(Request),
                        "Connection", "close");
      evhttp_send_reply(Request, 503, nullptr, nullptr);
      return;
    }
    HttpServerRequest Received;
    Received.m_Id = HttpRequestId{++m_LastId};
    Received.m_Connection = Known->m_Id;
    Received.m_Method = methodOf(Request);
    const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
    const char *Path = evhttp_uri_get_path(Uri);
    const char *Query = evhttp_uri_get_query(Uri);
    Received.m_Path = Path == nullptr ? "" : Path;
    Received.m_Query = Query == nullptr ? "" : Query;
    Received.m_Headers = copyHeaders(evhttp_request_get_input_headers(Request));
    Received.m_Body = copyBody(evhttp_request_get_input_buffer(Request));
    watchForClose(Handle);
    m_Requests.emplace(Received.m_Id.m_Value, Request);
    Known->m_Requests.push_back(Received.m_Id);
    m_Callbacks.m_OnRequest(std::move(Received));
  }

  Connection *connectionOf(evhttp_connection *Handle) {
    auto Found = m_Connections.find(Handle);
    if (Found != m_Connections.end())
      return &Found->second;
    if (m_Limits.m_MaxConnections != 0 &&
        m_Connections.size() >= m_Limits.m_MaxConnections)
      return nullptr;
    bufferevent *Stream = evhttp_connection_get_bufferevent(Handle);
    disableNagle(bufferevent_getfd(Stream));
    evhttp_connection_set_closecb(
        Handle,
        [](evhttp_connection *Closed, void *Context) {
          static_cast<State *>(Context)->forget(Closed);
        },
        this);
    Connection &Added = m_Connections[Handle];
    Added.m_Id = HttpConnectionId{++m_LastId};
    Added.m_Handle = Handle;
    m_ConnectionById.emplace(Added.m_Id.m_Value, Handle);
    return &Added;
  }

  /// evhttp stops reading while a request waits for its answer, so it would
  /// not notice that the caller is gone. Reading goes on with a low watermark
  /// that no input reaches: only the end of the stream calls back, and
  /// pipelined input stays in the buffer, where evhttp finds it later.
  static void watchForClose(evhttp_connection *Handle) {
    constexpr size_t kNeverReached = size_t{1} << 30U;
    constexpr size_t kMaxPipelinedBytes = size_t{64} << 10U;
    bufferevent *Stream = evhttp_connection_get_bufferevent(Handle);
    bufferevent_setwatermark(Stream, EV_READ, kNeverReached,
                             kMaxPipelinedBytes);
    bufferevent_enable(Stream, EV_READ);
  }

  static void endWatch(evhttp_connection *Handle) {
    bufferevent *Stream = evhttp_connection_get_bufferevent(Handle);
    bufferevent_disable(Stream, EV_READ);
    bufferevent_setwatermark(Stream, EV_READ, 0, 0);
  }

  void forget(evhttp_connection *Handle) {
    auto Found = m_Connections.find(Handle);
    if (Found == m_Connections.end())
      return;
    Connection Closed = std::move(Found->second);
    m_Connections.erase(Found);
    m_ConnectionById.erase(Closed.m_Id.m_Value);
    for (const HttpRequestId &Request : Closed.m_Requests) {
      auto Open = m_Requests.find(Request.m_Value);
      // evhttp leaves a request that it detached from its connection to us.
      if (evhttp_request_get_connection(Open->second) == nullptr)
        evhttp_request_free(Open->second);
      m_Requests.erase(Open);
    }
    if (m_Callbacks.m_OnClose)
      m_Callbacks.m_OnClose(Closed.m_Id);
  }
};

HttpServer::HttpServer(EventLoop &Loop, const Endpoint &Local,
                       HttpServerLimits Limits, Callbacks Callbacks)
    : m_State(std::make_unique<State>()) {
  constexpr int kMillisecondsPerSecond = 1'000;
  m_State->m_Limits = Limits;
  m_State->m_Callbacks = std::move(Callbacks);
  m_State->m_Server.reset(evhttp_new(Loop.base()));
  evhttp *Server = m_State->m_Server.get();
  evhttp_set_allowed_methods(Server, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                         EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                         EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH);
  evhttp_set_max_headers_size(Server,
                              static_cast<ev_ssize_t>(Limits.m_MaxHeaderBytes));
  // evhttp answers a larger body by itself, with a page of its own. Up to twice
  // the limit the program answers with its typed error.
  evhttp_set_max_body_size(Server,
                           static_cast<ev_ssize_t>(2 * Limits.m_MaxBodyBytes));
  evhttp_set_timeout(Server, static_cast<int>(Limits.m_IdleTimeoutMs /
                                              kMillisecondsPerSecond));
  evhttp_set_gencb(
      Server,
      [](evhttp_request *Request, void *Context) {
        static_cast<State *>(Context)->handle(Request);
      },
      m_State.get());
  m_State->m_Socket = evhttp_bind_socket_with_handle(
      Server, Local.m_Address.c_str(), Local.m_Port);
  if (m_State->m_Socket == nullptr)
    throw Error(ErrorKind::BadRequest,
                "cannot listen on " + formatEndpoint(Local) + " (" +
                    std::strerror(errno) +
                    "); choose a free port of this host");
}

HttpServer::~HttpServer() {
  // Closing connections below must not call back into an owner that is being
  // destroyed.
  m_State->m_Callbacks = {};
}

void HttpServer::reply(HttpRequestId Request, const HttpResponse &Response) {
  auto Found = m_State->m_Requests.find(Request.m_Value);
  if (Found == m_State->m_Requests.end())
    return;
  evhttp_request *Handle = Found->second;
  m_State->m_Requests.erase(Found);
  std::vector<HttpRequestId> &Open =
      m_State->m_Connections.at(evhttp_request_get_connection(Handle))
          .m_Requests;
  std::erase(Open, Request);
  State::endWatch(evhttp_request_get_connection(Handle));
  evkeyvalq *Headers = evhttp_request_get_output_headers(Handle);
  for (const HttpHeader &Header : Response.m_Headers)
    evhttp_add_header(Headers, Header.m_Name.c_str(), Header.m_Value.c_str());
  evbuffer *Body = evhttp_request_get_output_buffer(Handle);
  evbuffer_add(Body, Response.m_Body.data(), Response.m_Body.size());
  evhttp_send_reply(Handle, Response.m_Status, nullptr, nullptr);
}

void HttpServer::close(HttpConnectionId Connection) {
  auto Found = m_State->m_ConnectionById.find(Connection.m_Value);
  if (Found != m_State->m_ConnectionById.end())
    evhttp_connection_free(Found->second);
}

void HttpServer::stopAccepting() {
  if (m_State->m_Socket == nullptr)
    return;
  evhttp_del_accept_socket(m_State->m_Server.get(), m_State->m_Socket);
  m_State->m_Socket = nullptr;
}

size_t HttpServer::requestsInFlight() const {
  return m_State->m_Requests.size();
}
size_t HttpServer::connections() const { return m_State->m_Connections.size(); }

} // namespace almondpier
