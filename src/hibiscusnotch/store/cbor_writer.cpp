#include "hibiscusnotch/store/cbor_writer.hpp"

#include "cbor_format.hpp"

#include <bit>
#include <limits>
#include <utility>

namespace hibiscusnotch::store {

using namespace cbor;

void
CborWriter::Null()
{
  bytes_ += kNull;
}

void
CborWriter::Boolean(bool aValue)
{
  bytes_ += aValue ? kTrue : kFalse;
}

void
CborWriter::Unsigned(uint64_t aValue)
{
  Head(UnsignedInteger, aValue);
}

void
CborWriter::Signed(int64_t aValue)
{
  if (aValue >= 0) {
    Unsigned(static_cast<uint64_t>(aValue));
  } else {
    Head(NegativeInteger, static_cast<uint64_t>(-1 - aValue));
  }
}

void
CborWriter::Double(double aValue)
{
  bytes_ += kDouble;
  BigEndian(std::bit_cast<uint64_t>(aValue), sizeof(aValue));
}

void
CborWriter::Text(std::string_view aText)
{
  Head(cbor::Text, aText.size());
  bytes_ += aText;
}

void
CborWriter::Array(std::size_t aElements)
{
  Head(cbor::Array, aElements);
}

void
CborWriter::Map(std::size_t aMembers)
{
  Head(cbor::Map, aMembers);
}

std::string
CborWriter::Take()
{
  return std::exchange(bytes_, {});
}

void
CborWriter::Head(unsigned aMajorType, uint64_t aArgument)
{
  const unsigned type = aMajorType << kMajorTypeShift;
  if (aArgument < kFirstLongArgument) {
    bytes_ += static_cast<char>(type | static_cast<unsigned>(aArgument));
    return;
  }
  unsigned code = kFirstLongArgument;
  std::size_t length = 1;
  while (length < sizeof(aArgument) && aArgument >> (length * kByteBits) != 0) {
    ++code;
    length *= 2;
  }
  bytes_ += static_cast<char>(type | code);
  BigEndian(aArgument, length);
}

void
CborWriter::BigEndian(uint64_t aValue, std::size_t aBytes)
{
  for (std::size_t index = aBytes; index > 0; --index) {
    bytes_ += static_cast<char>(aValue >> ((index - 1) * kByteBits) &
                                std::numeric_limits<unsigned char>::max());
  }
}

} // namespace hibiscusnotch::store
