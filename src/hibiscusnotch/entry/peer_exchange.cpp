#include "hibiscusnotch/entry/peer_exchange.hpp"

#include "hibiscusnotch/entry/fleet_report.hpp"
#include "hibiscusnotch/relay/bind.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <limits>
#include <set>
#include <vector>

namespace hibiscusnotch::entry {

namespace {

using boost::asio::ip::udp;
using routing::LimitSource;

constexpr std::size_t kMaxDatagram = 8 * 1024;
constexpr std::ptrdiff_t kUpstreamsPerPeriod = 60; // 0.6 KB of totals
constexpr std::size_t kAggregatorsPerZone = 2; // the second is the successor

class UdpPeerExchange : public PeerExchange
{
public:
  UdpPeerExchange(boost::asio::io_context& aContext,
                  relay::Timers& aTimers,
                  PeerExchangeOptions aOptions,
                  FleetState& aFleet,
                  EventLog& aLog)
    : timers_(aTimers)
    , options_(std::move(aOptions))
    , fleet_(aFleet)
    , log_(aLog)
    , socket_(aContext, udp::v4())
  {
    relay::BindWhenFree(
      socket_,
      udp::endpoint(boost::asio::ip::make_address(options_.endpoint.address),
                    options_.endpoint.port));
    socket_.non_blocking(true);
    WaitForDatagram();
    Tick();
  }

private:
  void Tick()
  {
    const TimePoint now = timers_.Now();
    const std::vector<std::string> order =
      AggregatorRanking(fleet_, options_.zone);
    if (now - lastTotalAt_ > options_.aggregatorTimeout) {
      ++aggregatorRank_; // the aggregator is unreachable or not up yet
      lastTotalAt_ = now;
    }
    const std::string aggregator = order.empty()
                                     ? options_.instanceName
                                     : order[aggregatorRank_ % order.size()];
    if (aggregator == options_.instanceName) {
      ActAsAggregator(now);
    } else {
      SendTo(fleet_.instances[aggregator].endpoint,
             EncodeFleetReport(LocalReport(now)));
    }
    timers_.After(options_.period * PeriodFactor(), [this] { Tick(); });
  }

  FleetReport LocalReport(TimePoint aNow)
  {
    return { ReportKind::Local,
             options_.instanceName,
             options_.zone,
             LocalLoad(fleet_),
             LocalRolloutReport(fleet_, aNow),
             fleet_.crashEvidence.Report(aNow),
             LimitReports(fleet_, { LimitSource::Response }, aNow),
             speedRotation_.Next(LocalSpeeds(fleet_, aNow),
                                 kSpeedsPerLocalReport) };
  }

  std::vector<LimitReport> KnownLimits(TimePoint aNow) const
  {
    return LimitReports(
      fleet_, { LimitSource::Response, LimitSource::Peer }, aNow);
  }

  void SetLocalReport(TimePoint aNow)
  {
    loadAggregator_.SetReport(options_.instanceName, LocalLoad(fleet_), aNow);
    rolloutAggregator_.SetMemberReport(
      options_.instanceName, LocalRolloutReport(fleet_, aNow), aNow);
  }

  void ActAsAggregator(TimePoint aNow)
  {
    SetLocalReport(aNow);
    std::vector<SpeedReport> ownSpeeds;
    for (const auto& [incarnation, speed] : LocalSpeeds(fleet_, aNow)) {
      ownSpeeds.push_back(speed);
    }
    speedAggregator_.SetReport(options_.instanceName, ownSpeeds, aNow);
    ApplyPeerSpeeds(
      speedAggregator_.NextTotals(
        options_.instanceName, std::numeric_limits<std::size_t>::max(), aNow),
      fleet_,
      aNow);
    ApplyPeerLoad(loadAggregator_.TotalExcluding(options_.instanceName, aNow),
                  fleet_,
                  aNow);
    ApplyRolloutReport(
      rolloutAggregator_.TotalExcluding(options_.instanceName, aNow),
      fleet_,
      aNow);
    lastTotalAt_ = aNow;
    const auto crashes = fleet_.crashEvidence.Report(aNow);
    const auto limits = KnownLimits(aNow);
    if (!fleet_.rollouts.AnyUnfinished() && crashes.empty() && limits.empty()) {
      return; // load is not exchanged between zones
    }
    const std::string message =
      EncodeFleetReport({ ReportKind::ZoneTotal,
                          options_.instanceName,
                          options_.zone,
                          {},
                          rolloutAggregator_.TotalOfMembers(aNow),
                          crashes,
                          limits,
                          {} });
    for (const std::string& peer : RemoteAggregators()) {
      SendTo(fleet_.instances[peer].endpoint, message);
    }
  }

  /// The aggregators of the other zones and their successors.
  std::vector<std::string> RemoteAggregators() const
  {
    std::set<std::string_view> zones;
    for (const auto& [name, instance] : fleet_.instances) {
      if (instance.zone != options_.zone) {
        zones.insert(instance.zone);
      }
    }
    std::vector<std::string> aggregators;
    for (const std::string_view zone : zones) {
      std::vector<std::string> order = AggregatorRanking(fleet_, zone);
      order.resize(std::min(order.size(), kAggregatorsPerZone));
      std::ranges::move(order, std::back_inserter(aggregators));
    }
    return aggregators;
  }

  /// Lengthens the period as reports grow with the zone's upstreams, so that
  /// the bytes per second do not grow.
  int PeriodFactor() const
  {
    const auto upstreams = std::ranges::count_if(
      fleet_.upstreams.Rows(), [this](const auto& aUpstream) {
        return aUpstream.second.entry.zone == options_.zone;
      });
    return 1 + static_cast<int>(upstreams / kUpstreamsPerPeriod);
  }

  void OnReport(const FleetReport& aReport, const udp::endpoint& aSender)
  {
    const TimePoint now = timers_.Now();
    fleet_.crashEvidence.Merge(aReport.crashes, now);
    LogQuarantineChanges(fleet_.crashEvidence, log_);
    MergeLimits(aReport.limits, fleet_, log_, now);
    switch (aReport.kind) {
      case ReportKind::Local:
        loadAggregator_.SetReport(aReport.sender, aReport.load, now);
        rolloutAggregator_.SetMemberReport(
          aReport.sender, aReport.rollouts, now);
        speedAggregator_.SetReport(aReport.sender, aReport.speeds, now);
        ReplyToMember(aReport.sender, aSender, now);
        return;
      case ReportKind::AggregateForMember:
        lastTotalAt_ = now;
        ApplyPeerLoad(aReport.load, fleet_, now);
        ApplyRolloutReport(aReport.rollouts, fleet_, now);
        ApplyPeerSpeeds(aReport.speeds, fleet_, now);
        return;
      case ReportKind::ZoneTotal:
        rolloutAggregator_.SetZoneReport(aReport.zone, aReport.rollouts, now);
        return;
    }
  }

  void ReplyToMember(const std::string& aMember,
                     const udp::endpoint& aEndpoint,
                     TimePoint aNow)
  {
    SetLocalReport(aNow);
    const std::string totals = EncodeFleetReport(
      { ReportKind::AggregateForMember,
        options_.instanceName,
        options_.zone,
        loadAggregator_.TotalExcluding(aMember, aNow),
        rolloutAggregator_.TotalExcluding(aMember, aNow),
        fleet_.crashEvidence.Report(aNow),
        KnownLimits(aNow),
        speedAggregator_.NextTotals(aMember, kSpeedsPerTotal, aNow) });
    boost::system::error_code error;
    // A lost report is superseded by the next one.
    socket_.send_to(boost::asio::buffer(totals), aEndpoint, 0, error);
  }

  void SendTo(const core::Endpoint& aPeer, const std::string& aMessage)
  {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(aPeer.address, error);
    if (!error) {
      // A datagram that cannot be sent now is superseded in the next period.
      socket_.send_to(boost::asio::buffer(aMessage),
                      udp::endpoint(address, aPeer.port),
                      0,
                      error);
    }
  }

  void WaitForDatagram()
  {
    socket_.async_wait(udp::socket::wait_read,
                       [this](const boost::system::error_code& aError) {
                         if (!aError) {
                           ReceiveAll();
                           WaitForDatagram();
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
      if (const auto report =
            DecodeFleetReport({ bytes.data(), size }, reason)) {
        OnReport(*report, sender);
      } else {
        log_.Write(core::EventNumber::PeerMessageUnreadable,
                   "from=" + sender.address().to_string() + " why=\"" + reason +
                     '"');
      }
    }
  }

  relay::Timers& timers_;
  PeerExchangeOptions options_;
  FleetState& fleet_;
  EventLog& log_;
  udp::socket socket_;
  LoadAggregator loadAggregator_;
  RolloutAggregator rolloutAggregator_;
  SpeedAggregator speedAggregator_;
  SpeedRotation speedRotation_;
  std::size_t aggregatorRank_ = 0;
  TimePoint lastTotalAt_{};
};

} // namespace

std::unique_ptr<PeerExchange>
MakePeerExchange(boost::asio::io_context& aContext,
                 relay::Timers& aTimers,
                 PeerExchangeOptions aOptions,
                 FleetState& aFleet,
                 EventLog& aLog)
{
  return std::make_unique<UdpPeerExchange>(
    aContext, aTimers, std::move(aOptions), aFleet, aLog);
}

} // namespace hibiscusnotch::entry
