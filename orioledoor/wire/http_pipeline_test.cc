// Tests several requests on one connection before the first response, and the
// framing of requests.
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <utility>

#include "orioledoor/wire/testing/http_server_fixture.h"

namespace orioledoor::wire {
namespace {

std::string get(std::string_view Target, std::string_view Headers = "") {
  return "GET " + std::string(Target) + " HTTP/1.1\r\nHost: h\r\n" +
         std::string(Headers) + "\r\n";
}

class HttpPipelineTest : public testing::HttpServerFixture {
  CPPUNIT_TEST_SUITE(HttpPipelineTest);
  CPPUNIT_TEST(requestsAreHandedOnBeforeTheFirstResponse);
  CPPUNIT_TEST(openRequestsOfAConnectionAreBounded);
  CPPUNIT_TEST(unsentResponsesOfAConnectionAreBounded);
  CPPUNIT_TEST(nothingIsReadBehindAClosingRequest);
  CPPUNIT_TEST(nothingIsReadBehindARejectedRequest);
  CPPUNIT_TEST(stopAnswersAllRequestsThatWereRead);
  CPPUNIT_TEST(callerThatLeavesEndsAllItsRequests);
  CPPUNIT_TEST(malformedFramingGetsOneResponse);
  CPPUNIT_TEST(chunkLineWithoutEndGets400);
  CPPUNIT_TEST(expectationIsConfirmedWhenItsTurnComes);
  CPPUNIT_TEST(splitInputGivesTheSameResponses);
  CPPUNIT_TEST_SUITE_END();

public:
  void tearDown() override {
    if (this->Caller >= 0)
      close(std::exchange(this->Caller, -1));
    testing::HttpServerFixture::tearDown();
  }

  void send(std::string_view Bytes) {
    if (this->Caller < 0)
      this->Caller = testing::connectTo(Port);
    testing::sendAll(this->Caller, Bytes);
  }

  // Runs the loop until Condition holds and returns whether it did.
  template <typename Predicate>
  bool await(Predicate Condition,
             std::chrono::milliseconds Timeout = std::chrono::seconds(2)) {
    return this->Events.runUntil(
        [&] {
          this->Closed |= !testing::receive(this->Caller, this->Received);
          return Condition();
        },
        {}, Timeout);
  }

  // Gives wrong behaviour time to show.
  void settle() {
    this->await([] { return false; }, std::chrono::milliseconds(50));
  }

  bool awaitHeld(std::size_t Count) {
    return this->await([&] { return this->HeldRequests.size() == Count; });
  }

  bool awaitClose() {
    return this->await([&] { return this->Closed; });
  }

  // Answers a held request with its index.
  void answer(std::size_t Index) {
    this->Server->reply(this->HeldRequests[Index],
                        {200, {}, "answer " + std::to_string(Index) + "\n"});
  }

  std::size_t responses() const {
    std::size_t Count = 0;
    for (std::size_t At = this->Received.find("HTTP/1.1 ");
         At != std::string::npos; At = this->Received.find("HTTP/1.1 ", At + 1))
      ++Count;
    return Count;
  }

  // Guards against a slow request that keeps the ones behind it from being
  // worked on, and against responses that overtake earlier ones.
  void requestsAreHandedOnBeforeTheFirstResponse() {
    std::string Bytes;
    for (int I = 0; I < 5; ++I)
      Bytes += get("/hold" + std::to_string(I));
    this->send(Bytes);
    CPPUNIT_ASSERT(this->awaitHeld(5));
    for (std::size_t Index : {3U, 1U, 4U, 2U})
      this->answer(Index);
    this->settle();
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Received);
    this->answer(0);
    CPPUNIT_ASSERT(
        this->await([&] { return this->Received.ends_with("answer 4\n"); }));
    std::size_t Last = 0;
    for (int I = 0; I < 5; ++I) {
      std::size_t At = this->Received.find("answer " + std::to_string(I));
      CPPUNIT_ASSERT(At != std::string::npos && At > Last);
      Last = At;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, this->responses());
  }

  // Guards against a caller that occupies the node with one connection.
  void openRequestsOfAConnectionAreBounded() {
    std::string Bytes;
    for (int I = 0; I < 20; ++I)
      Bytes += get("/hold");
    this->send(Bytes);
    CPPUNIT_ASSERT(this->awaitHeld(16));
    this->settle();
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, this->HeldRequests.size());
    this->answer(0);
    CPPUNIT_ASSERT(this->awaitHeld(17));
    this->answer(2);
    this->settle();
    CPPUNIT_ASSERT_EQUAL(std::size_t{17}, this->HeldRequests.size());
    this->answer(1);
    CPPUNIT_ASSERT(this->awaitHeld(19));
  }

  // Guards against memory that grows with responses behind a slow request.
  void unsentResponsesOfAConnectionAreBounded() {
    this->send(get("/hold") + get("/hold") + get("/hold"));
    CPPUNIT_ASSERT(this->awaitHeld(3));
    for (std::size_t Index : {1U, 2U})
      this->Server->reply(this->HeldRequests[Index],
                          {200, {}, std::string(600'000, 'x')});
    this->send(get("/hold"));
    this->settle();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->HeldRequests.size());
    this->answer(0);
    CPPUNIT_ASSERT(this->awaitHeld(4));
  }

  // Guards against a request that runs and is sent again, since it stood behind
  // a response that closes the connection.
  void nothingIsReadBehindAClosingRequest() {
    for (const std::string &Closing :
         {get("/hold", "Connection: close\r\n"),
          std::string("GET /hold HTTP/1.0\r\nHost: h\r\n\r\n")}) {
      this->tearDown();
      this->setUp();
      this->Received.clear();
      this->Closed = false;
      this->send(get("/hold") + Closing + get("/hold"));
      CPPUNIT_ASSERT(this->awaitHeld(2));
      this->answer(1);
      this->answer(0);
      CPPUNIT_ASSERT(this->awaitClose());
      CPPUNIT_ASSERT_EQUAL(2, this->ReceivedCount);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->responses());
      CPPUNIT_ASSERT(this->Received.ends_with("answer 1\n"));
      CPPUNIT_ASSERT(this->Received.find("Connection: close") >
                     this->Received.find("answer 0"));
    }
  }

  // Guards against an error response that overtakes an earlier response, and
  // against bytes after it that are taken for a request.
  void nothingIsReadBehindARejectedRequest() {
    static const std::pair<std::string, std::string> Cases[] = {
        {"GET /b HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n", "400"},
        {"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
         "Content-Length: 2\r\n\r\nx",
         "400"},
        {"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", "413"},
        {"BREW /b HTTP/1.1\r\nHost: h\r\n\r\n", "501"},
        {get("/b", "X: " + std::string(20'000, 'x') + "\r\n"), "431"}};
    for (const auto &[Bad, Status] : Cases) {
      this->tearDown();
      this->setUp();
      this->Received.clear();
      this->Closed = false;
      this->send(get("/hold") + Bad + get("/after"));
      CPPUNIT_ASSERT(this->awaitHeld(1));
      this->settle();
      CPPUNIT_ASSERT_EQUAL(std::string(), this->Received);
      this->answer(0);
      CPPUNIT_ASSERT(this->awaitClose());
      CPPUNIT_ASSERT_EQUAL(1, this->ReceivedCount);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(this->Received, std::size_t{2},
                                   this->responses());
      CPPUNIT_ASSERT_MESSAGE(this->Received,
                             this->Received.find("HTTP/1.1 " + Status) >
                                 this->Received.find("answer 0"));
    }
  }

  // Guards against a planned stop that closes a connection whose requests were
  // handed on.
  void stopAnswersAllRequestsThatWereRead() {
    this->send(get("/hold") + get("/hold") + get("/hold"));
    CPPUNIT_ASSERT(this->awaitHeld(3));
    this->Server->stopAccepting();
    for (std::size_t Index : {1U, 0U})
      this->answer(Index);
    CPPUNIT_ASSERT(
        this->await([&] { return this->Received.ends_with("answer 1\n"); }));
    CPPUNIT_ASSERT(this->Received.find("Connection: close") ==
                   std::string::npos);
    this->answer(2);
    CPPUNIT_ASSERT(this->awaitClose());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->responses());
    CPPUNIT_ASSERT(this->Received.find("Connection: close") >
                   this->Received.find("answer 1"));
    CPPUNIT_ASSERT(this->DisconnectedRequests.empty());
  }

  // Guards against work for a caller that has left.
  void callerThatLeavesEndsAllItsRequests() {
    this->send(get("/hold") + get("/hold") + get("/hold"));
    CPPUNIT_ASSERT(this->awaitHeld(3));
    this->answer(1);
    close(std::exchange(this->Caller, -1));
    CPPUNIT_ASSERT(this->Events.runUntil(
        [&] { return this->DisconnectedRequests.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Server->openRequests());
    this->answer(0);
  }

  // Guards against request smuggling: two parsers that disagree about the end
  // of a request take different bytes for the next one.
  void malformedFramingGetsOneResponse() {
    constexpr char Hidden[] = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const char *Text :
         {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: "
          "6\r\n\r\nhello",
          "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nhello",
          "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n "
          "chunked\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\nhello",
          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5,5\r\n\r\nhello",
          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
          "99999999999999999999\r\n\r\nhello",
          "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
          "Content-Length: 5\r\n\r\n0\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
          "chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
          "chunked\r\n\r\n5\r\nhelloX0\r\n\r\n",
          "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: "
          "chunked\r\n\r\n0\r\n\r\n",
          "GET /a HTTP/1.1\r\n\r\n",
          "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
          "GET /a HTTP/1.1\nHost: h\n\r\n\r\n",
          "GET /a HTTP/1.1\r\nHost: h\r\nX: a\nY: b\r\n\r\n",
          "GET /a  HTTP/1.1\r\nHost: h\r\n\r\n",
          "GET /a HTTP/2.0\r\nHost: h\r\n\r\n"}) {
      std::string Bytes = Text;
      std::string Answer = this->exchange(Bytes + Hidden, false, 99);
      CPPUNIT_ASSERT_MESSAGE(Bytes + Answer, isError(Answer, "400"));
      CPPUNIT_ASSERT_MESSAGE(Bytes + Answer, Answer.find("Connection: close") !=
                                                 std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(Bytes + Answer,
                             Answer.find("HTTP/1.1", 1) == std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(0, this->ReceivedCount);
  }

  // Guards against memory that grows with a line that never ends.
  void chunkLineWithoutEndGets400() {
    std::string Answer = this->exchange(
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
            std::string(20'000, 'x'),
        false, 99);
    CPPUNIT_ASSERT_MESSAGE(Answer, isError(Answer, "400"));
  }

  // Guards against "100 Continue" in front of an earlier response, whose caller
  // would take it for a part of that response.
  void expectationIsConfirmedWhenItsTurnComes() {
    this->send(get("/hold") +
               "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
               "Content-Length: 2\r\n\r\n");
    CPPUNIT_ASSERT(this->awaitHeld(1));
    this->settle();
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Received);
    this->answer(0);
    CPPUNIT_ASSERT(this->await([&] {
      return this->Received.ends_with("HTTP/1.1 100 Continue\r\n\r\n");
    }));
    this->send("ok");
    CPPUNIT_ASSERT(
        this->await([&] { return this->Received.ends_with("/b\n"); }));
  }

  // Guards against state that depends on how the input was split: all bytes of
  // valid and broken sequences, in pieces of random sizes.
  void splitInputGivesTheSameResponses() {
    static const std::pair<std::string, std::size_t> Sequences[] = {
        {get("/a") +
             "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz" +
             "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\n\r\n" +
             get("/d", "Connection: close\r\n"),
         4},
        {get("/a") + get("/b") + "GET /c\r\n\r\n" + get("/d"), 3},
        {get("/a") +
             "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
             "chunked\r\n\r\n3\r\nabcX" +
             get("/c"),
         2}};
    std::minstd_rand Random(7);
    for (int Round = 0; Round < 60; ++Round) {
      const auto &[Bytes, Expected] = Sequences[Round % 3];
      this->tearDown();
      this->setUp();
      this->Received.clear();
      this->Closed = false;
      for (std::size_t Sent = 0; Sent < Bytes.size();) {
        std::size_t Size = 1 + Random() % 40;
        this->send(std::string_view(Bytes).substr(Sent, Size));
        Sent += Size;
        this->await([] { return true; });
      }
      CPPUNIT_ASSERT(this->awaitClose());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(this->Received, Expected, this->responses());
    }
  }

private:
  int Caller = -1;
  std::string Received;
  bool Closed = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpPipelineTest);

} // namespace
} // namespace orioledoor::wire
