#include "hibiscusnotch/entry/gossip.hpp"

#include "hibiscusnotch/entry/fleet_report.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <set>
#include <vector>

namespace hibiscusnotch::entry {

namespace {

using boost::asio::ip::udp;

constexpr std::size_t kMaxDatagram = 8 * 1024;
constexpr std::ptrdiff_t kUpstreamsPerPeriod = 60; // 0.6 KB of sums
constexpr std::size_t kHubsOfZone = 2;             // the second one takes over

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
    const TimePoint now = timers_.Now();
    const std::vector<std::string> order = HubOrder(fleet_, options_.zone);
    if (now - sumsAt_ > options_.hubSilence) {
      ++hubRank_; // the hub is gone, cut off, or not there yet
      sumsAt_ = now;
    }
    const std::string hub =
      order.empty() ? options_.instanceName : order[hubRank_ % order.size()];
    if (hub == options_.instanceName) {
      ServeAsHub(now);
    } else {
      SendTo(fleet_.instances[hub].endpoint, WriteFleetReport(OwnReport(now)));
    }
    timers_.After(options_.period * PeriodFactor(), [this] { Step(); });
  }

  FleetReport OwnReport(TimePoint aNow)
  {
    return { ReportKind::Own,       options_.instanceName,
             options_.zone,         OwnWork(fleet_),
             OwnNews(fleet_, aNow), HeldLosses(fleet_.quarantine) };
  }

  void TakeOwnReport(TimePoint aNow)
  {
    work_.Take(options_.instanceName, OwnWork(fleet_), aNow);
    rollouts_.TakeMember(options_.instanceName, OwnNews(fleet_, aNow), aNow);
  }

  void ServeAsHub(TimePoint aNow)
  {
    TakeOwnReport(aNow);
    ApplyOthersWork(
      work_.SumWithout(options_.instanceName, aNow), fleet_, aNow);
    ApplyOthersNews(
      rollouts_.SumWithout(options_.instanceName, aNow), fleet_, aNow);
    sumsAt_ = aNow;
    if (!fleet_.rollouts.AnyUnfinished() &&
        !fleet_.quarantine.AnyQuarantined()) {
      return; // other zones' work is not exchanged
    }
    const std::string message =
      WriteFleetReport({ ReportKind::ZoneSums,
                         options_.instanceName,
                         options_.zone,
                         {},
                         rollouts_.SumOfMembers(aNow),
                         HeldLosses(fleet_.quarantine) });
    for (const std::string& peer : HubsOfOtherZones()) {
      SendTo(fleet_.instances[peer].endpoint, message);
    }
  }

  /// The instances that serve as hubs elsewhere, or that do so next.
  std::vector<std::string> HubsOfOtherZones() const
  {
    std::set<std::string_view> zones;
    for (const auto& [name, row] : fleet_.instances) {
      if (row.zone != options_.zone) {
        zones.insert(row.zone);
      }
    }
    std::vector<std::string> hubs;
    for (const std::string_view zone : zones) {
      std::vector<std::string> order = HubOrder(fleet_, zone);
      order.resize(std::min(order.size(), kHubsOfZone));
      std::ranges::move(order, std::back_inserter(hubs));
    }
    return hubs;
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

  void OnReport(const FleetReport& aReport, const udp::endpoint& aSender)
  {
    const TimePoint now = timers_.Now();
    for (const auto& [fingerprint, losses] : aReport.losses) {
      fleet_.quarantine.Merge(fingerprint, losses);
    }
    switch (aReport.kind) {
      case ReportKind::Own:
        work_.Take(aReport.sender, aReport.work, now);
        rollouts_.TakeMember(aReport.sender, aReport.news, now);
        AnswerMember(aReport.sender, aSender, now);
        return;
      case ReportKind::Others:
        sumsAt_ = now;
        ApplyOthersWork(aReport.work, fleet_, now);
        ApplyOthersNews(aReport.news, fleet_, now);
        return;
      case ReportKind::ZoneSums:
        rollouts_.TakeZone(aReport.zone, aReport.news, now);
        return;
    }
  }

  void AnswerMember(const std::string& aMember,
                    const udp::endpoint& aEndpoint,
                    TimePoint aNow)
  {
    TakeOwnReport(aNow);
    const std::string sums =
      WriteFleetReport({ ReportKind::Others,
                         options_.instanceName,
                         options_.zone,
                         work_.SumWithout(aMember, aNow),
                         rollouts_.SumWithout(aMember, aNow),
                         HeldLosses(fleet_.quarantine) });
    boost::system::error_code error;
    // A lost sum is followed by the next one.
    socket_.send_to(boost::asio::buffer(sums), aEndpoint, 0, error);
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
      if (const auto report = ReadFleetReport({ bytes.data(), size }, reason)) {
        OnReport(*report, sender);
      } else {
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
  LoadHub work_;
  RolloutHub rollouts_;
  std::size_t hubRank_ = 0;
  TimePoint sumsAt_{};
};

} // namespace

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
