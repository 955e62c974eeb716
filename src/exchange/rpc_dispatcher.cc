#include "exchange/rpc_dispatcher.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <optional>

#include "base/error.h"
#include "exchange/rpc_error.h"

namespace meadowthread {
namespace {

constexpr int kServerError = -32000;
constexpr char kParseError[] =
    R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":)"
    R"("the body is not one JSON-RPC request object"}})";

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

bool Parse(std::string_view text, Json::Value* value) {
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    return reader->parse(text.data(), text.data() + text.size(), value,
                         nullptr);
  } catch (const std::exception&) {
    // jsoncpp throws on values nested too deeply.
    return false;
  }
}

bool IsOneObject(std::string_view request) {
  const std::size_t first = request.find_first_not_of(" \t\r\n");
  return first != std::string_view::npos && request[first] == '{';
}

std::string EnvelopeOf(const Json::Value& id,
                       const absl::StatusOr<std::string>& result) {
  Json::Value envelope(Json::objectValue);
  envelope["jsonrpc"] = "2.0";
  envelope["id"] = id;
  if (result.ok() && Parse(*result, &envelope["result"])) {
    return Write(envelope);
  }
  envelope.removeMember("result");
  const absl::Status status =
      result.ok() ? absl::InternalError("the method's result is not JSON")
                  : result.status();
  Json::Value& error = envelope["error"];
  error["code"] = kServerError;
  error["message"] =
      std::string(status.message().data(), status.message().size());
  Parse(RpcErrorData(status), &error["data"]);
  return Write(envelope);
}

}  // namespace

// The library expects the result when its handler returns. To allow
// asynchronous methods, the handler only stores a DeferredCall; the JSON-RPC
// envelope is written when the method replies.
class RpcDispatcher::Methods final
    : public jsonrpc::IProcedureInvokationHandler {
 public:
  struct DeferredCall {
    const RpcDeferredHandler* handler = nullptr;
    std::string params;
  };

  Methods()
      : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void Add(std::string_view method, const RpcDeferredHandler& handler) {
    const std::string name(method);
    this->handlers[name] = handler;
    this->protocol->AddProcedure(jsonrpc::Procedure(
        name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    const auto found = this->handlers.find(procedure.GetProcedureName());
    if (found == this->handlers.end()) {
      throw jsonrpc::JsonRpcException(
          jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND);
    }
    this->pending = DeferredCall{&found->second, Write(input)};
    output = Json::Value(Json::objectValue);
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

  std::string Dispatch(const std::string& request) {
    this->pending.reset();
    std::string answer;
    this->protocol->HandleRequest(request, answer);
    return answer;
  }

  std::optional<DeferredCall> TakePending() {
    return std::exchange(this->pending, std::nullopt);
  }

 private:
  std::map<std::string, RpcDeferredHandler> handlers;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
  std::optional<DeferredCall> pending;
};

RpcDispatcher::RpcDispatcher() : methods(std::make_unique<Methods>()) {}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::Register(std::string_view method,
                             const RpcHandler& handler) {
  this->methods->Add(method,
                     [handler](std::string_view params, const RpcReply& reply) {
                       reply(handler(params));
                     });
}

void RpcDispatcher::RegisterDeferred(std::string_view method,
                                     const RpcDeferredHandler& handler) {
  this->methods->Add(method, handler);
}

void RpcDispatcher::Handle(std::string_view request, const RpcAnswer& answer) {
  if (!IsOneObject(request)) {
    answer(kParseError);
    return;
  }
  std::string text;
  Json::Value id;
  std::optional<Methods::DeferredCall> call;
  try {
    text = this->methods->Dispatch(std::string(request));
    call = this->methods->TakePending();
    Json::Value envelope;
    if (call.has_value() && Parse(text, &envelope)) {
      id = envelope["id"];
    }
  } catch (const std::exception&) {
    // jsoncpp throws on values nested too deeply.
    answer(kParseError);
    return;
  }
  if (!call.has_value()) {
    answer(text);
    return;
  }
  (*call->handler)(call->params,
                   [id, answer](const absl::StatusOr<std::string>& result) {
                     answer(EnvelopeOf(id, result));
                   });
}

}  // namespace meadowthread
