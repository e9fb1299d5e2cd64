#include "hibiscusnotch/store/mirror_server.hpp"

#include "hibiscusnotch/relay/listener.hpp"
#include "hibiscusnotch/store/mirror_responder.hpp"

namespace hibiscusnotch::store {

namespace {

using relay::ExchangeId;

constexpr int kOk = 200;

class HttpMirrorServer : public MirrorServer
{
public:
  HttpMirrorServer(boost::asio::io_context& aContext,
                   relay::Timers& aTimers,
                   core::Endpoint aEndpoint,
                   relay::UnsentBudget* aBudget,
                   relay::DescriptorReserve* aReserve)
    : responder_(
        aTimers,
        [this](MirrorQueryId aId, int aStatus, const std::string& aBody) {
          Respond(aId, aStatus, aBody);
        })
  {
    relay::ListenerOptions options;
    options.endpoint = std::move(aEndpoint);
    listener_ = relay::MakeListener(
      aContext,
      aTimers,
      options,
      { [this](ExchangeId aId, const net::HttpRequest& aRequest) {
         responder_.OnQuery(aId, aRequest.target);
       },
        [this](ExchangeId aId) { responder_.Forget(aId); },
        [](ExchangeId) {} },
      aBudget,
      aReserve);
  }

  Mirror& MirrorOf(const std::string& aKind) override
  {
    return responder_.MirrorOf(aKind);
  }
  void Publish(const std::string& aKind) override { responder_.Publish(aKind); }
  void ConfirmUpTo(const std::string& aKind, TimePoint aTime) override
  {
    responder_.ConfirmUpTo(aKind, aTime);
  }
  void SetConnected(bool aConnected) override
  {
    responder_.SetConnected(aConnected);
  }
  void SetRestoreEnd(TimePoint aTime) override
  {
    responder_.SetRestoreEnd(aTime);
  }

private:
  void Respond(ExchangeId aId, int aStatus, const std::string& aBody)
  {
    listener_->Start(aId,
                     aStatus,
                     aStatus == kOk ? "OK" : "Unavailable",
                     { { "Content-Length", std::to_string(aBody.size()) } },
                     relay::Framing::Length);
    listener_->Write(aId, aBody);
    listener_->Finish(aId);
  }

  MirrorResponder responder_;
  std::unique_ptr<relay::Listener> listener_;
};

} // namespace

std::unique_ptr<MirrorServer>
MakeMirrorServer(boost::asio::io_context& aContext,
                 relay::Timers& aTimers,
                 core::Endpoint aEndpoint,
                 relay::UnsentBudget* aBudget,
                 relay::DescriptorReserve* aReserve)
{
  return std::make_unique<HttpMirrorServer>(
    aContext, aTimers, std::move(aEndpoint), aBudget, aReserve);
}

} // namespace hibiscusnotch::store
