#include "libgooseberryio/line_writer.h"

#include "libgooseberryio/clock.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace gooseberry;

namespace {

/** A pipe whose reading end is read by hand. */
struct hand_read_pipe
{
  hand_read_pipe() { BOOST_REQUIRE(pipe(mEnds.data()) == 0); }
  ~hand_read_pipe()
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }
  hand_read_pipe(const hand_read_pipe&) = delete;
  hand_read_pipe& operator=(const hand_read_pipe&) = delete;

  /** What lies in the pipe now. */
  std::string ReadAll()
  {
    fcntl(mEnds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> block{};
    ssize_t count = 0;
    while ((count = read(mEnds[0], block.data(), block.size())) > 0) {
      text.append(block.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> mEnds{};
};

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
  constexpr int kLines = 40'000;
  const std::string line(99, 'x');
  hand_read_pipe output;
  std::string text;
  {
    io::line_writer writer(output.mEnds[1]);
    for (int i = 0; i < kLines; ++i) {
      writer.Add(line + "\n");
    }
    while (text.find("log_lines_dropped count=") == std::string::npos) {
      text += output.ReadAll();
    }
  }
  text += output.ReadAll();
  std::size_t written = 0;
  for (std::size_t at = 0; (at = text.find(line, at)) != std::string::npos;
       at += line.size()) {
    ++written;
  }
  const std::string word = "count=";
  const auto count = std::stoul(text.substr(text.find(word) + word.size()));
  BOOST_TEST(written + count == kLines);
}

BOOST_AUTO_TEST_SUITE_END()
