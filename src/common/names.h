#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace lacewingwharf {

/** Maps each value of an enumeration to its text and back. */
template<typename Enum, std::size_t Size>
class NameTable
{
public:
  using Row = std::pair<Enum, std::string_view>;

  constexpr explicit NameTable(std::array<Row, Size> aRows)
    : rows(aRows)
  {
  }

  constexpr std::string_view NameOf(Enum aValue) const
  {
    const auto row = std::ranges::find(this->rows, aValue, &Row::first);
    return row == this->rows.end() ? std::string_view("?") : row->second;
  }

  constexpr std::optional<Enum> ValueOf(std::string_view aName) const
  {
    const auto row = std::ranges::find(this->rows, aName, &Row::second);
    if (row == this->rows.end()) {
      return std::nullopt;
    }
    return row->first;
  }

  constexpr const std::array<Row, Size>& Rows() const { return this->rows; }

private:
  std::array<Row, Size> rows;
};

/** Creates a NameTable whose size is deduced from the list of rows. */
template<typename Enum, std::size_t Size>
constexpr NameTable<Enum, Size>
MakeNameTable(const std::pair<Enum, std::string_view> (&aRows)[Size])
{
  return NameTable<Enum, Size>(std::to_array(aRows));
}

} // namespace lacewingwharf
