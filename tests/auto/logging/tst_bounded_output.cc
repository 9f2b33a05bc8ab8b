// Writing lines to a pipe that is read, full or closed.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

#include "logging/bounded_output.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;

// A pipe whose read end is non-blocking.
class Pipe {
 public:
  Pipe() {
    std::signal(SIGPIPE, SIG_IGN);
    REQUIRE(::pipe(ends_.data()) == 0);
    REQUIRE(::fcntl(ends_[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~Pipe() {
    CloseReader();
    ::close(ends_[1]);
  }

  int writer() const { return ends_[1]; }
  void CloseReader() {
    if (ends_[0] >= 0) ::close(ends_[0]);
    ends_[0] = -1;
  }
  std::string ReadAll() {
    std::string text;
    std::array<char, 4096> buffer{};
    for (;;) {
      const ssize_t size = ::read(ends_[0], buffer.data(), buffer.size());
      if (size <= 0) return text;
      text.append(buffer.data(), static_cast<size_t>(size));
    }
  }

 private:
  std::array<int, 2> ends_{-1, -1};
};

std::string Line(size_t number, size_t size) {
  std::string line = std::to_string(number) + ":";
  line.resize(size - 1, 'x');
  return line + "\n";
}

TEST_CASE("lines arrive whole and in order") {
  Pipe pipe;
  BoundedOutput output(pipe.writer(), milliseconds(20));
  output.Write("one\n");
  output.Write("two\n");
  CHECK(pipe.ReadAll() == "one\ntwo\n");
  CHECK(output.written_lines() == 2);
  CHECK(output.written_bytes() == 8);
  CHECK(output.dropped_lines() == 0);
}

TEST_CASE("a full pipe drops lines, does not block the writer, tears no line") {
  for (const size_t size : {100, 5000, 200000}) {
    CAPTURE(size);
    Pipe pipe;
    BoundedOutput output(pipe.writer(), milliseconds(20));
    constexpr size_t kLines = 3000;
    for (size_t i = 0; i < kLines; ++i) {
      output.Write(Line(i, size));
    }
    CHECK(output.written_lines() + output.dropped_lines() == kLines);
    CHECK(output.dropped_lines() > 0);
    // Once the pipe is read, the unfinished line is completed, and new lines
    // are written.
    std::string text = pipe.ReadAll();
    for (size_t i = 0; i < 10; ++i) {
      output.Write("after\n");
      text += pipe.ReadAll();
    }
    CHECK(text.find("after\n") != std::string::npos);
    size_t begin = 0;
    while (begin < text.size()) {
      const size_t end = text.find('\n', begin);
      REQUIRE(end != std::string::npos);
      const std::string line = text.substr(begin, end - begin + 1);
      const bool whole = line == "after\n" || line.size() == size;
      CHECK(whole);
      begin = end + 1;
    }
  }
}

TEST_CASE("a closed read end drops lines and does not end the process") {
  Pipe pipe;
  BoundedOutput output(pipe.writer(), milliseconds(20));
  output.Write("one\n");
  pipe.CloseReader();
  for (int i = 0; i < 100; ++i) {
    output.Write("lost\n");
  }
  CHECK(output.written_lines() == 1);
  CHECK(output.dropped_lines() == 100);
}

}  // namespace
}  // namespace thornplank
