#include "common/jsonitems.h"

#include "common/jsonvalue.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

std::vector<std::string>
ItemsOf(std::string_view aText)
{
  const auto split = SplitItems(aText, "items");
  cr_assert(split.has_value(), "%.*s", int(aText.size()), aText.data());
  return { split->items.begin(), split->items.end() };
}

} // namespace

// Brackets, commas and quotes in strings must not move the bounds of the items.
Test(jsonitems, items_are_split_at_the_commas_of_the_array)
{
  using Items = std::vector<std::string>;
  cr_expect(ItemsOf(R"({"items":[]})").empty());
  cr_expect(ItemsOf(R"({"items" : [ ] })").empty());
  cr_expect(ItemsOf(R"({"a":[1],"items":[{"x":[1,2]},"],\"[",3],"b":[]})") ==
            (Items{ R"({"x":[1,2]})", R"("],\"[")", "3" }));
  const auto split = SplitItems(R"({"items":[1,2],"current_rev":7})", "items");
  cr_expect_eq(split->rest, R"({"items":[],"current_rev":7})");
}

// A field of the same name inside an item, or as a value, is not the array.
Test(jsonitems, only_an_array_field_of_the_object_is_split)
{
  cr_expect(ItemsOf(R"({"a":{"items":[1]},"b":"items","items":[2]})") ==
            std::vector<std::string>{ "2" });
  for (const char* text : { "",
                            "[]",
                            R"({"items":1,"b":[]})",
                            R"({"items":{"a":[]}})",
                            R"({"items":[1,)",
                            R"({"items":["\)",
                            R"({"a":"items)" }) {
    cr_expect_not(SplitItems(text, "items").has_value(), "%s", text);
  }
}

// One entry of another writer must not make the rest of a list unreadable, and
// must not overflow the stack of the thread that copies or dumps it.
Test(jsonitems, unusual_items_are_discarded)
{
  const auto nested = [](std::size_t aDepth) {
    return std::string(aDepth, '[') + std::string(aDepth, ']');
  };
  cr_expect_not(ParseItem(nested(kMaxItemDepth)).is_discarded());
  cr_expect(ParseItem(nested(kMaxItemDepth + 1)).is_discarded());
  cr_expect(ParseItem(nested(1000000)).is_discarded());
  cr_expect(ParseItem(std::string(1000000, '[')).is_discarded());
  cr_expect(ParseItem("1e999").is_discarded());
  cr_expect(ParseItem("\"\xff\"").is_discarded());
  cr_expect(ParseItem("").is_discarded());
}

// A number that does not fit must not be taken for another, smaller one.
Test(jsonitems, a_number_beyond_64_bits_is_no_integer)
{
  const auto object = ParseItem(
    R"({"a":9223372036854775807,"b":9223372036854775808,"c":1e30,"d":-1})");
  cr_expect_eq(IntegerField(object, "a"), 9223372036854775807LL);
  cr_expect_eq(IntegerField(object, "b"), std::nullopt);
  cr_expect_eq(IntegerField(object, "c"), std::nullopt);
  cr_expect_eq(IntegerField(object, "d"), -1);
}
