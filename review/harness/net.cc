// Sockets, parsing and formatting.
#include "net.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <random>
#include <stdexcept>
#include <strings.h>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

sockaddr_in socketAddress(const std::string &Ip, int Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Result.sin_addr);
  return Result;
}

int bindListener(const std::string &Ip, int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Enable = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof Enable);
  sockaddr_in At = socketAddress(Ip, Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&At), sizeof At) != 0 ||
      listen(Socket, 256) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

int millisUntil(Clock::time_point Deadline) {
  auto Left = std::chrono::ceil<Millis>(Deadline - Clock::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(Left, 0, 1'000'000));
}

} // namespace

std::string HttpMessage::field(const std::string &Name) const {
  for (const auto &[Key, Value] : this->Fields)
    if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  return "";
}

bool HttpMessage::hasField(const std::string &Name) const {
  return std::any_of(
      this->Fields.begin(), this->Fields.end(), [&](const auto &Field) {
        return strcasecmp(Field.first.c_str(), Name.c_str()) == 0;
      });
}

std::string HttpMessage::method() const {
  return this->StartLine.substr(0, this->StartLine.find(' '));
}

std::string HttpMessage::target() const {
  std::size_t Start = this->StartLine.find(' ');
  if (Start == std::string::npos)
    return "";
  return this->StartLine.substr(Start + 1,
                                this->StartLine.rfind(' ') - Start - 1);
}

int HttpMessage::status() const {
  std::size_t Start = this->StartLine.find(' ');
  return Start == std::string::npos
             ? 0
             : std::atoi(this->StartLine.c_str() + Start + 1);
}

Stream::Stream(int Socket) : Socket(Socket) {
  static std::atomic<std::uint64_t> LastId{0};
  this->Id = ++LastId;
}

Stream::~Stream() { ::close(this->Socket); }

bool Stream::write(const std::string &Bytes) const {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count = send(this->Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                         MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

void Stream::reset() {
  linger Option{1, 0};
  setsockopt(this->Socket, SOL_SOCKET, SO_LINGER, &Option, sizeof Option);
}

bool Stream::fill(Clock::time_point Deadline) {
  pollfd Poll{this->Socket, POLLIN, 0};
  if (poll(&Poll, 1, millisUntil(Deadline)) <= 0)
    return false;
  char Bytes[65536];
  ssize_t Count = recv(this->Socket, Bytes, sizeof Bytes, 0);
  if (Count <= 0)
    return false;
  this->Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

bool Stream::readLine(std::string &Line, Clock::time_point Deadline) {
  std::size_t End;
  while ((End = this->Buffer.find("\r\n")) == std::string::npos)
    if (!this->fill(Deadline))
      return false;
  Line = this->Buffer.substr(0, End);
  this->Buffer.erase(0, End + 2);
  return true;
}

bool Stream::readBytes(std::string &To, std::size_t Count,
                       Clock::time_point Deadline) {
  while (this->Buffer.size() < Count)
    if (!this->fill(Deadline))
      return false;
  To.append(this->Buffer, 0, Count);
  this->Buffer.erase(0, Count);
  return true;
}

bool Stream::read(HttpMessage &Message, Clock::time_point Deadline) {
  Message = {};
  if (!this->readLine(Message.StartLine, Deadline))
    return false;
  std::string Line;
  while (true) {
    if (!this->readLine(Line, Deadline))
      return false;
    if (Line.empty())
      break;
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      return false;
    std::size_t Start = Line.find_first_not_of(' ', Colon + 1);
    Message.Fields.emplace_back(
        Line.substr(0, Colon),
        Start == std::string::npos ? "" : Line.substr(Start));
  }
  if (Message.hasField("Transfer-Encoding")) {
    while (true) {
      if (!this->readLine(Line, Deadline))
        return false;
      std::size_t Size = std::strtoul(Line.c_str(), nullptr, 16);
      if (!this->readBytes(Message.Body, Size, Deadline) ||
          !this->readLine(Line, Deadline))
        return false;
      if (Size == 0)
        return true;
    }
  }
  std::size_t Length =
      std::strtoul(Message.field("Content-Length").c_str(), nullptr, 10);
  return this->readBytes(Message.Body, Length, Deadline);
}

int connectTo(const Address &To, const std::string &From, Millis Timeout) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Enable = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof Enable);
  if (!From.empty()) {
    sockaddr_in Local = socketAddress(From, 0);
    bind(Socket, reinterpret_cast<sockaddr *>(&Local), sizeof Local);
  }
  int Flags = fcntl(Socket, F_GETFL);
  fcntl(Socket, F_SETFL, Flags | O_NONBLOCK);
  sockaddr_in Remote = socketAddress(To.Ip, To.Port);
  int Code =
      connect(Socket, reinterpret_cast<sockaddr *>(&Remote), sizeof Remote);
  if (Code != 0 && errno == EINPROGRESS) {
    pollfd Poll{Socket, POLLOUT, 0};
    int Error = ETIMEDOUT;
    socklen_t Size = sizeof Error;
    if (poll(&Poll, 1, static_cast<int>(Timeout.count())) == 1)
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
    Code = Error;
  }
  if (Code != 0) {
    ::close(Socket);
    return -1;
  }
  fcntl(Socket, F_SETFL, Flags);
  return Socket;
}

bool call(const Address &To, const std::string &StartLine,
          const Headers &Fields, const std::string &Body, Millis Timeout,
          HttpMessage &Answer, const std::string &From) {
  Answer = {};
  Clock::time_point Deadline = Clock::now() + Timeout;
  int Socket = connectTo(To, From, Timeout);
  if (Socket < 0)
    return false;
  Stream Connection(Socket);
  std::string Text = StartLine + "\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  if (!Body.empty() || StartLine.starts_with("POST"))
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "Connection: close\r\n\r\n" + Body;
  return Connection.write(Text) && Connection.read(Answer, Deadline);
}

std::string formatResponse(int Status, const Headers &Fields,
                           const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " " +
                     (Status < 300 ? "OK" : "Error") + "\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  return Text + Body;
}

Server::Server(const Address &At, Handler OnConnection)
    : Listener(bindListener(At.Ip, At.Port)) {
  if (this->Listener < 0)
    throw std::runtime_error("cannot listen on " + At.text());
  std::thread([Listener = this->Listener, OnConnection] {
    while (true) {
      int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      int Enable = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof Enable);
      std::thread([Socket, OnConnection] {
        Stream Connection(Socket);
        OnConnection(Connection);
      }).detach();
    }
  }).detach();
}

void Server::close() { shutdown(this->Listener, SHUT_RDWR); }

std::vector<int> findFreePorts(const std::vector<std::string> &Ips,
                               int Count) {
  std::random_device Random;
  std::vector<int> Found;
  for (int Tries = 0; Tries < 2000 && std::ssize(Found) < Count; ++Tries) {
    int Port = 20000 + static_cast<int>(Random() % 10000);
    bool Free = std::find(Found.begin(), Found.end(), Port) == Found.end();
    for (const std::string &Ip : Ips) {
      int Socket = Free ? bindListener(Ip, Port) : -1;
      Free = Socket >= 0;
      if (Free)
        ::close(Socket);
    }
    if (Free)
      Found.push_back(Port);
  }
  if (std::ssize(Found) < Count)
    throw std::runtime_error("no free ports");
  return Found;
}

} // namespace review
