/// @file
/// @brief Writes values in CBOR (RFC 8949).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscusnotch::store {

/// @brief Appends values to a byte string; all lengths are stated.
class CborWriter
{
public:
  void Null();
  void Boolean(bool aValue);
  void Unsigned(uint64_t aValue);
  void Signed(int64_t aValue);
  void Double(double aValue);
  void Text(std::string_view aText);
  /// @brief Starts an array; that many values follow.
  void Array(std::size_t aElements);
  /// @brief Starts a map; that many pairs of a text and a value follow.
  void Map(std::size_t aMembers);
  /// @brief Appends values that are encoded already.
  void Encoded(std::string_view aBytes) { bytes_ += aBytes; }
  void Reserve(std::size_t aBytes) { bytes_.reserve(aBytes); }

  std::size_t Size() const { return bytes_.size(); }
  /// @brief Returns the bytes and starts anew.
  std::string Take();

private:
  void Head(unsigned aMajorType, uint64_t aArgument);
  void BigEndian(uint64_t aValue, std::size_t aBytes);

  std::string bytes_;
};

} // namespace hibiscusnotch::store
