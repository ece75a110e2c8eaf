#pragma once

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace carawaypond::http {

/// @brief Reads at most once from a socket that does not block.
///
/// Beast's read_some() reads on for as long as the parser needs more. While a
/// peer sends chunks so that each read ends within the header of one, it does
/// not return.
/// @return The received bytes, which are at the end of @p Buffer.
inline std::string_view receiveOnce(boost::asio::ip::tcp::socket &Socket,
                                    boost::beast::flat_buffer &Buffer,
                                    boost::system::error_code &Failed) {
  constexpr std::size_t MinBytes = 512;
  constexpr std::size_t MaxBytes = std::size_t{16} << 10;
  std::size_t Free = Buffer.max_size() - Buffer.size();
  std::size_t Spare = Buffer.capacity() - Buffer.size();
  std::size_t Size = std::min({std::max(Spare, MinBytes), MaxBytes, Free});
  if (Size == 0) {
    Failed = boost::beast::http::error::buffer_overflow;
    return {};
  }
  auto Into = Buffer.prepare(Size);
  std::size_t Bytes = Socket.read_some(Into, Failed);
  Buffer.commit(Bytes);
  return {static_cast<const char *>(Into.data()), Bytes};
}

/// @brief Parses what is in @p Buffer.
/// @return Whether the parser needs more bytes, which is no error.
template <bool IsRequest>
bool parse(boost::beast::flat_buffer &Buffer,
           boost::beast::http::basic_parser<IsRequest> &Into,
           boost::system::error_code &Failed) {
  Buffer.consume(Into.put(Buffer.data(), Failed));
  bool NeedsMore = Failed == boost::beast::http::error::need_more;
  if (NeedsMore)
    Failed = {};
  return NeedsMore;
}

/// @brief Ends the message with the peer's stream, if it may end there.
template <bool IsRequest>
void parseEnd(boost::beast::http::basic_parser<IsRequest> &Into,
              boost::system::error_code &Failed) {
  Failed = {};
  if (Into.got_some())
    Into.put_eof(Failed);
  else
    Failed = boost::beast::http::error::end_of_stream;
}

} // namespace carawaypond::http
