#pragma once

#include "http/ChunkWork.h"
#include "http/HeadLines.h"
#include "http/ReadOnce.h"
#include "http/WorkMeter.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace carawaypond::http {

/// @brief Reads messages from a socket that does not block, as far as the work
/// for them is within limits.
class BoundedReader {
public:
  explicit BoundedReader(WorkLimits Limits = {}) : m_Meter(Limits) {}
  BoundedReader(const BoundedReader &) = delete;
  BoundedReader &operator=(const BoundedReader &) = delete;

  /// @brief Begins an exchange, whose messages share an allowance.
  void beginExchange(TimePoint Now) { m_Meter.begin(Now); }
  /// @brief Begins a message. @p Into must not outlive this object.
  template <typename Parser> void beginMessage(Parser &Into) {
    m_Lines = {};
    m_TrailerLines = 0;
    m_HasUnparsed = true;
    Into.on_chunk_header(m_CountChunk);
  }
  /// @return About how much memory the fields of the message's head use, also
  /// while it is unfinished.
  [[nodiscard]] std::size_t fieldMemory() const {
    return m_Lines.fieldMemory();
  }
  /// @brief Begins a turn: others had theirs since the last one.
  void beginTurn() { m_Meter.beginTurn(); }

  /// @brief Parses what is left in @p Buffer, or reads once and parses that.
  /// @return Close if the exchange costs too much work. Header lines are
  /// counted before they are parsed, chunks and trailer lines afterwards.
  template <bool IsRequest>
  [[nodiscard]] WorkVerdict
  read(boost::asio::ip::tcp::socket &Socket, boost::beast::flat_buffer &Buffer,
       boost::beast::http::basic_parser<IsRequest> &Into, TimePoint Now,
       boost::system::error_code &Failed) {
    bool IsReceiving = !m_HasUnparsed || Buffer.size() == 0;
    std::string_view Bytes =
        IsReceiving ? receiveOnce(Socket, Buffer, Failed) : bytesOf(Buffer);
    if (Failed == boost::asio::error::eof)
      parseEnd(Into, Failed);
    if (Failed || Bytes.empty())
      return WorkVerdict::Continue;
    std::size_t Steps = std::max<std::size_t>(1, m_Lines.count(Bytes));
    std::size_t Received = IsReceiving ? Bytes.size() : 0;
    if (m_Meter.add(Received, Steps, Now) == WorkVerdict::Close)
      return WorkVerdict::Close;
    m_CountChunk.Steps = 0;
    m_HasUnparsed = !parse(Buffer, Into, Failed);
    bool MayBeInTrailer =
        !m_HasUnparsed && Into.is_header_done() && Into.chunked();
    Steps = m_CountChunk.Steps + (MayBeInTrailer ? newTrailerLines(Buffer) : 0);
    // The read has paid for one of them: a peer may send each chunk by itself.
    return m_Meter.add(0, Steps > 0 ? Steps - 1 : 0, Now);
  }

private:
  struct ChunkCounter {
    std::size_t Steps = 0;

    template <typename Text>
    void operator()(std::uint64_t, Text Extensions,
                    boost::system::error_code &) {
      Steps += chunkSteps(Extensions.size());
    }
  };

  static std::string_view bytesOf(const boost::beast::flat_buffer &Buffer) {
    return {static_cast<const char *>(Buffer.data().data()), Buffer.size()};
  }

  /// @brief Counts the lines of an unfinished trailer, which is parsed once it
  /// is complete. Else the buffer holds a line end and part of a chunk's
  /// header.
  [[nodiscard]] std::size_t
  newTrailerLines(const boost::beast::flat_buffer &Unfinished) {
    std::string_view Text = bytesOf(Unfinished);
    auto Ends = std::count(Text.begin(), Text.end(), '\n');
    auto Lines =
        static_cast<std::size_t>(std::max<std::ptrdiff_t>(Ends - 1, 0));
    std::size_t Known = std::exchange(m_TrailerLines, Lines);
    return Lines > Known ? Lines - Known : 0;
  }

  WorkMeter m_Meter;
  HeadLines m_Lines;
  ChunkCounter m_CountChunk;
  std::size_t m_TrailerLines = 0;
  /// Whether the buffer may hold bytes that the parser has not seen.
  bool m_HasUnparsed = true;
};

} // namespace carawaypond::http
