// What was sent, run and answered, for the verdict and for record.txt.
#pragma once

#include "net.hpp"

#include <cstdio>

namespace review {

class Record
{
public:
  explicit Record(const std::string& aFile)
    : file(std::fopen(aFile.c_str(), "w"))
    , start(NowMs())
  {
  }
  ~Record()
  {
    if (file != nullptr) {
      std::fclose(file);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mutex);
    if (file != nullptr) {
      std::fprintf(file, "%7lld %s\n", NowMs() - start, aText.c_str());
      std::fflush(file);
    }
  }

  /** An upstream begins to work on a request. */
  void Ran(const std::string& aRequestId,
           const std::string& aUpstream,
           const Message& aRequest)
  {
    {
      const std::lock_guard lock(mutex);
      ++runs[aRequestId];
    }
    Line("run " + aRequestId + " at " + aUpstream + " " + aRequest.startLine);
  }

  int Runs(const std::string& aRequestId) const
  {
    const std::lock_guard lock(mutex);
    const auto found = runs.find(aRequestId);
    return found == runs.end() ? 0 : found->second;
  }

private:
  mutable std::mutex mutex;
  std::FILE* file;
  long long start;
  std::map<std::string, int> runs;
};

} // namespace review
