#include "libgooseberryio/line_writer.h"

#include "libgooseberryio/clock.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <fcntl.h>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace gooseberry;

namespace {

/** A pipe whose reading end is read by hand. */
struct hand_read_pipe
{
  hand_read_pipe() { BOOST_REQUIRE(pipe(mEnds.data()) == 0); }
  ~hand_read_pipe()
  {
    close(mEnds[0]);
    if (mEnds[1] >= 0) {
      CloseWriter();
    }
  }
  hand_read_pipe(const hand_read_pipe&) = delete;
  hand_read_pipe& operator=(const hand_read_pipe&) = delete;

  /** All until the writing end is closed. */
  std::string ReadToEnd()
  {
    std::string text;
    std::array<char, 4096> block{};
    ssize_t count = 0;
    while ((count = read(mEnds[0], block.data(), block.size())) > 0) {
      text.append(block.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  void CloseWriter() { close(std::exchange(mEnds[1], -1)); }

  /** What lies in the pipe now. */
  std::string ReadAll()
  {
    fcntl(mEnds[0], F_SETFL, O_NONBLOCK);
    return ReadToEnd();
  }

  std::array<int, 2> mEnds{};
};

std::size_t
CountOf(const std::string& aPart, const std::string& aText)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + aPart.size())) {
    ++count;
  }
  return count;
}

/** Lines that the text says were dropped, in any number of lines. */
std::size_t
SumOfCounts(const std::string& aText)
{
  const std::string word = "event=log_lines_dropped count=";
  std::size_t sum = 0;
  for (std::size_t at = aText.find(word); at != std::string::npos;
       at = aText.find(word, at + word.size())) {
    sum += std::stoul(aText.substr(at + word.size()));
  }
  return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(line_writer_suite)

BOOST_AUTO_TEST_CASE(lines_are_written_whole_and_in_order)
{
  hand_read_pipe output;
  {
    io::line_writer writer(output.mEnds[1]);
    writer.Add("one\n");
    writer.Add("two\n");
  }
  BOOST_TEST(output.ReadAll() == "one\ntwo\n");
}

BOOST_AUTO_TEST_CASE(a_reader_that_does_not_read_keeps_nobody)
{
  constexpr int kLines = 40'000;
  const std::string line(99, 'x');
  hand_read_pipe output;
  const auto begun = io::Now();
  {
    io::line_writer writer(output.mEnds[1]);
    for (int i = 0; i < kLines; ++i) {
      writer.Add(line + "\n");
    }
  }
  // A second to close, and room for a slow machine: a wait has no end.
  BOOST_TEST((io::Now() - begun < std::chrono::seconds(20)));
  const std::string text = output.ReadAll();
  BOOST_TEST(text.substr(0, 100) == line + "\n");
}

BOOST_AUTO_TEST_CASE(dropped_lines_are_counted_in_the_log)
{
  constexpr std::size_t kLines = 40'000;
  const std::string line(99, 'x');
  hand_read_pipe output;
  std::string text;
  std::thread reader;
  {
    io::line_writer writer(output.mEnds[1]);
    for (std::size_t i = 0; i < kLines; ++i) {
      writer.Add(line + "\n");
    }
    // Reads from now on, until the writer has ended and its end is closed.
    reader = std::thread([&] { text = output.ReadToEnd(); });
  }
  output.CloseWriter();
  reader.join();
  const std::size_t dropped = SumOfCounts(text);
  BOOST_TEST(dropped > 0U);
  BOOST_TEST(CountOf(line + "\n", text) + dropped == kLines);
}

BOOST_AUTO_TEST_SUITE_END()
