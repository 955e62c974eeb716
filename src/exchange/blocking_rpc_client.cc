#include "exchange/blocking_rpc_client.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

#include <exception>

namespace meadowthread {
namespace detail {
namespace {

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

bool Parse(const std::string& text, Json::Value* value) {
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  return reader->parse(text.data(), text.data() + text.size(), value, nullptr);
}

RpcResult FromException(const jsonrpc::JsonRpcException& error) {
  if (error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR) {
    return {RpcEnd::kLost, "", error.GetMessage()};
  }
  if (error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE) {
    return {RpcEnd::kMalformed, "", error.GetMessage()};
  }
  return {RpcEnd::kRefused, Write(error.GetData()), error.GetMessage()};
}

}  // namespace

struct BlockingRpcClient::State {
  State() : connector("http://127.0.0.1/rpc"), client(this->connector) {}

  jsonrpc::HttpClient connector;
  jsonrpc::Client client;
};

BlockingRpcClient::BlockingRpcClient() : state(new State) {}

BlockingRpcClient::~BlockingRpcClient() = default;

RpcResult BlockingRpcClient::Call(const std::string& url,
                                  const std::string& method,
                                  const std::string& params,
                                  std::int64_t limit_ms) {
  this->state->connector.SetUrl(url);
  this->state->connector.SetTimeout(limit_ms);
  try {
    Json::Value value;
    if (!Parse(params, &value)) {
      return {RpcEnd::kMalformed, "", "the parameters are not JSON"};
    }
    return {RpcEnd::kAnswered,
            Write(this->state->client.CallMethod(method, value)), ""};
  } catch (const jsonrpc::JsonRpcException& error) {
    return FromException(error);
  } catch (const std::exception& error) {
    // jsoncpp throws on values nested too deeply.
    return {RpcEnd::kMalformed, "", error.what()};
  }
}

}  // namespace detail
}  // namespace meadowthread
