#pragma once

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <tuple>

namespace lacewingwharf::bench {

/**
 * Counts the bytes of TCP connections between daemons of different regions.
 * For each socket, the kernel reports the bytes that the remote end has
 * acknowledged. A connection is counted up to the last Sample() before it
 * closes; bytes that it sends after that are missing.
 */
class RegionLinkCounter
{
public:
  /** aRegionOf returns 0 for addresses that do not belong to a daemon. */
  explicit RegionLinkCounter(std::function<int(std::uint32_t)> aRegionOf)
    : regionOf(std::move(aRegionOf))
    , netlink(socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
  {
  }
  ~RegionLinkCounter() { close(this->netlink); }

  RegionLinkCounter(const RegionLinkCounter&) = delete;
  RegionLinkCounter& operator=(const RegionLinkCounter&) = delete;

  /**
   * Reads the counters of all sockets; returns false when the kernel does not
   * answer.
   */
  bool Sample()
  {
    struct
    {
      nlmsghdr header{};
      inet_diag_req_v2 request{};
    } message;
    message.header.nlmsg_len = sizeof(message);
    message.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    message.header.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
    message.request.sdiag_family = AF_INET;
    message.request.sdiag_protocol = IPPROTO_TCP;
    message.request.idiag_ext = 1U << (INET_DIAG_INFO - 1U);
    message.request.idiag_states = ~0U;
    if (send(this->netlink, &message, sizeof(message), 0) < 0) {
      return false;
    }
    return this->ReadAnswers();
  }

  std::uint64_t Bytes() const
  {
    std::uint64_t sum = 0;
    for (const auto& [connection, bytes] : this->sent) {
      sum += bytes;
    }
    return sum;
  }

private:
  // Local address, remote address, both ports and the socket cookie, which
  // differs when a later connection reuses the same addresses and ports.
  using Key =
    std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint64_t>;

  bool ReadAnswers()
  {
    alignas(nlmsghdr) std::array<char, 65536> buffer{};
    while (true) {
      const ssize_t size = recv(this->netlink, buffer.data(), buffer.size(), 0);
      if (size <= 0) {
        return false;
      }
      auto left = static_cast<std::uint32_t>(size);
      auto* header = reinterpret_cast<nlmsghdr*>(buffer.data()); // NOLINT
      for (; NLMSG_OK(header, left); header = NLMSG_NEXT(header, left)) {
        if (header->nlmsg_type != SOCK_DIAG_BY_FAMILY) {
          return header->nlmsg_type == NLMSG_DONE;
        }
        this->Read(*header);
      }
    }
  }

  void Read(const nlmsghdr& aHeader)
  {
    const auto* const socket =
      static_cast<const inet_diag_msg*>(NLMSG_DATA(&aHeader));
    const inet_diag_sockid& id = socket->id;
    const int local = this->regionOf(ntohl(id.idiag_src[0]));
    const int remote = this->regionOf(ntohl(id.idiag_dst[0]));
    if (local == 0 || remote == 0 || local == remote) {
      return;
    }
    const Key key{ id.idiag_src[0],
                   id.idiag_dst[0],
                   id.idiag_sport << 16U | id.idiag_dport,
                   std::uint64_t{ id.idiag_cookie[0] } << 32U |
                     id.idiag_cookie[1] };
    auto left =
      static_cast<int>(aHeader.nlmsg_len - NLMSG_LENGTH(sizeof(inet_diag_msg)));
    const auto* field = reinterpret_cast<const rtattr*>(socket + 1); // NOLINT
    for (; RTA_OK(field, left); field = RTA_NEXT(field, left)) {
      if (field->rta_type == INET_DIAG_INFO) {
        tcp_info info{};
        std::memcpy(&info,
                    RTA_DATA(field),
                    std::min<std::size_t>(RTA_PAYLOAD(field), sizeof(info)));
        this->sent[key] = info.tcpi_bytes_acked;
      }
    }
  }

  std::function<int(std::uint32_t)> regionOf;
  int netlink;
  std::map<Key, std::uint64_t> sent;
};

} // namespace lacewingwharf::bench
