// Attempts on their way to the host that sends them.
#include "forwarding/forward_protocol.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

const ForwardPeer kPeer = {"front-2", "10.0.0.2", 7200, "z", "secret"};

HttpRequest Attempt() {
  HttpRequest attempt;
  attempt.method = "POST";
  attempt.url = "http://10.0.0.9:80/a/%41?x=%7e";
  attempt.headers = {{"Host", "shop.example"}, {"Request-Id", "r-1"}};
  attempt.body = "body";
  attempt.response_echo = {"Request-Id", "r-1"};
  return attempt;
}

ForwardOrder Order() {
  return {"front-1", "secret", "10.0.0.9:80", 250, "Request-Id"};
}

ServerRequest Received(const HttpRequest& http) {
  ServerRequest request;
  request.method = http.method;
  request.target = http.url.substr(std::string("http://10.0.0.2:7200").size());
  request.headers = http.headers;
  request.body = http.body;
  return request;
}

Test(a_forwarded_attempt, reaches_the_server_as_it_was) {
  const ServerRequest request =
      Received(EncodeForward(Attempt(), kPeer, Order()));
  const auto order = ForwardOrderOf(request);
  cr_assert(order.has_value() && order->from == "front-1" &&
            order->server == "10.0.0.9:80" && order->connect_timeout_ms == 250);
  const HttpRequest sent = DecodeForward(request, *order, "10.0.0.2:7200");
  cr_assert(sent.method == "POST" && sent.body == "body");
  cr_assert(sent.url == Attempt().url);
  cr_assert(sent.headers.size() == 2);
  cr_assert(FindHeader(sent.headers, "Host") == "shop.example");
  cr_assert(sent.send_once && sent.response_echo.value == "r-1");
}

// A caller's headers could have named another server.
Test(a_forwarded_attempt, carries_no_order_of_the_caller) {
  HttpRequest attempt = Attempt();
  attempt.headers.push_back({"meadowthread-forward-server", "10.6.6.6:1"});
  attempt.headers.push_back({"Meadowthread-Forward-Key", "guess"});
  const auto order =
      ForwardOrderOf(Received(EncodeForward(attempt, kPeer, Order())));
  cr_assert(order->server == "10.0.0.9:80" && order->key == "secret");
}

Test(a_host_header, that_the_client_added_is_not_passed_on) {
  HttpRequest attempt = Attempt();
  attempt.headers = {{"Request-Id", "r-1"}};
  ServerRequest request = Received(EncodeForward(attempt, kPeer, Order()));
  request.headers.push_back({"Host", "10.0.0.2:7200"});
  const HttpRequest sent =
      DecodeForward(request, *ForwardOrderOf(request), "10.0.0.2:7200");
  cr_assert(FindHeader(sent.headers, "Host").empty());
}

Test(a_request_without_a_whole_order, is_none) {
  cr_assert(!ForwardOrderOf(Received(Attempt())).has_value());
  ForwardOrder order = Order();
  order.connect_timeout_ms = -1;
  cr_assert(!ForwardOrderOf(Received(EncodeForward(Attempt(), kPeer, order)))
                 .has_value());
  order = Order();
  order.key.clear();
  cr_assert(!ForwardOrderOf(Received(EncodeForward(Attempt(), kPeer, order)))
                 .has_value());
}

Test(each_result, is_read_as_it_was_written) {
  for (const ForwardResult result :
       {ForwardResult::kAnswer, ForwardResult::kAnswerByClose,
        ForwardResult::kNotSent, ForwardResult::kNotTaken,
        ForwardResult::kLost}) {
    const std::vector<HttpHeader> headers = {{"A", "b"}, HeaderOf(result)};
    cr_assert(ForwardResultOf(headers) == result);
    cr_assert(WithoutResult(headers).size() == 1);
  }
  cr_assert(!ForwardResultOf({}).has_value());
}

Test(keys, are_compared_whole) {
  cr_assert(IsSameKey("abc", "abc"));
  cr_assert(!IsSameKey("abc", "abd") && !IsSameKey("abc", "ab"));
  cr_assert(!IsSameKey("", ""), "a host without a key takes no orders");
}

}  // namespace
}  // namespace meadowthread
