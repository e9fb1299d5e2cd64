/// @file
/// @brief Values of stored objects, held as encoded bytes and read in place.
#pragma once

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscusnotch::store {

/// @brief Deeper values are rejected where they are received. Objects of the
/// platform have about five levels, a mirror's response three more.
inline constexpr std::size_t kMaxValueDepth = 72;

/// @brief True if the bytes are one CBOR value (RFC 8949) of limited depth with
/// all lengths stated and no tags. Uses no recursion and allocates at most one
/// counter a level.
bool
IsWellFormedCbor(std::string_view aBytes);

/// @brief Reads one encoded value in place, and its parts without decoding the
/// others. The bytes must outlive the view.
///
/// All readers throw std::invalid_argument if the value has another type or the
/// bytes are malformed.
class ValueView
{
public:
  /// @param aBytes Start with the value; more may follow.
  explicit ValueView(std::string_view aBytes);

  bool IsNull() const;
  bool IsArray() const;
  bool IsObject() const;
  bool IsInteger() const;
  /// @brief The bytes of this value alone.
  std::string_view Encoded() const { return bytes_; }

  /// @brief The text of a string; nothing if the value is none.
  std::optional<std::string_view> Text() const;
  /// @brief A number, truth value, text or null.
  nlohmann::json Scalar() const;

  /// @brief A member of an object, the last one if the name stands there more
  /// than once; nothing if it is missing or this is no object.
  std::optional<ValueView> Find(std::string_view aName) const;
  /// @brief As Find; a missing member is an error.
  ValueView At(std::string_view aName) const;

  /// @brief The number of elements of an array or of members of an object.
  std::size_t Size() const;
  /// @param aVisit Called with the ValueView of each element of an array.
  template<class Visitor>
  void ForEach(const Visitor& aVisit) const
  {
    std::string_view rest = Elements();
    for (std::size_t left = Size(); left > 0; --left) {
      aVisit(Next(rest));
    }
  }
  /// @param aVisit Called with the name and the ValueView of each member of an
  /// object.
  template<class Visitor>
  void ForEachMember(const Visitor& aVisit) const
  {
    std::string_view rest = Members();
    for (std::size_t left = Size(); left > 0; --left) {
      const std::string_view name = RequireText(Next(rest));
      aVisit(name, Next(rest));
    }
  }

private:
  std::string_view Elements() const;
  std::string_view Members() const;
  static ValueView Next(std::string_view& aRest);
  static std::string_view RequireText(const ValueView& aValue);

  std::string_view bytes_;
};

/// @brief An immutable value; its copies share the bytes.
///
/// A decoded tree takes up to thirty times the bytes of its text, so values are
/// kept encoded and only the parts that a reader asks for are decoded.
class EncodedValue
{
public:
  /// @brief Null.
  EncodedValue() = default;
  /// @param aBytes Well-formed CBOR of one value.
  explicit EncodedValue(std::string aBytes);

  static EncodedValue FromJson(const nlohmann::json& aValue);
  /// @brief The whole value, decoded: for values of limited size.
  nlohmann::json ToJson() const;

  std::string_view Encoded() const;
  ValueView View() const { return ValueView(Encoded()); }
  bool IsNull() const { return View().IsNull(); }
  /// @brief Memory that the value takes, shared by its copies.
  std::size_t HeldBytes() const { return bytes_ ? bytes_->capacity() : 0; }

private:
  std::shared_ptr<const std::string> bytes_;
};

} // namespace hibiscusnotch::store
