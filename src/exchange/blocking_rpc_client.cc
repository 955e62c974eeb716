#include "exchange/blocking_rpc_client.h"

#include <jsonrpccpp/client.h>

#include <exception>

#include "exchange/http_connector.h"

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
    return {RpcOutcome::kConnectionLost, "", error.GetMessage()};
  }
  if (error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE ||
      error.GetCode() == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR) {
    return {RpcOutcome::kMalformed, "", error.GetMessage()};
  }
  return {RpcOutcome::kPeerError, Write(error.GetData()), error.GetMessage()};
}

}  // namespace

struct BlockingRpcClient::State {
  State() : client(this->connector) {}

  HttpConnector connector;
  jsonrpc::Client client;
};

BlockingRpcClient::BlockingRpcClient() : state(new State) {}

BlockingRpcClient::~BlockingRpcClient() = default;

RpcResult BlockingRpcClient::Call(const std::string& url,
                                  const std::string& method,
                                  const std::string& params,
                                  std::int64_t timeout_ms) {
  this->state->connector.SetTarget(url, timeout_ms);
  try {
    Json::Value value;
    if (!Parse(params, &value)) {
      return {RpcOutcome::kMalformed, "", "the parameters are not JSON"};
    }
    return {RpcOutcome::kResult,
            Write(this->state->client.CallMethod(method, value)), ""};
  } catch (const jsonrpc::JsonRpcException& error) {
    if (this->state->connector.TimedOut()) {
      return {RpcOutcome::kTimedOut, "", error.GetMessage()};
    }
    return FromException(error);
  } catch (const std::exception& error) {
    // jsoncpp throws on values nested too deeply.
    return {RpcOutcome::kMalformed, "", error.what()};
  }
}

}  // namespace detail
}  // namespace meadowthread
