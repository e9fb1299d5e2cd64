/// @file
/// @brief Constants of CBOR (RFC 8949, section 3).
#pragma once

namespace hibiscusnotch::store::cbor {

enum MajorType : unsigned
{
  UnsignedInteger = 0,
  NegativeInteger = 1,
  Bytes = 2,
  Text = 3,
  Array = 4,
  Map = 5,
  Tag = 6,
};

constexpr int kMajorTypeShift = 5;
constexpr unsigned kArgumentMask = 0x1F;
constexpr unsigned kFirstLongArgument = 24; // in 1, 2, 4 or 8 more bytes
constexpr unsigned kLastLongArgument = 27;
constexpr int kByteBits = 8;
constexpr char kFalse = '\xf4';
constexpr char kTrue = '\xf5';
constexpr char kNull = '\xf6';
constexpr char kDouble = '\xfb';

} // namespace hibiscusnotch::store::cbor
