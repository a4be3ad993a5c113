#ifndef AUBURNSPRING_STORE_ETCD_STORE_H
#define AUBURNSPRING_STORE_ETCD_STORE_H

#include "auburnspring/base/time.h"
#include "auburnspring/config/settings.h"
#include "auburnspring/decision/key_value_store.h"
#include "auburnspring/store/http_call.h"

namespace auburnspring {

/// etcd v3 client over the JSON gateway (kv/range, kv/txn and kv/deleterange).
/// Each call opens its own connection, so that an unresponsive connection
/// affects only one call.
class EtcdStore : public KeyValueStore {
public:
  explicit EtcdStore(Endpoint endpoint,
                     Duration timeout = std::chrono::milliseconds(800));

  KvReply call(const KvOperation &operation) override;

private:
  KvReply get(const KvOperation &operation) const;
  KvReply putIf(const KvOperation &operation) const;
  KvReply remove(const KvOperation &operation) const;
  absl::StatusOr<HttpResponse> post(const std::string &path,
                                    std::string body) const;

  Endpoint endpoint_;
  Duration timeout_;
};

} // namespace auburnspring

#endif
