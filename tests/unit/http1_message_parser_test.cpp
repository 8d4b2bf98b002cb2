// Guards against truncated responses that are taken for complete, and against request smuggling.

#include "corneltally/http1/message_parser.h"

#include <string>

#include <catch2/catch.hpp>

using namespace corneltally::http1;

namespace {

message_parser parsed(message_parser::kind inKind, const std::string &inText)
{
    message_parser parser(inKind);
    parser.feed(inText);
    return parser;
}

} // namespace

TEST_CASE("a body with a stated length is read to its end and no further")
{
    message_parser parser(message_parser::kind::response);
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP";
    CHECK(parser.feed(text) == text.size() - 4);
    REQUIRE(parser.complete());
    CHECK(parser.takeBody() == "hello");
    CHECK(parser.response().contentLength == 5);
}

TEST_CASE("bytes of an incomplete head stay with the caller until the head is complete")
{
    message_parser parser(message_parser::kind::request);
    std::string text = "GET /a HTTP/1.1\r\nHo";
    text.erase(0, parser.feed(text));
    text.append("st: x\r\n\r\n");
    parser.feed(text);
    REQUIRE(parser.complete());
    CHECK(parser.request().target == "/a");
    CHECK(findField(parser.request().fields, "host") == "x");
}

TEST_CASE("a truncated body is not complete with either framing")
{
    for (const std::string head : {"Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n"}) {
        message_parser parser = parsed(message_parser::kind::response,
                                       "HTTP/1.1 200 OK\r\n" + head + "\r\n4\r\nabcd");
        parser.feedEnd();
        CHECK(parser.failed());
        CHECK_FALSE(parser.complete());
    }
}

TEST_CASE("a body without a length ends with the connection")
{
    message_parser parser = parsed(message_parser::kind::response, "HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(parser.endsWithConnection());
    CHECK_FALSE(parser.complete());
    parser.feedEnd();
    CHECK(parser.complete());
    CHECK(parser.takeBody() == "abc");
}

TEST_CASE("a request with conflicting body lengths is rejected")
{
    CHECK(parsed(
              message_parser::kind::request,
              "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
              .failed());
    CHECK(parsed(message_parser::kind::request,
                 "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde")
              .failed());
}

TEST_CASE("a head over the limit is distinguished from other errors")
{
    message_parser parser(message_parser::kind::request, 256);
    parser.feed("GET / HTTP/1.1\r\nA: " + std::string(400, 'x') + "\r\n\r\n");
    CHECK(parser.failed());
    CHECK(parser.headTooLarge());
}

TEST_CASE("hop-by-hop fields are removed, including those named in Connection")
{
    header_fields fields{
        {"Connection", "close, X-Private"}, {"x-private", "1"},      {"Keep-Alive", "timeout=5"},
        {"Transfer-Encoding", "chunked"},   {"Content-Length", "3"}, {"Accept", "text/plain"}};
    removeConnectionFields(fields);
    CHECK(fields == header_fields{{"Accept", "text/plain"}});
}
