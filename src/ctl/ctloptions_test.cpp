#include "ctl/ctlharness.h"

#include <cstdlib>

using namespace lacewingwharf;

namespace {

std::string
ErrorOf(const std::vector<std::string>& aArguments)
{
  const auto options = ParseCtl(aArguments);
  return options.has_error() ? options.error().message : "accepted";
}

bool
Contains(const std::string& aError, const std::string& aText)
{
  return aError.find(aText) != std::string::npos;
}

} // namespace

// Options may be given before, between and after the arguments; none may be
// lost.
Test(ctloptions, ReadsOptionsAnywhere)
{
  const auto options = ParseCtl({ "put",
                                  "--platform",
                                  "127.85.0.1:7000",
                                  "a",
                                  "a.json",
                                  "--expect",
                                  "a=7",
                                  "b",
                                  "-",
                                  "--change",
                                  "c1",
                                  "--json" });
  cr_assert(options.has_value());
  cr_expect_eq(options.value().arguments.size(), 4U);
  cr_expect_eq(options.value().expectedByName.at("a"), 7);
  cr_expect_eq(options.value().changeId, "c1");
  cr_expect(options.value().isJson);
}

// If a contradictory condition were ignored, a write that is meant to be
// conditional could replace the write of another operator.
Test(ctloptions, RefusesContradictoryConditions)
{
  setenv("LACEWINGWHARF_PLATFORM", "127.85.0.1:7000", 1);
  cr_expect(Contains(ErrorOf({ "put", "a", "-", "--expect", "3", "--force" }),
                     "exclude each other"));
  cr_expect(Contains(ErrorOf({ "put", "a", "-", "b", "-", "--expect", "3" }),
                     "--expect NAME=REVISION"));
  cr_expect(Contains(ErrorOf({ "put", "a", "-", "--expect", "b=3" }),
                     "'b', which is not written"));
  cr_expect(Contains(ErrorOf({ "put", "a", "x", "a", "y" }), "given twice"));
  cr_expect(Contains(ErrorOf({ "delete", "a", "--expect", "3", "--force" }),
                     "exclude each other"));
}

// Each error message must name the invalid option and state the valid values.
Test(ctloptions, NamesTheOptionAndWhatItAccepts)
{
  setenv("LACEWINGWHARF_PLATFORM", "127.85.0.1:7000", 1);
  cr_expect(
    Contains(ErrorOf({ "list", "--timeout", "5s" }),
             "--timeout '5s': expected a whole number of milliseconds"));
  cr_expect(Contains(ErrorOf({ "get", "a", "--expect", "-1" }),
                     "--expect '-1': expected"));
  cr_expect(Contains(ErrorOf({ "list", "--platform", "127.85.0.1" }),
                     "expected IP:PORT"));
  cr_expect(Contains(ErrorOf({ "status", "--daemon", "127.85.0.1:99999" }),
                     "expected IP:PORT"));
  cr_expect(Contains(ErrorOf({ "list", "--verbose" }), "unknown option"));
  cr_expect(Contains(ErrorOf({ "status" }), "at least one --daemon"));
  cr_expect(Contains(ErrorOf({ "wait", "a" }), "at least one --daemon"));
  cr_expect(Contains(ErrorOf({ "remove", "a" }), "unknown command 'remove'"));
  cr_expect(Contains(ErrorOf({}), "expected a command"));
  unsetenv("LACEWINGWHARF_PLATFORM");
  cr_expect(Contains(ErrorOf({ "list" }), "expected --platform"));
  cr_expect(Contains(ErrorOf({ "check", "a", "-" }), "accepted"));
}
