// Tests how HttpClient classifies failed calls, against a scripted server.
#include <cppunit/extensions/HelperMacros.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
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
  CPPUNIT_TEST(completeResponsesAreReturnedAndConnectionsReused);
  CPPUNIT_TEST(refusedConnectionIsNotSent);
  CPPUNIT_TEST(expiredPermissionIsNotSent);
  CPPUNIT_TEST(connectionLostAfterWriting);
  CPPUNIT_TEST(truncatedResponsesAreErrors);
  CPPUNIT_TEST(headsThatBreakOffAreErrors);
  CPPUNIT_TEST(impossibleStatusesAreErrors);
  CPPUNIT_TEST(answersThatBreakOffDuringTheUploadAreErrors);
  CPPUNIT_TEST(bodiesOfBodilessAnswersAreDropped);
  CPPUNIT_TEST(finalHeaderEndsTheConnection);
  CPPUNIT_TEST(responsesToOtherRequestsAreErrors);
  CPPUNIT_TEST(responsesWithoutTheEchoedHeaderAreErrors);
  CPPUNIT_TEST(extraBytesAfterEchoedResponseCloseTheConnection);
  CPPUNIT_TEST(timeoutAndCancel);
  CPPUNIT_TEST(canceledCallsResetTheirConnections);
  CPPUNIT_TEST(canceledCallsWithAResultAreNotReported);
  CPPUNIT_TEST(connectTimeoutLimitsOnlyTheConnection);
  CPPUNIT_TEST(bodiesAreFramedWithEveryMethod);
  CPPUNIT_TEST(endlessResponsesAreAborted);
  CPPUNIT_TEST(totalResponseMemoryIsLimited);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { this->Listener = testing::listenOn(Port); }
  void tearDown() override {
    close(this->Listener);
    if (this->Server >= 0)
      close(this->Server);
    this->Server = -1;
  }

  // Calls the scripted server, which sends Script once it has read the request,
  // and then closes the connection if CloseAfter is set.
  HttpResult call(std::string_view Script, bool CloseAfter,
                  HttpCall Call = HttpCall()) {
    Call.Server = {"127.0.0.1", Port};
    if (Call.Method.empty())
      Call.Method = "POST";
    Call.Target = "/a";
    Call.Body = "body";
    std::optional<HttpResult> Result;
    this->Client.call(
        Call, [&Result](HttpResult Ended) { Result = std::move(Ended); });
    this->ReceivedRequest.clear();
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
          bool IsOpen = this->Server >= 0 &&
                        testing::receive(this->Server, this->ReceivedRequest);
          if (IsOpen && !Sent && this->ReceivedRequest.ends_with("body")) {
            Sent = true;
            testing::sendAll(this->Server, Script);
            if (CloseAfter)
              shutdown(this->Server, SHUT_RDWR);
          }
        }));
    if (CloseAfter && this->Server >= 0) {
      close(this->Server);
      this->Server = -1;
    }
    return *Result;
  }

  void completeResponsesAreReturnedAndConnectionsReused() {
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

  // Guards against another failure code: only NotSent allows a non-idempotent
  // request to be sent again.
  void refusedConnectionIsNotSent() {
    close(this->Listener);
    HttpResult Result = this->call("", false);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::NotSent);
  }

  // Guards against a request written after the permission expired, which could
  // run under two owners.
  void expiredPermissionIsNotSent() {
    HttpCall Call;
    Call.NotAfter = readClock();
    HttpResult Result = this->call("", false, Call);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::NotSent);
    CPPUNIT_ASSERT_EQUAL(std::string(), this->ReceivedRequest);
  }

  // Guards against reporting a request that may have run as not sent.
  void connectionLostAfterWriting() {
    HttpResult Result = this->call("", true);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::ConnectionLost);
  }

  // Guards against a target that sends a late second response where the next
  // response is expected.
  void responsesToOtherRequestsAreErrors() {
    HttpCall Call;
    Call.Headers = {{"Attempt-Id", "a1"}};
    Call.EchoHeader = "Attempt-Id";
    HttpResult Result = this->call("HTTP/1.1 200 OK\r\nAttempt-Id: "
                                   "a0\r\nContent-Length: 2\r\n\r\nok",
                                   false, Call);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::Truncated);
  }

  // Guards against late bytes of a faulty server that are taken for the
  // response to the request that was sent meanwhile, since they look like a
  // response.
  void responsesWithoutTheEchoedHeaderAreErrors() {
    HttpCall Call;
    Call.Headers = {{"Attempt-Id", "a1"}};
    Call.EchoHeader = "Attempt-Id";
    HttpResult Result = this->call(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, Call);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::Truncated);
    close(this->Server);
    this->Server = -1;
    // Nothing more is read from that connection.
    Result = this->call("HTTP/1.1 200 OK\r\nattempt-id: a1\r\n"
                        "Content-Length: 2\r\n\r\nok",
                        false, Call);
    CPPUNIT_ASSERT_MESSAGE(Result.Detail, !Result.Failure);
    CPPUNIT_ASSERT_EQUAL(2, this->Accepted);
  }

  // The echoed header identifies the response. Guards against taking the bytes
  // after it, which belong to no request, for the next response.
  void extraBytesAfterEchoedResponseCloseTheConnection() {
    HttpCall Call;
    Call.Headers = {{"Attempt-Id", "a1"}};
    Call.EchoHeader = "Attempt-Id";
    HttpResult Result =
        this->call("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: "
                   "2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
                   false, Call);
    CPPUNIT_ASSERT(!Result.Failure);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Result.Answer.Body);
    close(this->Server);
    this->Server = -1;
    this->call("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
    CPPUNIT_ASSERT_EQUAL(2, this->Accepted);
    CPPUNIT_ASSERT(this->Client.counters().Connections == 2);
  }

  // Guards against returning a part of a response as the complete one.
  void truncatedResponsesAreErrors() {
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

  // Guards against a head that breaks off and is taken for a complete response
  // with an empty or short body.
  void headsThatBreakOffAreErrors() {
    for (std::string_view Whole :
         {"HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 5\r\n\r\n"
          "hello",
          "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n\r\n"}) {
      for (std::size_t Cut = 1; Cut < Whole.size(); ++Cut) {
        HttpResult Result = this->call(Whole.substr(0, Cut), true);
        CPPUNIT_ASSERT_MESSAGE(std::string(Whole.substr(0, Cut)),
                               Result.Failure);
        CPPUNIT_ASSERT_MESSAGE(std::string(Whole.substr(0, Cut)),
                               *Result.Failure != TargetFailure::NotSent);
      }
      HttpResult Result = this->call(Whole, true);
      CPPUNIT_ASSERT_MESSAGE(Result.Detail, !Result.Failure);
    }
  }

  // Guards against handing a status to the caller that no client can read, or a
  // provisional one as the final answer.
  void impossibleStatusesAreErrors() {
    for (std::string_view Status :
         {"000", "099", "1000", "2000", "-200", "20x", "abc", "", "101", "102",
          "103", "199", "600", "999"}) {
      std::string Script = "HTTP/1.1 " + std::string(Status) +
                           " Status\r\nServer-Signature: s\r\n"
                           "Content-Length: 2\r\n\r\nok";
      HttpResult Result = this->call(Script, true);
      CPPUNIT_ASSERT_MESSAGE(Script, Result.Failure);
      CPPUNIT_ASSERT_MESSAGE(Script, *Result.Failure != TargetFailure::NotSent);
    }
  }

  // Guards against a part of an answer that reaches the caller as complete: a
  // target answers a long upload at once without a length, sends a part and
  // closes or resets the connection while the upload is still being written.
  void answersThatBreakOffDuringTheUploadAreErrors() {
    for (bool EndsOrderly : {false, true}) {
      HttpCall Call;
      Call.Server = {"127.0.0.1", Port};
      Call.Method = "POST";
      Call.Target = "/a";
      // More than the buffers of the sockets take.
      std::string Upload(32U << 20, 'u');
      Call.Body = Upload;
      std::optional<HttpResult> Result;
      this->Client.call(
          Call, [&Result](HttpResult Ended) { Result = std::move(Ended); });
      int Sides = 0;
      CPPUNIT_ASSERT(this->Events.runUntil(
          [&Result] { return Result.has_value(); },
          [&] {
            if (this->Server < 0) {
              this->Server = accept4(this->Listener, nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC);
              if (this->Server >= 0)
                testing::sendAll(this->Server,
                                 "HTTP/1.1 200 OK\r\nServer-Signature: "
                                 "s\r\n\r\npart of the answer");
            } else if (++Sides == 20 && EndsOrderly) {
              shutdown(this->Server, SHUT_WR);
            } else if (Sides == 40) {
              // The unread upload makes this a reset.
              close(this->Server);
              this->Server = -1;
            }
          }));
      CPPUNIT_ASSERT_MESSAGE(Result->Answer.Body, Result->Failure);
      CPPUNIT_ASSERT(*Result->Failure != TargetFailure::NotSent);
      if (this->Server >= 0)
        close(this->Server);
      this->Server = -1;
    }
  }

  // Guards against a body of a 204 or 304 that becomes part of the answer, and
  // against its bytes as the answer to the next request.
  void bodiesOfBodilessAnswersAreDropped() {
    HttpCall Call;
    Call.Headers = {{"Attempt-Id", "a1"}};
    Call.EchoHeader = "Attempt-Id";
    for (std::string_view Status : {"204", "304"}) {
      int Before = this->Accepted;
      HttpResult Result =
          this->call("HTTP/1.1 " + std::string(Status) +
                         " Status\r\nAttempt-Id: a1\r\n\r\nHTTP/1.1 200 "
                         "OK\r\nAttempt-Id: a1\r\n\r\n",
                     false, Call);
      CPPUNIT_ASSERT_MESSAGE(Result.Detail, !Result.Failure);
      CPPUNIT_ASSERT_EQUAL(std::string(), Result.Answer.Body);
      close(this->Server);
      this->Server = -1;
      Result = this->call("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
                          "Connection: close\r\nContent-Length: 2\r\n\r\nok",
                          false, Call);
      CPPUNIT_ASSERT_MESSAGE(Result.Detail, !Result.Failure);
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), Result.Answer.Body);
      CPPUNIT_ASSERT_EQUAL(Before + 2, this->Accepted);
      close(this->Server);
      this->Server = -1;
    }
  }

  // Guards against a refusal that the target writes once more: on a connection
  // in use again it would be taken for the response to the same request, which
  // has been sent again and runs.
  void finalHeaderEndsTheConnection() {
    HttpCall Call;
    Call.Headers = {{"Attempt-Id", "a1"}};
    Call.EchoHeader = "Attempt-Id";
    Call.FinalHeader = "Not-Executed";
    HttpResult Result =
        this->call("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: a1\r\n"
                   "not-executed: 1\r\nContent-Length: 0\r\n\r\n",
                   false, Call);
    CPPUNIT_ASSERT(!Result.Failure);
    close(this->Server);
    this->Server = -1;
    Result = this->call("HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
                        "Content-Length: 0\r\n\r\n",
                        false, Call);
    CPPUNIT_ASSERT(!Result.Failure);
    CPPUNIT_ASSERT_EQUAL(200, Result.Answer.Status);
    CPPUNIT_ASSERT_EQUAL(2, this->Accepted);
    // A refusal of an unknown request says nothing about this one.
    Call.FreshConnection = true;
    close(this->Server);
    this->Server = -1;
    Result = this->call("HTTP/1.1 503 Service Unavailable\r\n"
                        "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                        false, Call);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::Truncated);
  }

  // Guards against a body without a length: its server would take the bytes for
  // the next request on the connection and run what no client has sent.
  void bodiesAreFramedWithEveryMethod() {
    for (const char *Method :
         {"GET", "DELETE", "OPTIONS", "POST", "PUT", "PATCH"}) {
      HttpCall Call;
      Call.Method = Method;
      HttpResult Result = this->call(
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, Call);
      CPPUNIT_ASSERT_MESSAGE(Method + Result.Detail, !Result.Failure);
      std::string_view Received = this->ReceivedRequest;
      std::size_t First = Received.find("Content-Length: 4\r\n");
      CPPUNIT_ASSERT_MESSAGE(this->ReceivedRequest, First != Received.npos);
      CPPUNIT_ASSERT_MESSAGE(this->ReceivedRequest,
                             Received.find("Content-Length", First + 1) ==
                                 Received.npos);
    }
  }

  void timeoutAndCancel() {
    HttpCall Call;
    Call.Timeout = std::chrono::milliseconds(50);
    HttpResult Result = this->call("", false, Call);
    CPPUNIT_ASSERT(Result.Failure == TargetFailure::TimedOut);
    bool Called = false;
    Call.Server = {"127.0.0.1", Port};
    Call.Method = "GET";
    Call.Target = "/";
    this->Client.cancel(
        this->Client.call(Call, [&Called](const HttpResult &) { // NOLINT
          Called = true;
        }));
    CPPUNIT_ASSERT(!this->Events.runUntil([&Called] { return Called; }, {},
                                          std::chrono::milliseconds(150)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->Client.openCalls());
  }

  // Guards against a request that its server gets after the call was canceled:
  // the bytes wait in the socket, for example because the server accepts the
  // connection a second late, and an orderly close delivers them.
  void canceledCallsResetTheirConnections() {
    // Exceeds what the server's socket takes before the server reads.
    const std::string Body(8U << 20, 'x');
    HttpCall Call;
    Call.Server = {"127.0.0.1", Port};
    Call.Method = "POST";
    Call.Target = "/a";
    Call.Body = Body;
    std::uint64_t Id = this->Client.call(Call, [](const HttpResult &) {});
    int Accepted = -1;
    char Byte;
    CPPUNIT_ASSERT(this->Events.runUntil([&] {
      if (Accepted < 0)
        Accepted = accept4(this->Listener, nullptr, nullptr,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);
      return Accepted >= 0 &&
             recv(Accepted, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
    }));
    this->Client.cancel(Id);
    std::string Received;
    CPPUNIT_ASSERT(this->Events.runUntil(
        [&] { return !testing::receive(Accepted, Received); }));
    CPPUNIT_ASSERT(Received.size() < Body.size());
    tcp_info State{};
    socklen_t Size = sizeof State;
    getsockopt(Accepted, IPPROTO_TCP, TCP_INFO, &State, &Size);
    // After an orderly close the server's end would wait for its own close.
    CPPUNIT_ASSERT_EQUAL(int{TCP_CLOSE}, int{State.tcpi_state});
    close(Accepted);
  }

  // Guards against a callback into an object that canceled its call: a result
  // is delivered in the next iteration of the event loop, and the call may be
  // canceled before.
  void canceledCallsWithAResultAreNotReported() {
    HttpCall Call;
    Call.Server = {"127.0.0.1", Port};
    Call.Method = "UNKNOWN";
    Call.Target = "/";
    std::uint64_t Second = 0;
    bool FirstEnded = false;
    bool SecondEnded = false;
    this->Client.call(Call, [&](const HttpResult &) {
      FirstEnded = true;
      this->Client.cancel(Second);
    });
    Second = this->Client.call(Call,
                               [&](const HttpResult &) { SecondEnded = true; });
    CPPUNIT_ASSERT(this->Events.runUntil([&] { return FirstEnded; }));
    CPPUNIT_ASSERT(!this->Events.runUntil([&] { return SecondEnded; }, {},
                                          std::chrono::milliseconds(50)));
  }

  // Guards against a request that spends its whole time on a target that
  // accepts no connection, although another target could run it.
  void connectTimeoutLimitsOnlyTheConnection() {
    testing::FullListener Full;
    HttpCall Call;
    Call.Server = {"127.0.0.1", Full.port()};
    Call.Method = "GET";
    Call.Target = "/";
    Call.ConnectTimeout = std::chrono::milliseconds(100);
    std::optional<HttpResult> Result;
    this->Client.call(Call,
                      [&](HttpResult Ended) { Result = std::move(Ended); });
    CPPUNIT_ASSERT(this->Events.runUntil([&] { return Result.has_value(); }, {},
                                         std::chrono::milliseconds(500)));
    CPPUNIT_ASSERT(Result->Failure == TargetFailure::NotSent);
    CPPUNIT_ASSERT(!Result->SentAfter);
    // The timeout limits only the establishment of the connection.
    Call.Timeout = std::chrono::milliseconds(300);
    Instant Start = readClock();
    HttpResult Silent = this->call("", false, Call);
    CPPUNIT_ASSERT(Silent.Failure == TargetFailure::TimedOut);
    CPPUNIT_ASSERT(readClock() - Start >= std::chrono::milliseconds(290));
  }

  // Guards against a target that sends bytes until the caller closes the
  // connection: the process would run out of memory long before the request
  // times out.
  void endlessResponsesAreAborted() {
    const std::string Head = "HTTP/1.1 200 OK\r\n";
    const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::pair<std::string, std::string> Cases[] = {
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
    for (const auto &[Prefix, Repeated] : Cases) {
      std::string Block;
      while (Block.size() < 64'000)
        Block += Repeated;
      std::size_t Sent = 0;
      HttpResult Result = this->callEndlessServer(Prefix, Block, Sent);
      CPPUNIT_ASSERT_MESSAGE(Prefix + Repeated, Result.Failure);
      CPPUNIT_ASSERT_MESSAGE(Prefix + Repeated + Result.Detail,
                             *Result.Failure == TargetFailure::Truncated);
      // The largest response, the socket buffers and some blocks.
      CPPUNIT_ASSERT_MESSAGE(Prefix + Repeated + std::to_string(Sent),
                             Sent < (20U << 20));
    }
  }

  // Guards against running out of memory when every slot of a target returns a
  // large response and each is below the limit of a single response.
  void totalResponseMemoryIsLimited() {
    constexpr int Calls = 40;
    constexpr std::size_t BytesPerResponse = 6U << 20;
    std::vector<int> Connections;
    std::vector<std::size_t> Sent;
    int Ended = 0;
    HttpCall Call;
    Call.Server = {"127.0.0.1", Port};
    Call.Method = "GET";
    Call.Target = "/";
    for (int I = 0; I < Calls; ++I)
      this->Client.call(Call, [&](const HttpResult &Result) {
        CPPUNIT_ASSERT(Result.Failure == TargetFailure::Truncated);
        ++Ended;
      });
    const std::string Block(64'000, 'x');
    auto SendResponses = [&] {
      int Connection = accept4(this->Listener, nullptr, nullptr,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (Connection >= 0) {
        Connections.push_back(Connection);
        Sent.push_back(0);
        testing::sendAll(Connection, "HTTP/1.1 200 OK\r\n\r\n");
      }
      for (std::size_t I = 0; I < Connections.size(); ++I)
        while (Sent[I] < BytesPerResponse) {
          ssize_t Written = send(Connections[I], Block.data(), Block.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
          if (Written <= 0)
            break;
          Sent[I] += static_cast<std::size_t>(Written);
        }
    };
    // All open responses together may hold 48 MB, which eight of them have.
    // Sending the others takes seconds on a busy machine.
    CPPUNIT_ASSERT(this->Events.runUntil([&] { return Ended >= Calls - 8; },
                                         SendResponses,
                                         std::chrono::seconds(30)));
    this->Events.runUntil([] { return false; }, SendResponses,
                          std::chrono::milliseconds(500));
    for (int Descriptor : Connections)
      close(Descriptor);
    CPPUNIT_ASSERT(Ended < Calls);
  }

private:
  // Calls a server that sends Prefix and then Block repeatedly until the client
  // closes the connection. Sent counts the bytes of the blocks.
  HttpResult callEndlessServer(std::string_view Prefix, std::string_view Block,
                               std::size_t &Sent) {
    HttpCall Call;
    Call.Server = {"127.0.0.1", Port};
    Call.Method = "GET";
    Call.Target = "/";
    Call.Timeout = std::chrono::milliseconds(3000);
    std::optional<HttpResult> Result;
    this->Client.call(Call,
                      [&](HttpResult Ended) { Result = std::move(Ended); });
    int Server = -1;
    this->Events.runUntil(
        [&] { return Result.has_value(); },
        [&] {
          if (Server < 0) {
            Server = accept4(this->Listener, nullptr, nullptr,
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (Server >= 0)
              testing::sendAll(Server, Prefix);
            return;
          }
          ssize_t Written = send(Server, Block.data(), Block.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
          Sent += Written > 0 ? static_cast<std::size_t>(Written) : 0;
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
  std::string ReceivedRequest;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace
} // namespace orioledoor::wire
