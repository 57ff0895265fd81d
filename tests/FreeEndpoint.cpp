#include "FreeEndpoint.h"

#include <set>
#include <stdexcept>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondpier {

static uint16_t freePort() {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  sockaddr *Generic = reinterpret_cast<sockaddr *>(&Address);
  bool IsBound = ::bind(Socket, Generic, Length) == 0 &&
                 ::getsockname(Socket, Generic, &Length) == 0;
  ::close(Socket);
  if (!IsBound)
    throw std::runtime_error("no free port on loopback");
  return ntohs(Address.sin_port);
}

Endpoint freeEndpoint() {
  // The system may choose a port that it has chosen before, because nobody
  // listens on it yet.
  static std::set<uint16_t> Returned;
  uint16_t Port = freePort();
  while (!Returned.insert(Port).second)
    Port = freePort();
  return Endpoint{"127.0.0.1", Port};
}

} // namespace almondpier
