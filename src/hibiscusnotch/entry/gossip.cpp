#include "hibiscusnotch/entry/gossip.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

namespace hibiscusnotch::entry {

namespace {

using boost::asio::ip::udp;
using nlohmann::json;

constexpr std::size_t kMaxDatagram = 8 * 1024;
constexpr std::ptrdiff_t kUpstreamsPerPeriod = 60; // 0.6 KB of sums
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
    LoadStep();
  }

private:
  void LoadStep()
  {
    const TimePoint now = timers_.Now();
    const std::vector<std::string> order = HubOrder(fleet_, options_.zone);
    const WorkTable own = OwnWork(fleet_);
    if (order.size() > 1) {
      if (now - sumsAt_ > options_.hubSilence) {
        ++hubRank_; // the hub is gone, cut off, or not there yet
        sumsAt_ = now;
      }
      const std::string& hub = order[hubRank_ % order.size()];
      if (hub == options_.instanceName) {
        hub_.Take(options_.instanceName, own, now);
        ApplyOthersWork(
          hub_.SumWithout(options_.instanceName, now), fleet_, now);
        sumsAt_ = now;
      } else {
        SendTo(fleet_.instances[hub].endpoint,
               WriteLoadMessage(
                 { LoadMessageKind::Report, options_.instanceName, own }));
      }
    }
    timers_.After(options_.loadPeriod * PeriodFactor(), [this] { LoadStep(); });
  }

  /// Sums grow with the zone's upstreams; their bytes a second do not.
  int PeriodFactor() const
  {
    const auto upstreams =
      std::ranges::count_if(fleet_.upstreams.Rows(), [this](const auto& aRow) {
        return aRow.second.entry.zone == options_.zone;
      });
    return 1 + static_cast<int>(upstreams / kUpstreamsPerPeriod);
  }

  void OnLoad(const LoadMessage& aMessage, const udp::endpoint& aSender)
  {
    const TimePoint now = timers_.Now();
    if (aMessage.kind == LoadMessageKind::Sums) {
      sumsAt_ = now;
      ApplyOthersWork(aMessage.work, fleet_, now);
      return;
    }
    hub_.Take(aMessage.sender, aMessage.work, now);
    hub_.Take(options_.instanceName, OwnWork(fleet_), now);
    const std::string sums =
      WriteLoadMessage({ LoadMessageKind::Sums,
                         options_.instanceName,
                         hub_.SumWithout(aMessage.sender, now) });
    boost::system::error_code error;
    // A lost sum is followed by the next one.
    socket_.send_to(boost::asio::buffer(sums), aSender, 0, error);
  }

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
      if (const auto load = ReadLoadMessage({ bytes.data(), size })) {
        OnLoad(*load, sender);
        continue;
      }
      std::string reason;
      if (!ReadGossip({ bytes.data(), size }, fleet_, timers_.Now(), reason)) {
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
  LoadHub hub_;
  std::size_t hubRank_ = 0;
  TimePoint sumsAt_{};
};

} // namespace

std::string
WriteLoadMessage(const LoadMessage& aMessage)
{
  json rows = json::array();
  for (const auto& [upstream, work] : aMessage.work) {
    rows.push_back({ upstream, work.requests, work.promptTokens });
  }
  std::string bytes;
  json::to_cbor(
    json::array({ static_cast<uint8_t>(aMessage.kind), aMessage.sender, rows }),
    bytes);
  return bytes;
}

std::optional<LoadMessage>
ReadLoadMessage(std::string_view aBytes)
{
  try {
    const json message = json::from_cbor(aBytes);
    if (!message.at(0).is_number_unsigned()) {
      return std::nullopt; // evidence starts with a name
    }
    LoadMessage read;
    read.kind = message.at(0).get<uint8_t>() == 1 ? LoadMessageKind::Report
                                                  : LoadMessageKind::Sums;
    read.sender = message.at(1).get<std::string>();
    for (const json& row : message.at(2)) {
      read.work[row.at(0).get<uint32_t>()] = { row.at(1).get<uint32_t>(),
                                               row.at(2).get<uint32_t>() };
    }
    return read;
  } catch (const json::exception&) {
    return std::nullopt; // the reader of evidence reports it
  }
}

std::string
WriteGossip(const std::string& aInstance, FleetState& aFleet, TimePoint aNow)
{
  json rollouts = json::array();
  for (const auto& [service, evidence] : aFleet.rollouts.OwnEvidence(aNow)) {
    rollouts.push_back({ service,
                         evidence.creation,
                         evidence.age.count(),
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
           TimePoint aNow,
           std::string& aLastReason)
{
  try {
    const json message = json::from_cbor(aMessage);
    const auto instance = message.at(0).get<std::string>();
    for (const json& row : message.at(1)) {
      routing::RolloutEvidence evidence;
      evidence.creation = row.at(1).get<uint64_t>();
      evidence.age = Duration{ row.at(2).get<int64_t>() };
      evidence.target = ReadCounts(row.at(3));
      evidence.others = ReadCounts(row.at(4));
      aFleet.rollouts.TakeEvidence(
        row.at(0).get<std::string>(), instance, evidence, aNow);
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
