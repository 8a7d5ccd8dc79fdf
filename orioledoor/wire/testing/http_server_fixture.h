// Test fixture with an HTTP server and callers that use raw sockets.
#ifndef ORIOLEDOOR_WIRE_TESTING_HTTP_SERVER_FIXTURE_H
#define ORIOLEDOOR_WIRE_TESTING_HTTP_SERVER_FIXTURE_H

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include "orioledoor/wire/http_server.h"
#include "orioledoor/wire/testing/loop.h"

namespace orioledoor::wire::testing {

// Uses a server that answers immediately with the target of the request, except
// for targets that start with "/hold", whose requests stay open.
class HttpServerFixture : public CppUnit::TestFixture {
public:
  void setUp() override {
    this->HeldRequests.clear();
    this->DisconnectedRequests.clear();
    this->ReceivedCount = 0;
    HttpServerOptions Options{.Listen = {"127.0.0.1", Port}};
    Options.MaxBodyBytes = 1000;
    Options.MaxHeldBodyBytes = 2000;
    auto Opened = HttpServer::open(
        this->Events.base(), Options,
        {.OnRequest =
             [this](std::uint64_t Id, const IncomingRequest &Request) {
               ++this->ReceivedCount;
               if (Request.Target.starts_with("/hold"))
                 this->HeldRequests.push_back(Id);
               else
                 this->Server->reply(Id, {200, {}, Request.Target + "\n"});
             },
         .OnDisconnect =
             [this](std::uint64_t Id) {
               this->DisconnectedRequests.push_back(Id);
             }});
    CPPUNIT_ASSERT(Opened.ok());
    this->Server = *std::move(Opened);
  }

  void tearDown() override { this->Server.reset(); }

  // Sends Bytes and returns all received bytes until the server closes the
  // connection or until Count responses with a body that ends in a line feed
  // have arrived.
  std::string exchange(std::string_view Bytes, bool ShutdownSending = false,
                       int Count = 1) {
    int Caller = connectTo(Port);
    sendAll(Caller, Bytes);
    if (ShutdownSending)
      shutdown(Caller, SHUT_WR);
    std::string Answer;
    bool IsOpen = true;
    this->Events.runUntil(
        [&] {
          IsOpen = receive(Caller, Answer);
          return !IsOpen ||
                 (Answer.ends_with("\n") && !Answer.ends_with("\r\n") &&
                  std::ranges::count(Answer, '\n') -
                          std::ranges::count(Answer, '\r') >=
                      Count);
        },
        {}, std::chrono::seconds(2));
    close(Caller);
    return Answer;
  }

  static bool isError(const std::string &Answer, const std::string &Status) {
    return Answer.starts_with("HTTP/1.1 " + Status + " ") &&
           Answer.find("{\"outcome\":\"not-run\",\"step\":\"receive request\","
                       "\"peer\":\"\",\"message\":") != std::string::npos &&
           Answer.find('<') == std::string::npos;
  }

protected:
  static constexpr std::uint16_t Port = 21101;

  Loop Events;
  std::unique_ptr<HttpServer> Server;
  std::vector<std::uint64_t> HeldRequests;
  std::vector<std::uint64_t> DisconnectedRequests;
  int ReceivedCount = 0;
};

} // namespace orioledoor::wire::testing

#endif // ORIOLEDOOR_WIRE_TESTING_HTTP_SERVER_FIXTURE_H
