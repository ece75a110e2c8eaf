#include "http/QuietSocket.h"

#include <sys/socket.h>

#include <cerrno>

namespace carawaypond::http {

bool isQuiet(int Socket) {
  char Byte = 0;
  ssize_t Got = ::recv(Socket, &Byte, sizeof(Byte), MSG_PEEK | MSG_DONTWAIT);
  return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace carawaypond::http
