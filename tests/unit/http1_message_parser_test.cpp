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

// Failure: a line that begins with a blank is joined to the field before it, or a body that has
// such lines is taken for a head.
TEST_CASE("a folded line in the head of a response fails, one in its body does not")
{
    const auto feedAt = [](const std::string &inText, std::size_t inSplit) {
        message_parser parser(message_parser::kind::response);
        const std::size_t taken = parser.feed(std::string_view(inText).substr(0, inSplit));
        parser.feed(std::string_view(inText).substr(taken));
        parser.feedEnd();
        return parser;
    };
    const std::string body = "a\r\n b\r\n\tc\r\n\r\n d";
    const auto answerWith = [&body](const std::string &inFields) {
        return std::string("HTTP/1.1 200 OK\r\n").append(inFields).append("\r\n").append(body);
    };
    for (const std::string fields : {"", "Name: a\r\n", "Name: a\r\nOther: b\r\n"}) {
        const std::string sound = answerWith(fields);
        for (std::size_t split = 0; split < sound.size(); ++split) {
            INFO(sound << " split at " << split);
            message_parser parser = feedAt(sound, split);
            CHECK(parser.complete());
            CHECK(parser.takeBody() == body);
        }
    }
    for (const std::string fields : {"Name: a\r\n b\r\n", "Name: a\r\n\tb\r\nOther: c\r\n",
                                     "Name: a\r\n \r\n", "Name:\r\n b\r\n", " Name: a\r\n"}) {
        const std::string folded = answerWith(fields);
        for (std::size_t split = 0; split < folded.size(); ++split) {
            INFO(folded << " split at " << split);
            CHECK_FALSE(feedAt(folded, split).complete());
        }
    }
}
