// Tests the handling of malformed requests and of callers that disconnect.
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <thread>

#include "orioledoor/wire/http_server.h"
#include "orioledoor/wire/testing/http_server_fixture.h"

namespace orioledoor::wire {
namespace {

class HttpServerTest : public testing::HttpServerFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(answersPipelinedRequestsInOrder);
  CPPUNIT_TEST(headResponseHasLengthAndNoBody);
  CPPUNIT_TEST(truncatedBodyGets408);
  CPPUNIT_TEST(largeBodyGets413);
  CPPUNIT_TEST(largeHeadersGet431);
  CPPUNIT_TEST(malformedRequestsGet400);
  CPPUNIT_TEST(ambiguousFramingGets400);
  CPPUNIT_TEST(nothingIsReadAfterAmbiguousFraming);
  CPPUNIT_TEST(disconnectedCallerIsReported);
  CPPUNIT_TEST(requestsOfCallersThatLeftDuringADelayAreDropped);
  CPPUNIT_TEST(firstRequestOfAClosedConnectionIsDropped);
  CPPUNIT_TEST(responsesThatCallersHaveNotTakenCountAsUnsent);
  CPPUNIT_TEST(bodiesBeyondTheMemoryLimitGet503);
  CPPUNIT_TEST_SUITE_END();

public:
  void answersPipelinedRequestsInOrder() {
    std::string Answer = this->exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                                        "POST /b HTTP/1.1\r\nHost: h\r\n"
                                        "Content-Length: 3\r\n\r\nxyz"
                                        "GET /c HTTP/1.1\r\nHost: h\r\n\r\n",
                                        false, 3);
    CPPUNIT_ASSERT(Answer.find("/a\n") < Answer.find("/b\n"));
    CPPUNIT_ASSERT(Answer.find("/b\n") < Answer.find("/c\n"));
    CPPUNIT_ASSERT(Answer.ends_with("/c\n"));
  }

  // Guards against a body after the response to HEAD, which the caller would
  // take for the next response.
  void headResponseHasLengthAndNoBody() {
    std::string Answer = this->exchange("HEAD /abc HTTP/1.1\r\nHost: h\r\n\r\n"
                                        "GET /d HTTP/1.1\r\nHost: h\r\n\r\n",
                                        false, 2);
    CPPUNIT_ASSERT(Answer.find("Content-Length: 5\r\n") != std::string::npos);
    CPPUNIT_ASSERT(Answer.find("/abc") == std::string::npos);
    CPPUNIT_ASSERT(Answer.ends_with("/d\n"));
  }

  // Guards against a process that takes a response for sent, and ends, while
  // its caller has only read a part of it.
  void responsesThatCallersHaveNotTakenCountAsUnsent() {
    int Caller = testing::connectTo(Port);
    testing::sendAll(Caller, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(
        this->Events.runUntil([this] { return !this->HeldRequests.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Server->unsentConnections());
    // Exceeds what the sockets take.
    this->Server->reply(this->HeldRequests[0],
                        {200, {}, std::string(16U << 20, 'x')});
    this->Events.runUntil([] { return false; }, {},
                          std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Server->unsentConnections());
    std::string Received;
    this->Events.runUntil(
        [this] { return this->Server->unsentConnections() == 0; },
        [&] { testing::receive(Caller, Received); }, std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Server->unsentConnections());
    close(Caller);
  }

  // Guards against a burst of uploads that takes all memory of the process:
  // each body is allowed, their sum is not.
  void bodiesBeyondTheMemoryLimitGet503() {
    std::string Upload = "POST /hold HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 900\r\n\r\n" +
                         std::string(900, 'x');
    std::vector<int> Callers;
    for (std::size_t Count = 1; Count <= 2; ++Count) {
      Callers.push_back(testing::connectTo(Port));
      testing::sendAll(Callers.back(), Upload);
      CPPUNIT_ASSERT(this->Events.runUntil(
          [&] { return this->HeldRequests.size() == Count; }));
    }
    std::string Answer = this->exchange(Upload);
    CPPUNIT_ASSERT_MESSAGE(Answer, isError(Answer, "503"));
    CPPUNIT_ASSERT(Answer.find("Retry-After: ") != std::string::npos);
    // A request without a body has room.
    CPPUNIT_ASSERT(
        this->exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n").ends_with("/a\n"));
    // The bodies of answered requests and of callers that left don't count.
    this->Server->reply(this->HeldRequests[0], {200, {}, "\n"});
    close(Callers[1]);
    CPPUNIT_ASSERT(this->Events.runUntil(
        [&] { return !this->DisconnectedRequests.empty(); }));
    for (std::size_t Count = 3; Count <= 4; ++Count) {
      Callers.push_back(testing::connectTo(Port));
      testing::sendAll(Callers.back(), Upload);
      CPPUNIT_ASSERT(this->Events.runUntil(
          [&] { return this->HeldRequests.size() == Count; }));
    }
    // An incomplete body counts as far as it has come.
    int Slow = testing::connectTo(Port);
    testing::sendAll(Slow, std::string_view(Upload).substr(0, 700));
    std::string Refused;
    CPPUNIT_ASSERT(this->Events.runUntil([&] {
      testing::receive(Slow, Refused);
      return Refused.find("not-run") != std::string::npos;
    }));
    CPPUNIT_ASSERT_MESSAGE(Refused, isError(Refused, "503"));
    close(Slow);
    close(Callers[0]);
    close(Callers[2]);
    close(Callers[3]);
  }

  // Guards against a truncated upload that runs or that affects requests of
  // other callers.
  void truncatedBodyGets408() {
    std::string Answer = this->exchange(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf", true);
    CPPUNIT_ASSERT_MESSAGE(Answer, isError(Answer, "408"));
    CPPUNIT_ASSERT_EQUAL(0, this->ReceivedCount);
    CPPUNIT_ASSERT(
        this->exchange("GET /b HTTP/1.1\r\nHost: h\r\n\r\n").ends_with("/b\n"));
    Answer = this->exchange(
        "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx",
        true, 2);
    CPPUNIT_ASSERT_MESSAGE(Answer, Answer.find("408") != std::string::npos);
  }

  void largeBodyGets413() {
    std::string Answer = this->exchange(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" +
        std::string(1001, 'x'));
    CPPUNIT_ASSERT_MESSAGE(Answer, isError(Answer, "413"));
    Answer = this->exchange("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                            "chunked\r\n\r\nfff\r\n" +
                            std::string(4095, 'x') + "\r\n0\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(Answer, isError(Answer, "413"));
    CPPUNIT_ASSERT_EQUAL(0, this->ReceivedCount);
  }

  void largeHeadersGet431() {
    std::string Answer = this->exchange("GET /a HTTP/1.1\r\nHost: h\r\nX: " +
                                        std::string(20000, 'x') + "\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(Answer, isError(Answer, "431"));
  }

  void malformedRequestsGet400() {
    for (const char *Bytes : {"GET\r\n\r\n", "\x16\x03\x01 \x02\r\n\r\n",
                              "GET /a HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n",
                              "GET /a NOPE/7\r\n\r\n"}) {
      std::string Answer = this->exchange(Bytes);
      CPPUNIT_ASSERT_MESSAGE(Bytes + Answer, isError(Answer, "400"));
    }
    CPPUNIT_ASSERT_EQUAL(0, this->ReceivedCount);
  }

  // Guards against request smuggling: with two lengths a caller can hide a
  // second request in the body of the first.
  void ambiguousFramingGets400() {
    std::string Answer =
        this->exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                       "Content-Length: 2\r\n\r\nxy");
    CPPUNIT_ASSERT_MESSAGE(Answer, isError(Answer, "400"));
    Answer =
        this->exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(Answer, isError(Answer, "400"));
    CPPUNIT_ASSERT_EQUAL(0, this->ReceivedCount);
  }

  // Guards against request smuggling: the bytes after a request of uncertain
  // length may be a part of its body, and would bypass the checks of the router
  // if they were read as a request.
  void nothingIsReadAfterAmbiguousFraming() {
    // Longer than any length stated below.
    constexpr char HiddenRequest[] =
        "GET /hidden HTTP/1.1\r\nHost: h\r\nX: 0123456789\r\n\r\n";
    for (std::string Head :
         {"Content-Length: 0\r\nContent-Length: 40", "Content-Length : 40",
          "Transfer-Encoding: xchunked", "Transfer-Encoding : chunked",
          "Content-Length: +40", "Content-Length: 40, 40", "Content-Length: ",
          "Content-Length: 0x28", "Transfer-Encoding: chunked, identity"}) {
      std::string Answer = this->exchange("POST /a HTTP/1.1\r\nHost: h\r\n" +
                                              Head + "\r\n\r\n" + HiddenRequest,
                                          true);
      std::string Message = Head;
      Message.append("\n").append(Answer);
      CPPUNIT_ASSERT_MESSAGE(Message, isError(Answer, "400"));
      CPPUNIT_ASSERT_MESSAGE(Message,
                             Answer.find("/hidden") == std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(0, this->ReceivedCount);
  }

  // Guards against work for a disconnected caller, which would hold a slot
  // until its deadline.
  void disconnectedCallerIsReported() {
    int Caller = testing::connectTo(Port);
    testing::sendAll(Caller, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(
        this->Events.runUntil([this] { return !this->HeldRequests.empty(); }));
    CPPUNIT_ASSERT(this->DisconnectedRequests.empty());
    close(Caller);
    CPPUNIT_ASSERT(this->Events.runUntil(
        [this] { return !this->DisconnectedRequests.empty(); }));
    CPPUNIT_ASSERT(this->DisconnectedRequests == this->HeldRequests);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Server->openRequests());
    this->Server->reply(this->HeldRequests[0], {200, {}, "late"});
  }

  // Guards against requests that reach a target a second after their callers
  // have left: a connection whose opening packet was lost delivers the request
  // and its end together.
  void firstRequestOfAClosedConnectionIsDropped() {
    int Caller = testing::connectTo(Port);
    testing::sendAll(Caller, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    close(Caller);
    this->Events.runUntil([] { return false; }, {},
                          std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(0, this->ReceivedCount);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Server->openRequests());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->Server->abandonedRequests());
    CPPUNIT_ASSERT(this->DisconnectedRequests.empty());
  }

  // Guards against requests that reach a target although their callers had left
  // before a process that stood still could read them.
  void requestsOfCallersThatLeftDuringADelayAreDropped() {
    int Closed = testing::connectTo(Port);
    int Reset = testing::connectTo(Port);
    int Open = testing::connectTo(Port);
    for (int Caller : {Closed, Reset, Open})
      testing::sendAll(Caller, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(
        this->Events.runUntil([this] { return this->ReceivedCount == 3; }));
    this->Events.runUntil([] { return false; }, {},
                          std::chrono::milliseconds(50));
    this->Server->recordTick(readClock());
    for (int Caller : {Closed, Reset, Open})
      testing::sendAll(Caller, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    close(Closed);
    linger ResetOnClose{1, 0};
    setsockopt(Reset, SOL_SOCKET, SO_LINGER, &ResetOnClose,
               sizeof ResetOnClose);
    close(Reset);
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    this->Events.runUntil([] { return false; }, {},
                          std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->HeldRequests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Server->openRequests());
    CPPUNIT_ASSERT(this->DisconnectedRequests.empty());
    close(Open);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace
} // namespace orioledoor::wire
