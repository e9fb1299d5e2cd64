#include "hibiscusnotch/mesh/message_codec.hpp"

#include <nlohmann/json.hpp>
#include <type_traits>

namespace hibiscusnotch::mesh {

namespace {

using Json = nlohmann::json;
using namespace core;

// Each type lists its fields once, for encoding and decoding.

template<class Visit>
void
VisitFields(UpstreamStatus& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.upstream,
         aRecord.incarnation,
         aRecord.lost,
         aRecord.running,
         aRecord.leaving);
}
template<class Visit>
void
VisitFields(Rating& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.requestClass,
         aRecord.organisation,
         aRecord.version,
         aRecord.confidenceBin,
         aRecord.step,
         aRecord.accepted,
         aRecord.good);
}
template<class Visit>
void
VisitFields(MemberDigest& aRecord, Visit&& aVisit)
{
  aVisit(
    aRecord.instance, aRecord.incarnation, aRecord.sequence, aRecord.leaving);
}
template<class Visit>
void
VisitFields(Heartbeat& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.incarnation,
         aRecord.sequence,
         aRecord.configurationRevision,
         aRecord.leaving,
         aRecord.upstreams,
         aRecord.ratings,
         aRecord.halted,
         aRecord.members);
}
template<class Visit>
void
VisitFields(ConfigurationUpdate& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.revision, aRecord.body);
}
template<class Visit>
void
VisitFields(ConfigurationRequest&, Visit&& aVisit)
{
  aVisit();
}
template<class Visit>
void
VisitFields(ClaimRequest& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.key, aRecord.owner);
}
template<class Visit>
void
VisitFields(ClaimReply& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.key,
         aRecord.owner,
         aRecord.state,
         aRecord.outcome,
         aRecord.microUnits);
}
template<class Visit>
void
VisitFields(ClaimEnd& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.key,
         aRecord.owner,
         aRecord.released,
         aRecord.outcome,
         aRecord.microUnits);
}
template<class Visit>
void
VisitFields(Bill& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.key, aRecord.microUnits, aRecord.sequence);
}
template<class Visit>
void
VisitFields(BillBatch& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.bills, aRecord.backup);
}
template<class Visit>
void
VisitFields(BillReceipt& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.sequences, aRecord.committed);
}
template<class Visit>
void
VisitFields(BillsCommitted& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.sequences);
}
template<class Visit>
void
VisitFields(PinRequest& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.session, aRecord.proposal, aRecord.request);
}
template<class Visit>
void
VisitFields(PinReply& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.session, aRecord.version, aRecord.request, aRecord.broken);
}
template<class Visit>
void
VisitFields(UpstreamLossNotice& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.fingerprint, aRecord.losses);
}

template<class Visit>
void
VisitFields(PinBatch& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.pins);
}
template<class Visit>
void
VisitFields(AnswerStatisticsRow& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.key,
         aRecord.answers,
         aRecord.tokens,
         aRecord.answersByBin,
         aRecord.ratedByBin,
         aRecord.goodByBin);
}
template<class Visit>
void
VisitFields(TrialRow& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.version, aRecord.cumulativeSum, aRecord.good);
}
template<class Visit>
void
VisitFields(BadAnswerRateRow& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.model,
         aRecord.requestClass,
         aRecord.confidenceBin,
         aRecord.bad,
         aRecord.rated);
}
template<class Visit>
void
VisitFields(StateTransfer& aRecord, Visit&& aVisit)
{
  aVisit(aRecord.losses,
         aRecord.answerStatistics,
         aRecord.trials,
         aRecord.badAnswerRates);
}

struct IgnoreFields
{
  template<class... Field>
  void operator()(Field&...) const
  {
  }
};

template<class Type>
concept HasFields = requires(Type& aRecord)
{
  VisitFields(aRecord, IgnoreFields{});
};

template<class Type>
struct IsVector : std::false_type
{
};
template<class Item>
struct IsVector<std::vector<Item>> : std::true_type
{
};

template<class Type>
struct IsId : std::false_type
{
};
template<class Tag>
struct IsId<Id<Tag>> : std::true_type
{
};

template<class Type>
Json
ToJson(const Type& aValue)
{
  if constexpr (IsId<Type>::value) {
    return aValue.value;
  } else if constexpr (std::is_enum_v<Type>) {
    return static_cast<int>(aValue);
  } else if constexpr (IsVector<Type>::value) {
    Json list = Json::array();
    for (const auto& item : aValue) {
      list.push_back(ToJson(item));
    }
    return list;
  } else if constexpr (HasFields<Type>) {
    Json list = Json::array();
    // The visitor only reads; VisitFields takes a mutable reference because
    // decoding uses it too.
    VisitFields(const_cast<Type&>(aValue), [&list](const auto&... aField) {
      (list.push_back(ToJson(aField)), ...);
    });
    return list;
  } else if constexpr (std::is_same_v<Type, bool>) {
    return aValue ? 1 : 0;
  } else {
    return aValue;
  }
}

template<class Type>
void
FromJson(const Json& aJson, Type& aValue)
{
  if constexpr (IsId<Type>::value) {
    aValue.value = aJson.get<uint32_t>();
  } else if constexpr (std::is_same_v<Type, ClaimState>) {
    const int state = aJson.get<int>();
    aValue = state < 0 || state > static_cast<int>(ClaimState::Unavailable)
               ? ClaimState::Unavailable
               : static_cast<ClaimState>(state);
  } else if constexpr (IsVector<Type>::value) {
    aValue.clear();
    for (const Json& item : aJson.get_ref<const Json::array_t&>()) {
      FromJson(item, aValue.emplace_back());
    }
  } else if constexpr (HasFields<Type>) {
    std::size_t index = 0;
    VisitFields(aValue, [&aJson, &index](auto&... aField) {
      (FromJson(aJson.at(index++), aField), ...);
    });
  } else if constexpr (std::is_same_v<Type, bool>) {
    aValue = aJson.get<int>() != 0;
  } else {
    aValue = aJson.get<Type>();
  }
}

template<std::size_t Index = 0>
PeerMessage
DecodeAlternative(std::size_t aIndex, const Json& aJson)
{
  if constexpr (Index < std::variant_size_v<PeerMessage>) {
    if (aIndex == Index) {
      std::variant_alternative_t<Index, PeerMessage> message;
      FromJson(aJson, message);
      return message;
    }
    return DecodeAlternative<Index + 1>(aIndex, aJson);
  } else {
    throw std::out_of_range("unknown message type " + std::to_string(aIndex));
  }
}

} // namespace

std::vector<uint8_t>
EncodeMessage(const PeerMessage& aMessage)
{
  Json json = Json::array();
  json.push_back(aMessage.index());
  json.push_back(
    std::visit([](const auto& aRecord) { return ToJson(aRecord); }, aMessage));
  return Json::to_cbor(json);
}

std::optional<PeerMessage>
DecodeMessage(std::span<const uint8_t> aBytes, std::string& aReason)
{
  try {
    const Json json = Json::from_cbor(aBytes.begin(), aBytes.end());
    return DecodeAlternative(json.at(0).get<std::size_t>(), json.at(1));
  } catch (const std::exception& aError) {
    aReason = aError.what();
    return std::nullopt;
  }
}

} // namespace hibiscusnotch::mesh
