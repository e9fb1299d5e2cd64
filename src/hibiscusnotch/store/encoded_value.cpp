#include "hibiscusnotch/store/encoded_value.hpp"

#include "cbor_format.hpp"

#include <cstdint>
#include <stdexcept>
#include <vector>

namespace hibiscusnotch::store {

using namespace cbor;

namespace {

/// The start of an encoded value.
struct Head
{
  unsigned type = 0;
  uint64_t argument = 0; ///< A number, or the length of what follows.
  std::size_t size = 0;  ///< Bytes of the head itself.
};

/// Nothing if the bytes end within it or if it states no length.
std::optional<Head>
ReadHead(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return std::nullopt;
  }
  const auto initial = static_cast<unsigned char>(aBytes.front());
  Head head;
  head.type = initial >> kMajorTypeShift;
  head.argument = initial & kArgumentMask;
  head.size = 1;
  if (head.type == Tag || head.argument > kLastLongArgument) {
    return std::nullopt;
  }
  if (head.argument >= kFirstLongArgument) {
    const std::size_t length = std::size_t{ 1 }
                               << (head.argument - kFirstLongArgument);
    if (aBytes.size() - 1 < length) {
      return std::nullopt;
    }
    head.argument = 0;
    for (; head.size <= length; ++head.size) {
      head.argument = head.argument << kByteBits |
                      static_cast<unsigned char>(aBytes[head.size]);
    }
  }
  return head;
}

/// The bytes of a value's head and, for a text, of its content; nothing if they
/// are not all there.
std::optional<std::size_t>
FlatSize(const Head& aHead, std::size_t aAvailable)
{
  const std::size_t left = aAvailable - aHead.size;
  if (aHead.type == Bytes || aHead.type == cbor::Text) {
    return aHead.argument > left
             ? std::nullopt
             : std::optional(aHead.size +
                             static_cast<std::size_t>(aHead.argument));
  }
  // Each value in an array or map takes a byte or more.
  const bool container = aHead.type == Array || aHead.type == Map;
  return container && aHead.argument > left ? std::nullopt
                                            : std::optional(aHead.size);
}

uint64_t
NestedValues(const Head& aHead)
{
  if (aHead.type == Array) {
    return aHead.argument;
  }
  return aHead.type == Map ? aHead.argument * 2 : 0;
}

[[noreturn]] void
ThrowMalformed()
{
  throw std::invalid_argument("malformed value");
}

Head
RequireHead(std::string_view aBytes)
{
  const auto head = ReadHead(aBytes);
  if (!head) {
    ThrowMalformed();
  }
  return *head;
}

/// The size of the first value, with all that is in it.
std::size_t
SizeOfFirst(std::string_view aBytes)
{
  std::size_t at = 0;
  for (uint64_t missing = 1; missing > 0; --missing) {
    const std::string_view rest = aBytes.substr(at);
    const Head head = RequireHead(rest);
    const auto size = FlatSize(head, rest.size());
    if (!size) {
      ThrowMalformed();
    }
    at += *size;
    missing += NestedValues(head);
  }
  return at;
}

} // namespace

bool
IsWellFormedCbor(std::string_view aBytes)
{
  std::vector<uint64_t> missing{ 1 }; // values, by the level they belong to
  while (!missing.empty()) {
    if (missing.back() == 0) {
      missing.pop_back();
      continue;
    }
    --missing.back();
    const auto head = ReadHead(aBytes);
    const auto size = head ? FlatSize(*head, aBytes.size()) : std::nullopt;
    if (!size) {
      return false;
    }
    aBytes.remove_prefix(*size);
    if (head->type == Array || head->type == Map) {
      if (missing.size() > kMaxValueDepth) {
        return false;
      }
      missing.push_back(NestedValues(*head));
    }
  }
  return aBytes.empty();
}

ValueView::ValueView(std::string_view aBytes)
  : bytes_(aBytes.substr(0, SizeOfFirst(aBytes)))
{
}

bool
ValueView::IsNull() const
{
  return bytes_.front() == kNull;
}

bool
ValueView::IsArray() const
{
  return RequireHead(bytes_).type == Array;
}

bool
ValueView::IsObject() const
{
  return RequireHead(bytes_).type == Map;
}

bool
ValueView::IsInteger() const
{
  const unsigned type = RequireHead(bytes_).type;
  return type == UnsignedInteger || type == NegativeInteger;
}

std::optional<std::string_view>
ValueView::Text() const
{
  const Head head = RequireHead(bytes_);
  return head.type == cbor::Text ? std::optional(bytes_.substr(head.size))
                                 : std::nullopt;
}

nlohmann::json
ValueView::Scalar() const
{
  if (IsArray() || IsObject()) {
    throw std::invalid_argument("expected a single value");
  }
  return nlohmann::json::from_cbor(bytes_);
}

std::optional<ValueView>
ValueView::Find(std::string_view aName) const
{
  std::optional<ValueView> found;
  if (IsObject()) {
    ForEachMember([&](std::string_view aMember, const ValueView& aValue) {
      if (aMember == aName) {
        found = aValue;
      }
    });
  }
  return found;
}

ValueView
ValueView::At(std::string_view aName) const
{
  const auto found = Find(aName);
  if (!found) {
    throw std::invalid_argument("missing: " + std::string(aName));
  }
  return *found;
}

std::size_t
ValueView::Size() const
{
  const Head head = RequireHead(bytes_);
  return head.type == Array || head.type == Map
           ? static_cast<std::size_t>(head.argument)
           : 0;
}

std::string_view
ValueView::Elements() const
{
  const Head head = RequireHead(bytes_);
  if (head.type != Array) {
    throw std::invalid_argument("expected a list");
  }
  return bytes_.substr(head.size);
}

std::string_view
ValueView::Members() const
{
  const Head head = RequireHead(bytes_);
  if (head.type != Map) {
    throw std::invalid_argument("expected a table");
  }
  return bytes_.substr(head.size);
}

ValueView
ValueView::Next(std::string_view& aRest)
{
  const ValueView value(aRest);
  aRest.remove_prefix(value.bytes_.size());
  return value;
}

std::string_view
ValueView::RequireText(const ValueView& aValue)
{
  const auto text = aValue.Text();
  if (!text) {
    throw std::invalid_argument("expected a text");
  }
  return *text;
}

EncodedValue::EncodedValue(std::string aBytes)
  : bytes_(std::make_shared<const std::string>(std::move(aBytes)))
{
}

EncodedValue
EncodedValue::FromJson(const nlohmann::json& aValue)
{
  if (aValue.is_null()) {
    return {};
  }
  std::string bytes;
  nlohmann::json::to_cbor(aValue, bytes);
  bytes.shrink_to_fit();
  return EncodedValue(std::move(bytes));
}

nlohmann::json
EncodedValue::ToJson() const
{
  return nlohmann::json::from_cbor(Encoded());
}

std::string_view
EncodedValue::Encoded() const
{
  static constexpr std::string_view kNullValue(&kNull, 1);
  return bytes_ ? std::string_view(*bytes_) : kNullValue;
}

} // namespace hibiscusnotch::store
