#pragma once

#include "store/httpobjectstore.h"
#include "store/storetransfer.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace lacewingwharf {

/** The connections to the store, one for each thread that calls it. */
class TransferPool
{
public:
  explicit TransferPool(HttpStoreConfig aConfig);

  /** A read of a path and query with the configured bounds. */
  TransferRequest Request(const std::string& aTarget) const;
  PlatformResult<TransferAnswer> Run(const TransferRequest& aRequest);
  const HttpStoreConfig& Config() const;

private:
  StoreTransfer& TransferOfThread();

  HttpStoreConfig config;
  std::mutex mutex;
  std::map<std::thread::id, std::unique_ptr<StoreTransfer>> transfers;
};

bool
IsSuccess(long aStatus);

/** The error for a status that is not a success. */
PlatformError
ErrorOfStatus(const TransferAnswer& aAnswer);

inline const HttpStoreConfig&
TransferPool::Config() const
{
  return this->config;
}

} // namespace lacewingwharf
