#include "hibiscusnotch/mesh/message_codec.hpp"

#include <nlohmann/json.hpp>
#include <type_traits>

namespace hibiscusnotch::mesh {

namespace {

using Json = nlohmann::json;
using namespace core;

// Each type lists its fields once; the list serves both directions.

template<class Visit>
void
Fields(UpstreamStatus& aRow, Visit&& aVisit)
{
  aVisit(
    aRow.upstream, aRow.incarnation, aRow.lost, aRow.running, aRow.leaving);
}
template<class Visit>
void
Fields(Rating& aRow, Visit&& aVisit)
{
  aVisit(aRow.requestClass,
         aRow.organisation,
         aRow.version,
         aRow.confidenceBin,
         aRow.step,
         aRow.accepted,
         aRow.good);
}
template<class Visit>
void
Fields(MemberDigest& aRow, Visit&& aVisit)
{
  aVisit(aRow.instance, aRow.incarnation, aRow.sequence, aRow.leaving);
}
template<class Visit>
void
Fields(Heartbeat& aRow, Visit&& aVisit)
{
  aVisit(aRow.incarnation,
         aRow.sequence,
         aRow.configurationRevision,
         aRow.leaving,
         aRow.upstreams,
         aRow.ratings,
         aRow.halted,
         aRow.members);
}
template<class Visit>
void
Fields(ConfigurationUpdate& aRow, Visit&& aVisit)
{
  aVisit(aRow.revision, aRow.body);
}
template<class Visit>
void
Fields(ConfigurationRequest&, Visit&& aVisit)
{
  aVisit();
}
template<class Visit>
void
Fields(ClaimRequest& aRow, Visit&& aVisit)
{
  aVisit(aRow.key, aRow.owner);
}
template<class Visit>
void
Fields(ClaimReply& aRow, Visit&& aVisit)
{
  aVisit(aRow.key, aRow.owner, aRow.state, aRow.outcome, aRow.microUnits);
}
template<class Visit>
void
Fields(ClaimEnd& aRow, Visit&& aVisit)
{
  aVisit(aRow.key, aRow.owner, aRow.released, aRow.outcome, aRow.microUnits);
}
template<class Visit>
void
Fields(Bill& aRow, Visit&& aVisit)
{
  aVisit(aRow.key, aRow.microUnits, aRow.sequence);
}
template<class Visit>
void
Fields(BillBatch& aRow, Visit&& aVisit)
{
  aVisit(aRow.bills, aRow.backup);
}
template<class Visit>
void
Fields(BillReceipt& aRow, Visit&& aVisit)
{
  aVisit(aRow.sequences, aRow.committed);
}
template<class Visit>
void
Fields(BillsCommitted& aRow, Visit&& aVisit)
{
  aVisit(aRow.sequences);
}
template<class Visit>
void
Fields(PinRequest& aRow, Visit&& aVisit)
{
  aVisit(aRow.session, aRow.proposal, aRow.request);
}
template<class Visit>
void
Fields(PinReply& aRow, Visit&& aVisit)
{
  aVisit(aRow.session, aRow.version, aRow.request, aRow.broken);
}
template<class Visit>
void
Fields(UpstreamLossNotice& aRow, Visit&& aVisit)
{
  aVisit(aRow.fingerprint, aRow.losses);
}

template<class Visit>
void
Fields(PinBatch& aRow, Visit&& aVisit)
{
  aVisit(aRow.pins);
}
template<class Visit>
void
Fields(AnswerStatisticsRow& aRow, Visit&& aVisit)
{
  aVisit(aRow.key, aRow.answers, aRow.tokens, aRow.seen, aRow.rated, aRow.good);
}
template<class Visit>
void
Fields(TrialRow& aRow, Visit&& aVisit)
{
  aVisit(aRow.version, aRow.evidence, aRow.good);
}
template<class Visit>
void
Fields(BadAnswerRateRow& aRow, Visit&& aVisit)
{
  aVisit(
    aRow.model, aRow.requestClass, aRow.confidenceBin, aRow.bad, aRow.rated);
}
template<class Visit>
void
Fields(StateTransfer& aRow, Visit&& aVisit)
{
  aVisit(aRow.losses, aRow.answerStatistics, aRow.trials, aRow.badAnswerRates);
}

struct IgnoreFields
{
  template<class... Field>
  void operator()(Field&...) const
  {
  }
};

template<class Type>
concept Record = requires(Type& aRow)
{
  Fields(aRow, IgnoreFields{});
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
Write(const Type& aValue)
{
  if constexpr (IsId<Type>::value) {
    return aValue.value;
  } else if constexpr (std::is_enum_v<Type>) {
    return static_cast<int>(aValue);
  } else if constexpr (IsVector<Type>::value) {
    Json list = Json::array();
    for (const auto& item : aValue) {
      list.push_back(Write(item));
    }
    return list;
  } else if constexpr (Record<Type>) {
    Json list = Json::array();
    // Fields only reads here; it takes a reference to serve both directions.
    Fields(const_cast<Type&>(aValue), [&list](const auto&... aField) {
      (list.push_back(Write(aField)), ...);
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
Read(const Json& aJson, Type& aValue)
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
      Read(item, aValue.emplace_back());
    }
  } else if constexpr (Record<Type>) {
    std::size_t index = 0;
    Fields(aValue, [&aJson, &index](auto&... aField) {
      (Read(aJson.at(index++), aField), ...);
    });
  } else if constexpr (std::is_same_v<Type, bool>) {
    aValue = aJson.get<int>() != 0;
  } else {
    aValue = aJson.get<Type>();
  }
}

template<std::size_t Index = 0>
PeerMessage
ReadAlternative(std::size_t aIndex, const Json& aJson)
{
  if constexpr (Index < std::variant_size_v<PeerMessage>) {
    if (aIndex == Index) {
      std::variant_alternative_t<Index, PeerMessage> message;
      Read(aJson, message);
      return message;
    }
    return ReadAlternative<Index + 1>(aIndex, aJson);
  } else {
    throw std::out_of_range("unknown message " + std::to_string(aIndex));
  }
}

} // namespace

std::vector<uint8_t>
EncodeMessage(const PeerMessage& aMessage)
{
  Json json = Json::array();
  json.push_back(aMessage.index());
  json.push_back(
    std::visit([](const auto& aRow) { return Write(aRow); }, aMessage));
  return Json::to_cbor(json);
}

std::optional<PeerMessage>
DecodeMessage(std::span<const uint8_t> aBytes, std::string& aLastReason)
{
  try {
    const Json json = Json::from_cbor(aBytes.begin(), aBytes.end());
    return ReadAlternative(json.at(0).get<std::size_t>(), json.at(1));
  } catch (const std::exception& aError) {
    aLastReason = aError.what();
    return std::nullopt;
  }
}

} // namespace hibiscusnotch::mesh
