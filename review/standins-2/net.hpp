/// @file
/// @brief Blocking HTTP/1.1 over loopback sockets for the stand-ins of the
/// review: one thread for each connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Address
{
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ':' + std::to_string(port); }
};

inline double
NowMs()
{
  static const auto sStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - sStart)
    .count();
}

inline void
SleepMs(double aMs)
{
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(aMs));
}

inline std::string
Find(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

/// The file record.txt: what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file_(aPath, std::ios::trunc)
  {
  }
  void Write(const std::string& aLine)
  {
    const std::scoped_lock lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f ms  ", NowMs());
    file_ << time << aLine << '\n' << std::flush;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.ip.c_str(), &address.sin_addr);
  return address;
}

/// A connected socket; negative if the connection was refused or timed out.
inline int
Connect(const Address& aAddress, int aReceiveBuffer = 0, int aSegment = 0)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(
      fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
  }
  if (aSegment > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &aSegment, sizeof aSegment);
  }
  const sockaddr_in address = ToSockaddr(aAddress);
  if (connect(
        fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool
SendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

struct Message
{
  std::string first; ///< Request or status line.
  Headers headers;
  std::string body;
  bool complete = false;
  std::string ending; ///< Why it is not complete.

  std::string Word(int aIndex) const
  {
    std::size_t at = 0;
    for (; aIndex > 0 && at != std::string::npos; --aIndex) {
      at = first.find(' ', at);
      at = at == std::string::npos ? at : at + 1;
    }
    return at == std::string::npos ? ""
                                   : first.substr(at, first.find(' ', at) - at);
  }
  std::string Method() const { return Word(0); }
  std::string Target() const { return Word(1); }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

/// Reads messages from one connection.
class Reader
{
public:
  explicit Reader(int aFd)
    : fd_(aFd)
  {
  }

  /// Limits the pace of reading, as a caller on a slow link.
  void SetPace(double aBytesPerSecond) { pace_ = aBytesPerSecond; }
  void SetDeadline(double aAtMs) { deadline_ = aAtMs; }

  /// Reads a head; false if the connection ended before it.
  bool ReadHead(Message& aMessage)
  {
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aMessage)) {
        return false;
      }
    }
    const std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    aMessage.first = head.substr(0, at);
    for (at += 2; at < head.size();) {
      const std::size_t stop = head.find("\r\n", at);
      const std::string line = head.substr(at, stop - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        aMessage.headers.emplace_back(line.substr(0, colon),
                                      line.substr(value));
      }
      at = stop + 2;
    }
    return true;
  }

  /// Reads the body of a message whose head was read.
  void ReadBody(Message& aMessage, bool aIsResponse)
  {
    const std::string length = Find(aMessage.headers, "Content-Length");
    const bool chunked =
      strcasecmp(Find(aMessage.headers, "Transfer-Encoding").c_str(),
                 "chunked") == 0;
    if (chunked) {
      ReadChunks(aMessage);
      return;
    }
    if (length.empty()) {
      if (!aIsResponse) {
        aMessage.complete = true;
        return;
      }
      while (Fill(aMessage)) {
      }
      aMessage.body = std::exchange(buffer_, {});
      aMessage.complete = aMessage.ending == "closed";
      return;
    }
    const std::size_t wanted = std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < wanted) {
      if (!Fill(aMessage)) {
        aMessage.body = std::exchange(buffer_, {});
        return;
      }
    }
    aMessage.body = buffer_.substr(0, wanted);
    buffer_.erase(0, wanted);
    aMessage.complete = true;
  }

  bool Read(Message& aMessage, bool aIsResponse)
  {
    if (!ReadHead(aMessage)) {
      return false;
    }
    ReadBody(aMessage, aIsResponse);
    return aMessage.complete;
  }

private:
  void ReadChunks(Message& aMessage)
  {
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(aMessage)) {
          return;
        }
      }
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!Fill(aMessage)) {
          return;
        }
      }
      aMessage.body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        aMessage.complete = true;
        return;
      }
    }
  }

  bool Fill(Message& aMessage)
  {
    pollfd wait{ fd_, POLLIN, 0 };
    const double left = deadline_ - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left) + 1) <= 0) {
      aMessage.ending = "timed out";
      return false;
    }
    char bytes[16 * 1024];
    const std::size_t most = pace_ > 0 ? 4096 : sizeof bytes;
    const ssize_t count = recv(fd_, bytes, most, 0);
    if (count <= 0) {
      aMessage.ending =
        count == 0 ? "closed" : std::string("error: ") + std::strerror(errno);
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    if (pace_ > 0) {
      SleepMs(1000.0 * static_cast<double>(count) / pace_);
    }
    return true;
  }

  int fd_;
  std::string buffer_;
  double pace_ = 0;
  double deadline_ = 1e12;
};

inline std::string
FormatMessage(const std::string& aFirst,
              const Headers& aHeaders,
              const std::string& aBody,
              bool aWithLength = true)
{
  std::string text = aFirst + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (aWithLength) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/// Accepts connections; each is handled by a thread of its own.
class Server
{
public:
  using Handler = std::function<void(int aFd)>;

  Server(Address aAddress, Handler aHandler)
    : address_(std::move(aAddress))
    , handler_(std::move(aHandler))
  {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = ToSockaddr(address_);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd_, 512) != 0) {
      std::cerr << "cannot listen at " << address_.Text() << ": "
                << std::strerror(errno) << '\n';
      std::_Exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    address_.port = ntohs(address.sin_port);
    std::thread([fd = fd_, handler = handler_] {
      while (true) {
        const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
          if (errno == EINTR || errno == ECONNABORTED) {
            continue;
          }
          return;
        }
        const int noDelay = 1;
        setsockopt(
          connection, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
        std::thread([handler, connection] {
          handler(connection);
          close(connection);
        }).detach();
      }
    }).detach();
  }

  const Address& At() const { return address_; }

private:
  Address address_;
  Handler handler_;
  int fd_ = -1;
};

} // namespace review
