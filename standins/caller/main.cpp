#include "loadrun.h"

#include <fmt/format.h>
#include <getopt.h>

#include <cstdlib>
#include <string>

namespace {

using namespace lacewingwharf;

void
PrintUsage()
{
  fmt::print(
    "usage: lww-caller --daemon ADDRESS:PORT ... [--path P] ... [--method M]\n"
    "         [--header H] ... [--rate N] [--time-ms MS] [--bound-ms MS]\n"
    "         [--seed N] [--body-bytes N] [--answer-bytes N] [--keys]\n");
}

bool
ApplyOption(int aChoice, LoadConfig& aConfig)
{
  switch (aChoice) {
    case 'd':
      aConfig.daemons.emplace_back(optarg);
      return true;
    case 'p':
      aConfig.paths.emplace_back(optarg);
      return true;
    case 'h':
      aConfig.headers.emplace_back(optarg);
      return true;
    case 'm':
      aConfig.method = optarg;
      return true;
    case 'r':
      aConfig.rate = std::atof(optarg);
      return true;
    case 't':
      aConfig.duration = std::atoll(optarg);
      return true;
    case 'o':
      aConfig.callTimeout = std::atoll(optarg);
      return true;
    case 's':
      aConfig.seed = std::strtoull(optarg, nullptr, 10);
      return true;
    case 'b':
      aConfig.bodyBytes = std::strtoull(optarg, nullptr, 10);
      return true;
    case 'a':
      aConfig.answerBytes = std::strtoull(optarg, nullptr, 10);
      return true;
    case 'k':
      aConfig.hasIdempotencyKeys = true;
      return true;
    default:
      return false;
  }
}

bool
ReadOptions(int aCount, char** aArguments, LoadConfig& aConfig)
{
  const option options[] = {
    { "daemon", required_argument, nullptr, 'd' },
    { "path", required_argument, nullptr, 'p' },
    { "header", required_argument, nullptr, 'h' },
    { "method", required_argument, nullptr, 'm' },
    { "rate", required_argument, nullptr, 'r' },
    { "time-ms", required_argument, nullptr, 't' },
    { "bound-ms", required_argument, nullptr, 'o' },
    { "seed", required_argument, nullptr, 's' },
    { "body-bytes", required_argument, nullptr, 'b' },
    { "answer-bytes", required_argument, nullptr, 'a' },
    { "keys", no_argument, nullptr, 'k' },
    { nullptr, 0, nullptr, 0 },
  };
  int choice = 0;
  while ((choice = getopt_long(aCount, aArguments, "", options, nullptr)) !=
         -1) {
    if (!ApplyOption(choice, aConfig)) {
      return false;
    }
  }
  if (aConfig.paths.empty()) {
    aConfig.paths.emplace_back("/");
  }
  return !aConfig.daemons.empty() && aConfig.rate > 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  LoadConfig config;
  if (!ReadOptions(aCount, aArguments, config)) {
    PrintUsage();
    return EXIT_FAILURE;
  }
  LoadRun run(std::move(config));
  fmt::print("{}\n", run.Run());
  return EXIT_SUCCESS;
}
