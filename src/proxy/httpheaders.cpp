#include "proxy/httpheaders.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace lacewingwharf {

namespace {

constexpr std::array<const char*, 11> kHopByHopHeaders{ "Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Connection",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade",
                                                        "Expect",
                                                        "Content-Length" };

std::string
Trimmed(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return std::string(
    aText.substr(first, aText.find_last_not_of(" \t") - first + 1));
}

/** Removes the headers in aList, the value of a Connection header. */
void
RemoveListedHeaders(HttpHeaders& aHeaders, std::string_view aList)
{
  while (!aList.empty()) {
    const auto comma = std::min(aList.find(','), aList.size());
    aHeaders.erase(Trimmed(aList.substr(0, comma)));
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
}

/** Repeated lines of aSpecialName are joined with aSeparator. */
void
AddHeader(HttpHeaders& aHeaders,
          std::string aName,
          const std::string& aValue,
          const char* aSpecialName,
          const char* aSeparator)
{
  const auto [header, isNew] = aHeaders.try_emplace(std::move(aName), aValue);
  if (!isNew) {
    const bool isSpecial = strcasecmp(header->first.c_str(), aSpecialName) == 0;
    header->second += (isSpecial ? aSeparator : ", ") + aValue;
  }
}

} // namespace

void
AddRequestHeader(HttpHeaders& aHeaders,
                 std::string aName,
                 const std::string& aValue)
{
  AddHeader(aHeaders, std::move(aName), aValue, "Cookie", "; ");
}

void
AddAnswerHeader(HttpHeaders& aHeaders,
                std::string aName,
                const std::string& aValue)
{
  AddHeader(aHeaders, std::move(aName), aValue, "Set-Cookie", "\n");
}

void
RemoveHopByHop(HttpHeaders& aHeaders)
{
  if (const auto connection = aHeaders.find("Connection");
      connection != aHeaders.end()) {
    const std::string list = connection->second;
    RemoveListedHeaders(aHeaders, list);
  }
  for (const char* name : kHopByHopHeaders) {
    aHeaders.erase(name);
  }
}

bool
IsSafeHeader(std::string_view aName, std::string_view aValue)
{
  constexpr std::string_view kUnsafe("\r\n\0", 3);
  return !aName.empty() &&
         aName.find_first_of(std::string_view("\r\n\0: ", 5)) ==
           std::string_view::npos &&
         aValue.find_first_of(kUnsafe) == std::string_view::npos;
}

bool
IsMethodName(std::string_view aMethod)
{
  return !aMethod.empty() &&
         std::ranges::all_of(
           aMethod, [](unsigned char aChar) { return std::isalpha(aChar); });
}

} // namespace lacewingwharf
