#include "auburnspring/model/host_under_test.h"

namespace auburnspring {

namespace {

class EntryHostAdapter : public HostUnderTest {
public:
  explicit EntryHostAdapter(EntryHost::Options options)
      : host_(std::move(options)) {}

  Actions handle(Event event, Instant now) override {
    return host_.handle(std::move(event), now);
  }
  TimePoint nextWake() const override { return host_.nextWake(); }
  bool isReady() const override { return host_.isReady(); }
  nlohmann::json dump(Instant now) const override { return host_.dump(now); }

private:
  EntryHost host_;
};

} // namespace

std::unique_ptr<HostUnderTest> makeEntryHost(EntryHost::Options options) {
  return std::make_unique<EntryHostAdapter>(std::move(options));
}

} // namespace auburnspring
