// Blocking HTTP/1.1 over loopback sockets: messages, a client call and a server
// with one thread per connection.
#ifndef REVIEW_HARNESS_NET_H
#define REVIEW_HARNESS_NET_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Address {
  std::string Ip;
  int Port = 0;

  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpMessage {
  // "GET /path HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string StartLine;
  Headers Fields;
  std::string Body;

  // Value of the first field with this name, or "".
  std::string field(const std::string &Name) const;
  bool hasField(const std::string &Name) const;
  // Requests only.
  std::string method() const;
  std::string target() const;
  // Responses only; 0 if there is none.
  int status() const;
};

// A connected socket with a read buffer. Closes the socket when destroyed.
class Stream {
public:
  explicit Stream(int Socket);
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;
  ~Stream();

  // Different for each connection of this process.
  std::uint64_t id() const { return this->Id; }
  bool write(const std::string &Bytes) const;
  // Reads one message; a body needs a Content-Length or chunks. False at the
  // end of the connection, after an error, and after Deadline.
  bool read(HttpMessage &Message, Clock::time_point Deadline);
  // Closes with a reset.
  void reset();

private:
  bool fill(Clock::time_point Deadline);
  bool readLine(std::string &Line, Clock::time_point Deadline);
  bool readBytes(std::string &To, std::size_t Count, Clock::time_point Deadline);

  int Socket;
  std::uint64_t Id;
  std::string Buffer;
};

// Connects from the local address From, or any if From is empty; -1 on failure.
int connectTo(const Address &To, const std::string &From, Millis Timeout);

// Sends one request on a new connection. False if there was no complete answer.
bool call(const Address &To, const std::string &StartLine,
          const Headers &Fields, const std::string &Body, Millis Timeout,
          HttpMessage &Answer, const std::string &From = "");

std::string formatResponse(int Status, const Headers &Fields,
                           const std::string &Body);

// Listens on At and runs Handler on a thread for each connection.
class Server {
public:
  using Handler = std::function<void(Stream &)>;

  // Throws if the address is in use.
  Server(const Address &At, Handler OnConnection);
  // Accepts no more connections; open ones go on.
  void close();

private:
  int Listener;
};

// Finds Count ports that are free on all of the addresses.
std::vector<int> findFreePorts(const std::vector<std::string> &Ips, int Count);

} // namespace review

#endif // REVIEW_HARNESS_NET_H
