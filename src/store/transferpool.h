#pragma once

#include "store/httpobjectstore.h"
#include "store/storetransfer.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace lacewingwharf {

/** Keeps one connection to the store for each calling thread. */
class TransferPool
{
public:
  explicit TransferPool(HttpStoreConfig aConfig);

  /** Makes a read request for a path and query with the configured limits. */
  TransferRequest MakeRequest(const std::string& aTarget) const;
  PlatformResult<TransferAnswer> Run(const TransferRequest& aRequest);
  const HttpStoreConfig& Config() const;

private:
  StoreTransfer& TransferForThisThread();

  HttpStoreConfig config;
  std::mutex mutex;
  std::map<std::thread::id, std::unique_ptr<StoreTransfer>> transfers;
};

bool
IsSuccess(long aStatus);

/** Returns the error for an HTTP status that is not a success. */
PlatformError
ErrorForStatus(const TransferAnswer& aAnswer);

inline const HttpStoreConfig&
TransferPool::Config() const
{
  return this->config;
}

} // namespace lacewingwharf
