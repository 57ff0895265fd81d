#include "net/LibeventHandles.h"

#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace almondpier {

struct HttpClientConnection::State {
  HttpConnectionHandle m_Handle;
  std::string m_HostHeader;
  Callback m_Callback;
  std::function<void()> m_OnClose;
  size_t m_BytesDrained = 0;
  bool m_IsClosed = false;
  /// Failures are reported from the loop, because evhttp still uses the
  /// connection after some of its failure callbacks.
  EventHandle m_FailEvent;
  std::string m_FailReason;

  ~State() {
    if (m_Handle)
      evhttp_connection_set_closecb(m_Handle.get(), nullptr, nullptr);
  }

  void finish(const std::variant<HttpResponse, Failure> &Result) {
    // The callback may destroy the connection.
    Callback Done = std::move(m_Callback);
    m_Callback = nullptr;
    Done(Result);
  }

  void fail() {
    m_IsClosed = true;
    event_active(m_FailEvent.get(), 0, 0);
  }

  void reportFailure() {
    if (m_Callback) {
      finish(
          Failure{m_FailReason.empty() ? "the connection failed" : m_FailReason,
                  m_BytesDrained == 0});
      return;
    }
    std::function<void()> OnClose = std::move(m_OnClose);
    if (OnClose)
      OnClose();
  }

  void onDone(evhttp_request *Request) {
    if (Request == nullptr || evhttp_request_get_response_code(Request) == 0) {
      fail();
      return;
    }
    HttpResponse Response;
    Response.m_Status = evhttp_request_get_response_code(Request);
    const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
    for (const evkeyval *Header = Headers->tqh_first; Header != nullptr;
         Header = Header->next.tqe_next)
      Response.m_Headers.push_back(HttpHeader{Header->key, Header->value});
    evbuffer *Body = evhttp_request_get_input_buffer(Request);
    Response.m_Body.resize(evbuffer_get_length(Body));
    evbuffer_remove(Body, Response.m_Body.data(), Response.m_Body.size());
    if (hasUnreadInput())
      fail();
    finish(Response);
  }

  /// Whether bytes have arrived that no request asked for, or the stream has
  /// ended. evhttp would take them for the response to the next request.
  bool hasUnreadInput() const {
    bufferevent *Stream = evhttp_connection_get_bufferevent(m_Handle.get());
    if (evbuffer_get_length(bufferevent_get_input(Stream)) > 0)
      return true;
    evutil_socket_t Socket = bufferevent_getfd(Stream);
    if (Socket < 0)
      return false;
    char Byte = 0;
    ssize_t Received =
        ::recv(Socket, &Byte, sizeof(Byte), MSG_PEEK | MSG_DONTWAIT);
    return Received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK &&
                             errno != EINTR && errno != ENOTCONN);
  }
};

HttpClientConnection::HttpClientConnection(EventLoop &Loop,
                                           const Endpoint &Peer,
                                           Duration Timeout)
    : m_State(std::make_unique<State>()) {
  constexpr ev_ssize_t kMaxAnswerBytes = 16 << 20;
  m_State->m_HostHeader = formatEndpoint(Peer);
  bufferevent *Stream =
      bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  m_State->m_Handle.reset(evhttp_connection_base_bufferevent_new(
      Loop.base(), nullptr, Stream, Peer.m_Address.c_str(), Peer.m_Port));
  evhttp_connection *Handle = m_State->m_Handle.get();
  timeval Limit = toTimeval(Timeout);
  evhttp_connection_set_timeout_tv(Handle, &Limit);
  evhttp_connection_set_max_body_size(Handle, kMaxAnswerBytes);
  evhttp_connection_set_closecb(
      Handle,
      [](evhttp_connection * /*Closed*/, void *Context) {
        State *Self = static_cast<State *>(Context);
        Self->m_IsClosed = true;
        if (!Self->m_Callback)
          Self->fail();
      },
      m_State.get());
  m_State->m_FailEvent.reset(event_new(
      Loop.base(), -1, 0,
      [](evutil_socket_t /*Socket*/, short /*Events*/, void *Context) {
        static_cast<State *>(Context)->reportFailure();
      },
      m_State.get()));
  // evhttp fills the output buffer only once connected, so bytes drained from
  // it are bytes that may have been sent.
  evbuffer_add_cb(
      bufferevent_get_output(Stream),
      [](evbuffer * /*Buffer*/, const evbuffer_cb_info *Info, void *Context) {
        static_cast<State *>(Context)->m_BytesDrained += Info->n_deleted;
      },
      m_State.get());
}

HttpClientConnection::~HttpClientConnection() = default;

bool HttpClientConnection::isBusy() const {
  return static_cast<bool>(m_State->m_Callback);
}

void HttpClientConnection::setOnClose(std::function<void()> Callback) {
  m_State->m_OnClose = std::move(Callback);
}

void HttpClientConnection::send(const Request &Request, Callback Callback) {
  if (isBusy())
    throw Error(ErrorKind::Internal,
                "the connection carries a request already");
  m_State->m_Callback = std::move(Callback);
  m_State->m_BytesDrained = 0;
  m_State->m_FailReason.clear();
  if (m_State->m_IsClosed || m_State->hasUnreadInput()) {
    // evhttp would connect again by itself; a closed connection must not come
    // back under the same identity.
    m_State->fail();
    return;
  }
  evhttp_request *Handle = evhttp_request_new(
      [](evhttp_request *Done, void *Context) {
        static_cast<State *>(Context)->onDone(Done);
      },
      m_State.get());
  evhttp_request_set_error_cb(
      Handle, [](evhttp_request_error Kind, void *Context) {
        static_cast<State *>(Context)->m_FailReason =
            Kind == EVREQ_HTTP_TIMEOUT ? "no answer in time"
                                       : "the connection was closed";
      });
  evkeyvalq *Headers = evhttp_request_get_output_headers(Handle);
  evhttp_add_header(Headers, "Host", m_State->m_HostHeader.c_str());
  for (const HttpHeader &Header : Request.m_Headers)
    evhttp_add_header(Headers, Header.m_Name.c_str(), Header.m_Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Handle), Request.m_Body.data(),
               Request.m_Body.size());
  evhttp_cmd_type Command =
      Request.m_Method == HttpMethod::Post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
  if (evhttp_make_request(m_State->m_Handle.get(), Handle, Command,
                          Request.m_Target.c_str()) != 0)
    m_State->fail();
}

} // namespace almondpier
