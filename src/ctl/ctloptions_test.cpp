#include "ctl/ctlharness.h"

#include <cstdlib>

using namespace lacewingwharf;

namespace {

std::string
FaultOf(const std::vector<std::string>& aArguments)
{
  const auto options = ParseCtl(aArguments);
  return options.has_error() ? options.error().message : "accepted";
}

bool
Names(const std::string& aFault, const std::string& aText)
{
  return aFault.find(aText) != std::string::npos;
}

} // namespace

// Guards against options that are parsed and then lost.
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

// Guards against a condition that is ignored, so that a write which was meant
// to be conditional replaces another operator's edit.
Test(ctloptions, RefusesContradictoryConditions)
{
  setenv("LACEWINGWHARF_PLATFORM", "127.85.0.1:7000", 1);
  cr_expect(Names(FaultOf({ "put", "a", "-", "--expect", "3", "--force" }),
                  "exclude each other"));
  cr_expect(Names(FaultOf({ "put", "a", "-", "b", "-", "--expect", "3" }),
                  "--expect NAME=REVISION"));
  cr_expect(Names(FaultOf({ "put", "a", "-", "--expect", "b=3" }),
                  "'b', which is not written"));
  cr_expect(Names(FaultOf({ "put", "a", "x", "a", "y" }), "given twice"));
  cr_expect(Names(FaultOf({ "delete", "a", "--expect", "3", "--force" }),
                  "exclude each other"));
}

// Guards against faults whose message does not say what to write instead.
Test(ctloptions, NamesTheOptionAndWhatItAccepts)
{
  setenv("LACEWINGWHARF_PLATFORM", "127.85.0.1:7000", 1);
  cr_expect(Names(FaultOf({ "list", "--timeout", "5s" }),
                  "--timeout '5s': expected a whole number of milliseconds"));
  cr_expect(Names(FaultOf({ "get", "a", "--expect", "-1" }),
                  "--expect '-1': expected"));
  cr_expect(
    Names(FaultOf({ "list", "--platform", "127.85.0.1" }), "expected IP:PORT"));
  cr_expect(Names(FaultOf({ "status", "--daemon", "127.85.0.1:99999" }),
                  "expected IP:PORT"));
  cr_expect(Names(FaultOf({ "list", "--verbose" }), "unknown option"));
  cr_expect(Names(FaultOf({ "status" }), "at least one --daemon"));
  cr_expect(Names(FaultOf({ "wait", "a" }), "at least one --daemon"));
  cr_expect(Names(FaultOf({ "remove", "a" }), "unknown command 'remove'"));
  cr_expect(Names(FaultOf({}), "expected a command"));
  unsetenv("LACEWINGWHARF_PLATFORM");
  cr_expect(Names(FaultOf({ "list" }), "expected --platform"));
  cr_expect(Names(FaultOf({ "check", "a", "-" }), "accepted"));
}
