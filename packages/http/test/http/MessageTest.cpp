#include "http/http.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace carawaypond;
using namespace carawaypond::http;

TEST_CASE("percent coding round-trips any text, also in a query") {
  bool Held = rc::check([](const std::string &Key, const std::string &Value) {
    RC_ASSERT(percentDecode(percentEncode(Value)) == Value);
    Request Asked;
    Asked.Query = "x=1&" + percentEncode(Key) + "=" + percentEncode(Value);
    if (Key != "x")
      RC_ASSERT(Asked.queryParameter(Key) == Value);
  });
  CHECK(Held);
}

TEST_CASE("an invalid percent encoding is rejected") {
  CHECK(!percentDecode("%"));
  CHECK(!percentDecode("%4"));
  CHECK(!percentDecode("%+1"));
  CHECK(!percentDecode("%zz"));
}

TEST_CASE("header names are compared without regard to case") {
  Request Asked;
  Asked.Headers = {{.Name = "If-Match", .Value = "\"7\""}};
  CHECK(Asked.header("if-match") == "\"7\"");
  CHECK(!Asked.header("if-none-match"));
}

TEST_CASE("an address that is not an IP and a port is an error") {
  for (const char *Good : {"127.0.0.1:80", "[::1]:65535", "0.0.0.0:0"})
    CHECK(formatEndpoint(parseEndpoint(Good).value()) == Good);
  for (const char *Bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                          "localhost:80", "::1:80", "127.0.0.1:8x", "[]:1"})
    CHECK(!parseEndpoint(Bad));
}
