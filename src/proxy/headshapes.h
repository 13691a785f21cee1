#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/** Heads of requests that consist of many or long parts, for tests only. */
namespace lacewingwharf::headshapes {

struct HeadShape
{
  const char* name;
  std::string start;   // @ stands for the path, $ for the headers.
  std::string element; // Repeated; # stands for a number.
  std::string end;
};

inline const std::vector<HeadShape> kShapes{
  { "one long header", "GET @ HTTP/1.1\r\n$A: ", "v", "\r\n\r\n" },
  { "one long target", "GET @", "a", " HTTP/1.1\r\n$\r\n" },
  { "shortest arguments", "GET @?", "a&", " HTTP/1.1\r\n$\r\n" },
  { "empty arguments", "GET @?", "&", " HTTP/1.1\r\n$\r\n" },
  { "short arguments", "GET @?", "k#=v&", " HTTP/1.1\r\n$\r\n" },
  { "shortest cookies", "GET @ HTTP/1.1\r\n$Cookie: ", "a;", "\r\n\r\n" },
  { "short cookies", "GET @ HTTP/1.1\r\n$Cookie: ", "k#=v; ", "\r\n\r\n" },
  { "many cookie lines", "GET @ HTTP/1.1\r\n$", "Cookie: k#=v\r\n", "\r\n" },
  { "shortest headers", "GET @ HTTP/1.1\r\n$", "a:\r\n", "\r\n" },
  { "headers with names of their own",
    "GET @ HTTP/1.1\r\n$",
    "H#:\r\n",
    "\r\n" },
  { "headers of 20 bytes",
    "GET @ HTTP/1.1\r\n$",
    "Header-#: value\r\n",
    "\r\n" },
};

inline std::string
Replaced(std::string aText, char aMark, std::string_view aReplacement)
{
  const auto at = aText.find(aMark);
  return at == std::string::npos ? aText : aText.replace(at, 1, aReplacement);
}

/** Returns a head of at most aBytes that is filled up with elements. */
inline std::string
HeadOf(const HeadShape& aShape,
       std::size_t aBytes,
       std::string_view aPath = "/a",
       std::string_view aHeaders = "Host: x\r\n")
{
  constexpr int kFirstNumber = 100;
  std::string head =
    Replaced(Replaced(aShape.start, '@', aPath), '$', aHeaders);
  const std::string end = Replaced(aShape.end, '$', aHeaders);
  for (int number = kFirstNumber;; ++number) {
    const std::string element =
      Replaced(aShape.element, '#', std::to_string(number));
    if (head.size() + element.size() + end.size() > aBytes) {
      return head + end;
    }
    head += element;
  }
}

} // namespace lacewingwharf::headshapes
