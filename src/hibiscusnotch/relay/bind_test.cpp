#include "hibiscusnotch/relay/bind.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace hibiscusnotch::relay;
using boost::asio::ip::tcp;

namespace {

/// Fails a number of times.
struct FakeBind
{
  boost::system::error_code operator()(const tcp::endpoint& /*aEndpoint*/,
                                       boost::system::error_code& aError)
  {
    ++attempts;
    aError = failures > 0 ? failure : boost::system::error_code();
    failures -= failures > 0 ? 1 : 0;
    return aError;
  }

  boost::system::error_code failure;
  int failures = 0;
  int attempts = 0;
};

struct FakeSocket
{
  using protocol_type = tcp;

  FakeBind bind;
};

const tcp::endpoint kEndpoint(boost::asio::ip::make_address("192.0.2.1"), 7100);

boost::system::error_code
ErrorOf(boost::system::errc::errc_t aCode)
{
  return { aCode, boost::system::system_category() };
}

} // namespace

// Guards against an instance that ends at once as its address is still to come.
TEST_CASE("an address that is in use or not there yet is waited for")
{
  for (const auto code : { boost::system::errc::address_in_use,
                           boost::system::errc::address_not_available }) {
    FakeSocket socket{ { ErrorOf(code), 3 } };
    BindWhenFree(socket, kEndpoint);
    CHECK(socket.bind.attempts == 4);
  }
}

TEST_CASE("an error that stays, or that waiting cannot end, names the address")
{
  using namespace std::chrono_literals;
  const auto error = [](FakeSocket& aSocket, std::chrono::microseconds aWait) {
    try {
      BindWhenFree(aSocket, kEndpoint, aWait);
    } catch (const boost::system::system_error& aError) {
      return std::string(aError.what());
    }
    return std::string();
  };
  FakeSocket denied{ { ErrorOf(boost::system::errc::permission_denied), 100 } };
  CHECK(error(denied, 10s).find("192.0.2.1:7100") != std::string::npos);
  CHECK(denied.bind.attempts == 1);
  FakeSocket absent{ { ErrorOf(boost::system::errc::address_not_available),
                       100 } };
  CHECK(error(absent, 50ms).find("192.0.2.1:7100") != std::string::npos);
  CHECK(absent.bind.attempts > 1);
  FakeSocket held{ { ErrorOf(boost::system::errc::address_in_use), 100 } };
  CHECK(error(held, 0s).find("192.0.2.1:7100") != std::string::npos);
  CHECK(held.bind.attempts == 1);
}
