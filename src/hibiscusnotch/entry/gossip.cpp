#include "hibiscusnotch/entry/gossip.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::entry {

namespace {

using boost::asio::ip::udp;
using nlohmann::json;

constexpr std::size_t kMaxDatagram = 8 * 1024;
constexpr std::size_t kMaxFingerprints = 32; // keeps a message in one packet

json
WriteCounts(const std::map<std::string, routing::AnswerCounts>& aCounts)
{
  json rows = json::array();
  for (const auto& [route, counts] : aCounts) {
    rows.push_back({ route, counts.good, counts.bad });
  }
  return rows;
}

std::map<std::string, routing::AnswerCounts>
ReadCounts(const json& aRows)
{
  std::map<std::string, routing::AnswerCounts> counts;
  for (const json& row : aRows) {
    counts[row.at(0).get<std::string>()] = { row.at(1).get<double>(),
                                             row.at(2).get<double>() };
  }
  return counts;
}

class UdpGossip : public Gossip
{
public:
  UdpGossip(boost::asio::io_context& aContext,
            relay::Timers& aTimers,
            GossipOptions aOptions,
            FleetState& aFleet,
            EventLog& aLog)
    : timers_(aTimers)
    , options_(std::move(aOptions))
    , fleet_(aFleet)
    , log_(aLog)
    , socket_(
        aContext,
        udp::endpoint(boost::asio::ip::make_address(options_.endpoint.address),
                      options_.endpoint.port))
  {
    socket_.non_blocking(true);
    Await();
    Step();
  }

private:
  void Step()
  {
    if (fleet_.rollouts.AnyOpen() || fleet_.quarantine.AnyHeld()) {
      const std::string message =
        WriteGossip(options_.instanceName, fleet_, timers_.Now());
      for (const auto& [name, peer] : fleet_.instances) {
        if (name != options_.instanceName && peer.endpoint.port != 0) {
          SendTo(peer.endpoint, message);
        }
      }
    }
    timers_.After(options_.period, [this] { Step(); });
  }

  void SendTo(const core::Endpoint& aPeer, const std::string& aMessage)
  {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(aPeer.address, error);
    if (!error) {
      // A datagram that cannot leave now is repeated with the next period.
      socket_.send_to(boost::asio::buffer(aMessage),
                      udp::endpoint(address, aPeer.port),
                      0,
                      error);
    }
  }

  void Await()
  {
    socket_.async_wait(udp::socket::wait_read,
                       [this](const boost::system::error_code& aError) {
                         if (!aError) {
                           ReceiveAll();
                           Await();
                         }
                       });
  }

  void ReceiveAll()
  {
    std::array<char, kMaxDatagram> bytes{};
    while (true) {
      udp::endpoint sender;
      boost::system::error_code error;
      const std::size_t size =
        socket_.receive_from(boost::asio::buffer(bytes), sender, 0, error);
      if (error) {
        return;
      }
      std::string reason;
      if (!ReadGossip({ bytes.data(), size }, fleet_, reason)) {
        log_.Write(core::EventNumber::PeerMessageUnreadable,
                   "from=" + sender.address().to_string() + " why=\"" + reason +
                     '"');
      }
    }
  }

  relay::Timers& timers_;
  GossipOptions options_;
  FleetState& fleet_;
  EventLog& log_;
  udp::socket socket_;
};

} // namespace

std::string
WriteGossip(const std::string& aInstance, FleetState& aFleet, TimePoint aNow)
{
  json rollouts = json::array();
  for (const auto& [service, evidence] : aFleet.rollouts.OwnEvidence(aNow)) {
    rollouts.push_back({ service,
                         evidence.creation,
                         WriteCounts(evidence.target),
                         WriteCounts(evidence.others) });
  }
  json losses = json::array();
  for (const auto& [fingerprint, count] : aFleet.quarantine.All()) {
    if (aFleet.quarantine.Holds(fingerprint) &&
        losses.size() < kMaxFingerprints) {
      losses.push_back({ fingerprint, count });
    }
  }
  std::string message;
  json::to_cbor(json::array({ aInstance, rollouts, losses }), message);
  return message;
}

bool
ReadGossip(std::string_view aMessage,
           FleetState& aFleet,
           std::string& aLastReason)
{
  try {
    const json message = json::from_cbor(aMessage);
    const auto instance = message.at(0).get<std::string>();
    for (const json& row : message.at(1)) {
      routing::RolloutEvidence evidence;
      evidence.creation = row.at(1).get<uint64_t>();
      evidence.target = ReadCounts(row.at(2));
      evidence.others = ReadCounts(row.at(3));
      aFleet.rollouts.TakeEvidence(
        row.at(0).get<std::string>(), instance, evidence);
    }
    for (const json& row : message.at(2)) {
      aFleet.quarantine.Merge(row.at(0).get<uint64_t>(),
                              row.at(1).get<uint32_t>());
    }
    return true;
  } catch (const json::exception& aError) {
    aLastReason = aError.what();
    return false;
  }
}

std::unique_ptr<Gossip>
MakeGossip(boost::asio::io_context& aContext,
           relay::Timers& aTimers,
           GossipOptions aOptions,
           FleetState& aFleet,
           EventLog& aLog)
{
  return std::make_unique<UdpGossip>(
    aContext, aTimers, std::move(aOptions), aFleet, aLog);
}

} // namespace hibiscusnotch::entry
