// Guards how calls that fail are told apart, against a scripted server.
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <unistd.h>

#include "orioledoor/wire/http_client.h"
#include "orioledoor/wire/testing/full_listener.h"
#include "orioledoor/wire/testing/loop.h"

namespace orioledoor::wire {
namespace {

using requests::TargetFailure;

constexpr std::uint16_t Port = 21102;

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(wholeAnswersPassAndConnectionsAreReused);
  CPPUNIT_TEST(refusedConnectionIsNotSent);
  CPPUNIT_TEST(endedPermissionIsNotSent);
  CPPUNIT_TEST(connectionLostAfterWriting);
  CPPUNIT_TEST(truncatedAnswersAreErrors);
  CPPUNIT_TEST(answersOfOtherRequestsAreErrors);
  CPPUNIT_TEST(bytesAfterAnEchoedAnswerEndTheConnection);
  CPPUNIT_TEST(timeoutAndCancel);
  CPPUNIT_TEST(cancelledCallsWithAnAnswerAreNotReported);
  CPPUNIT_TEST(connectionAttemptsEndInTime);
  CPPUNIT_TEST(answersWithoutEndAreCutOff);
  CPPUNIT_TEST(manyLargeAnswersDoNotFillTheMemory);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { this->Listener = testing::listenOn(Port); }
  void tearDown() override {
    close(this->Listener);
    if (this->Server >= 0)
      close(this->Server);
    this->Server = -1;
  }

  // Calls the scripted server, which sends Script once it has read the head of
  // a request and then ends the connection if EndAfter is set.
  HttpResult call(std::string_view Script, bool EndAfter,
                  HttpCall Wanted = HttpCall()) {
    Wanted.To = {"127.0.0.1", Port};
    Wanted.Method = "POST";
    Wanted.Target = "/a";
    Wanted.Body = "body";
    std::optional<HttpResult> Result;
    this->Client.call(
        Wanted, [&Result](HttpResult Ended) { Result = std::move(Ended); });
    this->Request.clear();
    bool Sent = false;
    CPPUNIT_ASSERT(this->Events.runUntil(
        [&Result] { return Result.has_value(); },
        [&] {
          if (this->Server < 0) {
            this->Server = accept4(this->Listener, nullptr, nullptr,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (this->Server >= 0)
              ++this->Accepted;
          }
          bool Open = this->Server >= 0 &&
                      testing::receive(this->Server, this->Request);
          if (Open && !Sent && this->Request.ends_with("body")) {
            Sent = true;
            testing::sendAll(this->Server, Script);
            if (EndAfter)
              shutdown(this->Server, SHUT_RDWR);
          }
        }));
    if (EndAfter && this->Server >= 0) {
      close(this->Server);
      this->Server = -1;
    }
    return *Result;
  }

  void wholeAnswersPassAndConnectionsAreReused() {
    for (int Round = 0; Round < 2; ++Round) {
      HttpResult Result = this->call("HTTP/1.1 201 Created\r\nX-A: b\r\n"
                                     "Content-Length: 5\r\n\r\nhello",
                                     false);
      CPPUNIT_ASSERT_MESSAGE(Result.Detail, !Result.Failure);
      CPPUNIT_ASSERT_EQUAL(201, Result.Answer.Status);
      CPPUNIT_ASSERT_EQUAL(std::string("hello"), Result.Answer.Body);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Result.Answer.Headers.size());
    }
    CPPUNIT_ASSERT_EQUAL(1, this->Accepted);
  }

  // Only this failure allows a non-idempotent request to be sent again.
  void refusedConnectionIsNotSent() {
    close(this->Listener);
    HttpResult Result = this->call("", false);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::NotSent);
  }

  // Work written after the permission ended could run under two owners.
  void endedPermissionIsNotSent() {
    HttpCall Wanted;
    Wanted.NotAfter = readClock();
    HttpResult Result = this->call("", false, Wanted);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::NotSent);
    CPPUNIT_ASSERT_EQUAL(std::string(), this->Request);
  }

  // A request that may have run must not be reported as not sent.
  void connectionLostAfterWriting() {
    HttpResult Result = this->call("", true);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::ConnectionLost);
  }

  // A target may send a late second answer where the next one is due.
  void answersOfOtherRequestsAreErrors() {
    HttpCall Wanted;
    Wanted.Headers = {{"Attempt-Id", "a1"}};
    Wanted.EchoHeader = "Attempt-Id";
    HttpResult Result = this->call("HTTP/1.1 200 OK\r\nAttempt-Id: "
                                   "a0\r\nContent-Length: 2\r\n\r\nok",
                                   false, Wanted);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::Truncated);
  }

  // The echo proves the answer; what follows it belongs to no request and must
  // not be taken for the next answer.
  void bytesAfterAnEchoedAnswerEndTheConnection() {
    HttpCall Wanted;
    Wanted.Headers = {{"Attempt-Id", "a1"}};
    Wanted.EchoHeader = "Attempt-Id";
    HttpResult Result =
        this->call("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: "
                   "2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
                   false, Wanted);
    CPPUNIT_ASSERT(!Result.Failure);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Result.Answer.Body);
    close(this->Server);
    this->Server = -1;
    this->call("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
    CPPUNIT_ASSERT_EQUAL(2, this->Accepted);
    CPPUNIT_ASSERT(this->Client.counters().Connections == 2);
  }

  // A part of an answer must not reach a caller as the whole one.
  void truncatedAnswersAreErrors() {
    for (std::string_view Script :
         {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore than four"}) {
      HttpResult Result = this->call(Script, true);
      CPPUNIT_ASSERT_MESSAGE(std::string(Script) + Result.Detail,
                             Result.Failure);
      CPPUNIT_ASSERT_MESSAGE(std::string(Script) + Result.Detail,
                             *Result.Failure == TargetFailure::Truncated);
    }
  }

  void timeoutAndCancel() {
    HttpCall Wanted;
    Wanted.Timeout = std::chrono::milliseconds(50);
    HttpResult Result = this->call("", false, Wanted);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::TimedOut);
    bool Called = false;
    Wanted.To = {"127.0.0.1", Port};
    Wanted.Method = "GET";
    Wanted.Target = "/";
    this->Client.cancel(
        this->Client.call(Wanted, [&Called](const HttpResult &) { // NOLINT
          Called = true;
        }));
    CPPUNIT_ASSERT(!this->Events.runUntil([&Called] { return Called; }, {},
                                          std::chrono::milliseconds(150)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Client.openCalls());
  }

  // Guards against a callback into an object that gave up its call: the result
  // waits for the loop's next turn, and the call may be cancelled meanwhile.
  void cancelledCallsWithAnAnswerAreNotReported() {
    HttpCall Wanted;
    Wanted.To = {"127.0.0.1", Port};
    Wanted.Method = "UNKNOWN";
    Wanted.Target = "/";
    std::uint64_t Second = 0;
    bool FirstEnded = false;
    bool SecondEnded = false;
    this->Client.call(Wanted, [&](const HttpResult &) {
      FirstEnded = true;
      this->Client.cancel(Second);
    });
    Second = this->Client.call(Wanted,
                               [&](const HttpResult &) { SecondEnded = true; });
    CPPUNIT_ASSERT(this->Events.runUntil([&] { return FirstEnded; }));
    CPPUNIT_ASSERT(!this->Events.runUntil([&] { return SecondEnded; }, {},
                                          std::chrono::milliseconds(50)));
  }

  // Guards against a request that waits for its whole time at a target that
  // takes no connection, although another target could run it.
  void connectionAttemptsEndInTime() {
    testing::FullListener Full;
    HttpCall Wanted;
    Wanted.To = {"127.0.0.1", Full.port()};
    Wanted.Method = "GET";
    Wanted.Target = "/";
    Wanted.ConnectTimeout = std::chrono::milliseconds(100);
    std::optional<HttpResult> Result;
    this->Client.call(Wanted,
                      [&](HttpResult Ended) { Result = std::move(Ended); });
    CPPUNIT_ASSERT(this->Events.runUntil([&] { return Result.has_value(); }, {},
                                         std::chrono::milliseconds(500)));
    CPPUNIT_ASSERT(Result->Failure == TargetFailure::NotSent);
    CPPUNIT_ASSERT(!Result->SentAfter);
    // It bounds the connection only.
    Wanted.Timeout = std::chrono::milliseconds(300);
    Instant Start = readClock();
    HttpResult Silent = this->call("", false, Wanted);
    CPPUNIT_ASSERT(Silent.Failure == TargetFailure::TimedOut);
    CPPUNIT_ASSERT(readClock() - Start >= std::chrono::milliseconds(290));
  }

  // Guards against a target that sends bytes until the caller closes: the
  // process would run out of memory long before the request's time is over.
  void answersWithoutEndAreCutOff() {
    const std::string Head = "HTTP/1.1 200 OK\r\n";
    const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::pair<std::string, std::string> Endless[] = {
        {"HTTP/1.1 200 ", "x"},
        {Head, "X-Line: x\r\n"},
        {Head + "X-Line: ", "x"},
        {Head + "\r\n", "x"},
        {Head + "Content-Length: 99999999999\r\n\r\n", "x"},
        {Chunked, "x"},
        {Chunked, "1;"},
        {Chunked + "1;", "x"},
        {Chunked, "1\r\nx\r\n"},
        {Chunked, "1;ext=ext\r\nx\r\n"},
        {Chunked + "fffffff\r\n", "x"},
        {Chunked + "0\r\n", "X-Line: x\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"", std::string(1, '\0')}};
    for (const auto &[First, Repeated] : Endless) {
      std::string Block;
      while (Block.size() < 64'000)
        Block += Repeated;
      std::size_t Sent = 0;
      HttpResult Result = this->endless(First, Block, Sent);
      CPPUNIT_ASSERT_MESSAGE(First + Repeated, Result.Failure);
      CPPUNIT_ASSERT_MESSAGE(First + Repeated + Result.Detail,
                             *Result.Failure == TargetFailure::Truncated);
      // The largest answer, the socket buffers and some blocks.
      CPPUNIT_ASSERT_MESSAGE(First + Repeated + std::to_string(Sent),
                             Sent < (20U << 20));
    }
  }

  // Pattern: every slot of a target holds an answer that grows, each below the
  // bound of one.
  void manyLargeAnswersDoNotFillTheMemory() {
    constexpr int Calls = 40;
    constexpr std::size_t Each = 6U << 20;
    std::vector<int> Open;
    std::vector<std::size_t> Sent;
    int Ended = 0;
    HttpCall Wanted;
    Wanted.To = {"127.0.0.1", Port};
    Wanted.Method = "GET";
    Wanted.Target = "/";
    for (int I = 0; I < Calls; ++I)
      this->Client.call(Wanted, [&](const HttpResult &Result) {
        CPPUNIT_ASSERT(Result.Failure == TargetFailure::Truncated);
        ++Ended;
      });
    const std::string Block(64'000, 'x');
    this->Events.runUntil(
        [] { return false; },
        [&] {
          int Taken = accept4(this->Listener, nullptr, nullptr,
                              SOCK_NONBLOCK | SOCK_CLOEXEC);
          if (Taken >= 0) {
            Open.push_back(Taken);
            Sent.push_back(0);
            testing::sendAll(Taken, "HTTP/1.1 200 OK\r\n\r\n");
          }
          for (std::size_t I = 0; I < Open.size(); ++I)
            while (Sent[I] < Each) {
              ssize_t Wrote = send(Open[I], Block.data(), Block.size(),
                                   MSG_DONTWAIT | MSG_NOSIGNAL);
              if (Wrote <= 0)
                break;
              Sent[I] += static_cast<std::size_t>(Wrote);
            }
        },
        std::chrono::milliseconds(1500));
    for (int Descriptor : Open)
      close(Descriptor);
    // What is open may hold 48 MB together.
    CPPUNIT_ASSERT(Ended >= Calls - 8);
    CPPUNIT_ASSERT(Ended < Calls);
  }

private:
  // Sends First and then Block again and again until the client closes.
  HttpResult endless(std::string_view First, std::string_view Block,
                     std::size_t &Sent) {
    HttpCall Wanted;
    Wanted.To = {"127.0.0.1", Port};
    Wanted.Method = "GET";
    Wanted.Target = "/";
    Wanted.Timeout = std::chrono::milliseconds(3000);
    std::optional<HttpResult> Result;
    this->Client.call(Wanted,
                      [&](HttpResult Ended) { Result = std::move(Ended); });
    int Server = -1;
    this->Events.runUntil([&] { return Result.has_value(); },
                          [&] {
                            if (Server < 0) {
                              Server = accept4(this->Listener, nullptr, nullptr,
                                               SOCK_NONBLOCK | SOCK_CLOEXEC);
                              if (Server >= 0)
                                testing::sendAll(Server, First);
                              return;
                            }
                            ssize_t Wrote =
                                send(Server, Block.data(), Block.size(),
                                     MSG_DONTWAIT | MSG_NOSIGNAL);
                            Sent +=
                                Wrote > 0 ? static_cast<std::size_t>(Wrote) : 0;
                          });
    close(Server);
    CPPUNIT_ASSERT(Result);
    return *Result;
  }

  testing::Loop Events;
  HttpClient Client{Events.base()};
  int Listener = -1;
  int Server = -1;
  int Accepted = 0;
  std::string Request;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace
} // namespace orioledoor::wire
