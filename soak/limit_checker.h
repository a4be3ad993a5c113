#ifndef AUBURNSPRING_SOAK_LIMIT_CHECKER_H
#define AUBURNSPRING_SOAK_LIMIT_CHECKER_H

#include "auburnspring/base/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnspring::soak {

/// Checks that the hosts together send an upstream no more than one and a half
/// times what the limit that it names allows in some seconds, and five
/// requests.
class LimitChecker {
public:
  /// The upstream begins to name a limit, or to name none.
  void onLimit(const std::string &upstream, std::optional<double> perSecond,
               TimePoint at);
  /// A response that names the limit goes to the host.
  void onNamed(const std::string &upstream, const std::string &host,
               TimePoint at);
  /// A request of a host arrives; `isConnected` if it was undisrupted.
  void onArrival(const std::string &upstream, const std::string &host,
                 bool isConnected, TimePoint at);

  const std::vector<std::string> &violations() const { return violations_; }
  /// Counts, for the last line of a run.
  std::string summary() const;

private:
  static constexpr Duration SettlingTime = std::chrono::seconds(3);
  static constexpr Duration Window = std::chrono::seconds(4);
  /// From a response that names the limit until its host's requests count.
  static constexpr Duration NamedTime = std::chrono::milliseconds(500);

  struct Limited {
    double perSecond = 0;
    TimePoint since;
    std::map<std::string, TimePoint> namedAt;
    std::deque<TimePoint> window;
  };

  std::map<std::string, Limited> limited_;
  std::vector<std::string> violations_;
  std::size_t limits_ = 0;
  std::size_t counted_ = 0;
};

} // namespace auburnspring::soak

#endif
