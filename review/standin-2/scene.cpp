// Stand-ins for the platform's store, its executors and its clients, and the
// cases of the second review that are shown by a script.
//
//   scene CASE ENTRY_PROGRAM RECORD_FILE
//
// Starts eight entries as separate processes, with settings as in
// deploy/hosted.json.template and the bounds of the site rsz-bayern, and 48
// executors in racks of six. All addresses are loopback addresses. The
// environment variable TROUBLE=0 leaves the disruption out. Exit code: 1 if the
// rule was broken, 0 if it held, 2 if the case could not run.
//
// The store and the executors do what PROTOCOL.md says and nothing else; what
// is left out (groups, trimming, gangs, tickets) is not used by the cases.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using Json = nlohmann::json;
using std::string;

namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}

void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

FILE* record_file = nullptr;
std::mutex record_mutex;

// One line of record.txt, with the time since the start of the program.
void Record(const char* format, ...) {
  std::lock_guard<std::mutex> lock(record_mutex);
  std::fprintf(record_file, "%8.3f ", static_cast<double>(NowMs()) / 1000);
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

[[noreturn]] void Finish(int code);

[[noreturn]] void CannotRun(const string& why) {
  Record("the case could not run: %s", why.c_str());
  Finish(2);
}

// ---- HTTP ----

struct Message {
  string method;
  string target;
  string path;
  std::map<string, string> query;
  std::map<string, string> headers;
  int status = 0;
  string body;
};

string Lower(string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

string UrlDecode(const string& text) {
  string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

void ParseTarget(Message* message) {
  const size_t mark = message->target.find('?');
  message->path = message->target.substr(0, mark);
  if (mark == string::npos) return;
  string rest = message->target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const string pair = rest.substr(0, end);
    const size_t equal = pair.find('=');
    if (equal != string::npos) {
      message->query[pair.substr(0, equal)] = UrlDecode(pair.substr(equal + 1));
    }
    if (end == string::npos) break;
    rest = rest.substr(end + 1);
  }
}

// Reads one message; `buffer` keeps what follows it. `deadline` 0: no limit.
bool ReadMessage(int fd, string* buffer, Message* message, int64_t deadline) {
  size_t header_end = string::npos;
  size_t body_bytes = 0;
  while (true) {
    header_end = buffer->find("\r\n\r\n");
    if (header_end != string::npos) {
      *message = Message();
      string head = buffer->substr(0, header_end);
      size_t line_end = head.find("\r\n");
      const string first = head.substr(0, line_end);
      const size_t a = first.find(' ');
      const size_t b = first.find(' ', a + 1);
      if (first.compare(0, 5, "HTTP/") == 0) {
        message->status = std::atoi(first.c_str() + a + 1);
      } else {
        message->method = first.substr(0, a);
        message->target = first.substr(a + 1, b - a - 1);
        ParseTarget(message);
      }
      while (line_end != string::npos) {
        const size_t begin = line_end + 2;
        line_end = head.find("\r\n", begin);
        const string line = head.substr(
            begin, line_end == string::npos ? string::npos : line_end - begin);
        const size_t colon = line.find(':');
        if (colon == string::npos) continue;
        size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') ++value;
        message->headers[Lower(line.substr(0, colon))] = line.substr(value);
      }
      const auto length = message->headers.find("content-length");
      body_bytes = length == message->headers.end()
                       ? 0
                       : std::strtoul(length->second.c_str(), nullptr, 10);
      if (buffer->size() >= header_end + 4 + body_bytes) {
        message->body = buffer->substr(header_end + 4, body_bytes);
        buffer->erase(0, header_end + 4 + body_bytes);
        return true;
      }
    }
    if (deadline > 0) {
      const int64_t left = deadline - NowMs();
      pollfd waiting{fd, POLLIN, 0};
      if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return false;
      }
    }
    char bytes[16384];
    const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    buffer->append(bytes, static_cast<size_t>(count));
  }
}

bool SendAll(int fd, const string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A port that was free just now. Below the ports that the system gives to
// outgoing connections, so that none of these takes it before it is used.
int FreePort() {
  constexpr int kFirst = 12000;
  constexpr int kCount = 18000;
  static int next = static_cast<int>(::getpid()) * 211 % kCount;
  for (int tried = 0; tried < kCount; ++tried) {
    const int port = kFirst + next++ % kCount;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const int failed = ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof address);
    ::close(fd);
    if (failed == 0) return port;
  }
  CannotRun("no free port");
}

struct Reply {
  int status = 200;
  string type = "application/json";
  string body;
  // No response; the connection returns nothing further.
  bool silent = false;
};

class Server {
 public:
  using Handler = std::function<Reply(const Message&)>;

  Server(int port, Handler handler) : port_(port), handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = Loopback(port);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener_, 512) != 0) {
      CannotRun("cannot listen on port " + std::to_string(port));
    }
    std::thread([this] { Accept(); }).detach();
  }

  // As a process that crashes: the listener and all connections are closed.
  void Kill() {
    std::lock_guard<std::mutex> lock(mutex_);
    dead_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    for (const int fd : connections_) {
      const linger reset{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      ::shutdown(fd, SHUT_RDWR);
    }
  }

  int port() const { return port_; }

 private:
  void Accept() {
    while (true) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        std::lock_guard<std::mutex> lock(mutex_);
        if (dead_) {
          ::close(fd);
          return;
        }
        connections_.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    string buffer;
    Message request;
    while (ReadMessage(fd, &buffer, &request, 0)) {
      const Reply reply = handler_(request);
      if (reply.silent) {
        char byte;
        while (::recv(fd, &byte, 1, 0) > 0) {
        }
        break;
      }
      const string head =
          "HTTP/1.1 " + std::to_string(reply.status) +
          " X\r\nContent-Type: " + reply.type +
          "\r\nContent-Length: " + std::to_string(reply.body.size()) +
          "\r\n\r\n";
      if (!SendAll(fd, head + reply.body)) break;
    }
    std::lock_guard<std::mutex> lock(mutex_);
    connections_.erase(fd);
    ::close(fd);
  }

  const int port_;
  const Handler handler_;
  int listener_ = -1;
  std::mutex mutex_;
  std::set<int> connections_;
  bool dead_ = false;
};

// A call of a client. Status 0: no response.
Message Call(int port, const string& method, const string& target,
             const string& body, int64_t timeout_ms,
             const std::map<string, string>& headers) {
  Message response;
  const int64_t deadline = NowMs() + timeout_ms;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0) {
    string request = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      request += name + ": " + value + "\r\n";
    }
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    string buffer;
    if (!SendAll(fd, request + body) ||
        !ReadMessage(fd, &buffer, &response, deadline)) {
      response = Message();
    }
  }
  ::close(fd);
  return response;
}

// ---- The platform's store ----

string Base64(const string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

string BigEndian(uint64_t value, int bytes) {
  string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out += static_cast<char>(value >> shift & 0xff);
  }
  return out;
}

class Store {
 public:
  static constexpr int64_t kAnswerMs = 4;

  // What a fault does with an append: nullopt is no fault; otherwise the append
  // is not answered, and carried out that many milliseconds later.
  std::function<std::optional<int64_t>(const std::vector<string>& keys)> fault;

  Store() : server_(FreePort(), [this](const Message& m) { return Handle(m); }) {}

  int port() const { return server_.port(); }

  void Put(const string& topic, const string& key,
           const std::optional<string>& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    topics_[topic].records.push_back({key, value});
    changed_.notify_all();
  }

  int64_t appends() const { return appends_; }

 private:
  struct Item {
    string key;
    std::optional<string> value;
  };
  struct Producer {
    int64_t epoch = -1;
    int64_t sequence = 0;
    struct Done {
      int64_t sequence;
      Json response;
    };
    std::deque<Done> last;
  };
  struct Topic {
    std::vector<Item> records;
    std::map<string, Producer> producers;
  };

  static Reply Respond(int status, const Json& body) {
    Reply reply;
    reply.status = status;
    reply.body = body.dump();
    return reply;
  }

  static std::vector<Item> Decode(const string& bytes) {
    std::vector<Item> items;
    size_t at = 0;
    while (at + 4 <= bytes.size()) {
      size_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = length << 8 | static_cast<unsigned char>(bytes[at++]);
      }
      const string content = bytes.substr(at, length);
      at += length;
      const size_t key_bytes = static_cast<unsigned char>(content[0]);
      Item item{content.substr(1, key_bytes), std::nullopt};
      if (content.size() > 1 + key_bytes) {
        item.value = content.substr(1 + key_bytes);
      }
      items.push_back(std::move(item));
    }
    return items;
  }

  Reply Handle(const Message& request) {
    if (request.path == "/v1/log-append") return Append(request);
    if (request.path == "/v1/log-read") return Read(request);
    if (request.path == "/v1/log-newest") return Newest(request);
    return Respond(404, Json::object());
  }

  Reply Append(const Message& request) {
    ++appends_;
    std::vector<string> keys;
    for (const Item& item : Decode(request.body)) keys.push_back(item.key);
    const std::optional<int64_t> late = fault ? fault(keys) : std::nullopt;
    if (late) {
      std::thread([this, request, delay = *late] {
        SleepMs(delay);
        Store::Apply(request);
      }).detach();
      Reply reply;
      reply.silent = true;
      return reply;
    }
    SleepMs(kAnswerMs);
    return Apply(request);
  }

  Reply Apply(const Message& request) {
    std::lock_guard<std::mutex> lock(mutex_);
    const string topic_name = request.query.at("topic");
    if (topic_name == "keyed.op" || topic_name == "keyed.servers") {
      return Respond(403, Json::object());
    }
    Topic& topic = topics_[topic_name];
    const auto end = static_cast<int64_t>(topic.records.size());
    const auto as_of = request.query.find("as_of");
    if (as_of != request.query.end() && std::stoll(as_of->second) != end) {
      return Respond(412, {{"end", end}});
    }
    Producer* producer = nullptr;
    int64_t sequence = 0;
    if (request.query.count("producer") > 0) {
      producer = &topic.producers[request.query.at("producer")];
      const int64_t epoch = std::stoll(request.query.at("epoch"));
      sequence = std::stoll(request.query.at("seq"));
      if (epoch < producer->epoch) {
        return Respond(409, {{"reason", "fenced"}});
      }
      if (epoch == producer->epoch) {
        for (const Producer::Done& done : producer->last) {
          if (done.sequence == sequence) return Respond(200, done.response);
        }
        if (sequence != producer->sequence + 1) {
          return Respond(
              409, {{"reason", "seq"}, {"seq", producer->sequence + 1}});
        }
      } else {
        producer->last.clear();
      }
      producer->epoch = epoch;
      producer->sequence = sequence;
    }
    for (Item& item : Decode(request.body)) {
      topic.records.push_back(std::move(item));
    }
    const Json response = {
        {"offset", end}, {"end", static_cast<int64_t>(topic.records.size())}};
    if (producer != nullptr) {
      producer->last.push_back({sequence, response});
      if (producer->last.size() > 5) producer->last.pop_front();
    }
    changed_.notify_all();
    return Respond(200, response);
  }

  Reply Read(const Message& request) {
    SleepMs(kAnswerMs);
    const auto from = static_cast<size_t>(std::stoll(request.query.at("from")));
    const auto wait = request.query.find("wait_ms");
    const int64_t wait_ms =
        wait == request.query.end() ? 0 : std::stoll(wait->second);
    std::unique_lock<std::mutex> lock(mutex_);
    const string topic_name = request.query.at("topic");
    changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
      return topics_[topic_name].records.size() > from;
    });
    const std::vector<Item>& records = topics_[topic_name].records;
    Reply reply;
    reply.type = "application/octet-stream";
    reply.body = BigEndian(records.size(), 8) + BigEndian(0, 8);
    for (size_t i = from; i < records.size(); ++i) {
      const Item& item = records[i];
      const string content =
          BigEndian(item.key.size(), 1) + item.key + item.value.value_or("");
      reply.body += BigEndian(content.size(), 4) + content;
      if (reply.body.size() > 1000000) break;
    }
    return reply;
  }

  Reply Newest(const Message& request) {
    SleepMs(kAnswerMs);
    std::lock_guard<std::mutex> lock(mutex_);
    const std::vector<Item>& records =
        topics_[request.query.at("topic")].records;
    std::map<string, size_t> newest;
    for (size_t i = 0; i < records.size(); ++i) {
      if (records[i].value) {
        newest[records[i].key] = i;
      } else {
        newest.erase(records[i].key);
      }
    }
    const auto after = request.query.find("depends_on");
    Json items = Json::array();
    bool has_more = false;
    for (const auto& [key, offset] : newest) {
      if (after != request.query.end() && key <= after->second) continue;
      if (items.size() == 500) {
        has_more = true;
        break;
      }
      items.push_back({{"key", key},
                       {"value", Base64(*records[offset].value)},
                       {"offset", static_cast<int64_t>(offset)}});
    }
    return Respond(200, {{"items", items},
                         {"has_more", has_more},
                         {"end", static_cast<int64_t>(records.size())}});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<string, Topic> topics_;
  std::atomic<int64_t> appends_{0};
  Server server_;
};

// ---- Executors ----

constexpr int64_t kHeartbeatMs = 1500;
constexpr int64_t kStopMs = 200;
constexpr int64_t kLongestHoldMs = 10000;

// One start of a task, as an executor saw it.
struct RunRecord {
  string task;
  int run = 0;
  string executor;
  int64_t began = 0;
  // Until it ended; 0 while it is at work.
  int64_t ended = 0;
  string how;
};

std::mutex runs_mutex;
std::vector<RunRecord> all_runs;

std::vector<RunRecord> RunsOf(const string& job) {
  std::lock_guard<std::mutex> lock(runs_mutex);
  std::vector<RunRecord> runs;
  for (const RunRecord& run : all_runs) {
    if (run.task.compare(0, job.size(), job) == 0) runs.push_back(run);
  }
  return runs;
}

class Executor {
 public:
  Executor(Store* store, int number)
      : store_(*store),
        id_("i-" + std::to_string(10000000 + number)),
        rack_("r1-" + std::to_string(number / 6)),
        zone_("zone-" + string(1, static_cast<char>('a' + number / 12))),
        clock_offset_(500000 + 977 * number),
        server_(FreePort(), [this](const Message& m) { return Handle(m); }) {
    std::thread([this] { Work(); }).detach();
  }

  const string& id() const { return id_; }

  // Lost for good: it runs nothing any more, and never comes back.
  void Kill() {
    std::lock_guard<std::mutex> lock(mutex_);
    dead_ = true;
    for (const auto& [task, run] : running_) EndRecord(run, "lost");
    running_.clear();
    changed_.notify_all();
    server_.Kill();
    std::thread([this] {
      // The platform removes the entry after three heartbeats of silence.
      SleepMs(3 * kHeartbeatMs);
      store_.Put("keyed.servers", id_, std::nullopt);
    }).detach();
  }

  bool alive() const { return !dead_; }
  bool idle() {
    std::lock_guard<std::mutex> lock(mutex_);
    return !dead_ && running_.empty();
  }

 private:
  struct Run {
    string task;
    int run = 0;
    int64_t began = 0;
    int64_t work_ms = 0;
    int64_t stop_at = 0;
    size_t record = 0;
  };

  int64_t ClockMs() const { return clock_offset_ + NowMs(); }

  static void EndRecord(const Run& run, const string& how) {
    std::lock_guard<std::mutex> lock(runs_mutex);
    all_runs[run.record].ended = NowMs();
    all_runs[run.record].how = how;
  }

  void End(const Run& run, const string& how) {
    EndRecord(run, how);
    finished_.push_back({++ends_, run.task, run.run, how, ""});
    last_run_[run.task] = std::max(last_run_[run.task], run.run);
    Record("executor %s: %s run %d ended: %s", id_.c_str(), run.task.c_str(),
           run.run, how.c_str());
    changed_.notify_all();
  }

  // Ends of runs, leases and heartbeats.
  void Work() {
    int64_t next_beat = 0;
    int64_t sequence = 0;
    while (!dead_) {
      {
        std::lock_guard<std::mutex> lock(mutex_);
        if (dead_) return;
        for (auto it = running_.begin(); it != running_.end();) {
          const Run run = it->second;
          string how;
          if (run.stop_at > 0 && NowMs() >= run.stop_at) how = "stopped";
          if (NowMs() - run.began >= run.work_ms) how = "done";
          if (ClockMs() > hold_until_) how = "lapsed";
          if (how.empty()) {
            ++it;
            continue;
          }
          it = running_.erase(it);
          End(run, how);
        }
      }
      if (NowMs() >= next_beat) {
        next_beat = NowMs() + kHeartbeatMs;
        const Json entry = {{"service", "svc-a"},
                            {"addr", "127.0.0.1:" + std::to_string(server_.port())},
                            {"zone", zone_},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", "ready"},
                            {"cold_left_ms", 0},
                            {"capacity",
                             {{"cpu", 64000}, {"mem_mb", 262144}, {"gpu", 8}}},
                            {"labels", {"a", rack_}},
                            {"clock_ms", ClockMs()},
                            {"seq", ++sequence}};
        store_.Put("keyed.servers", id_, entry.dump());
      }
      SleepMs(10);
    }
  }

  Reply Respond(int status, Json body) const {
    body["clock_ms"] = ClockMs();
    Reply reply;
    reply.status = status;
    reply.body = body.dump();
    return reply;
  }

  Reply Handle(const Message& request) {
    if (request.path == "/healthz") return Respond(200, Json::object());
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != id_) {
      return Respond(421, Json::object());
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) return Respond(400, Json::object());
    std::unique_lock<std::mutex> lock(mutex_);
    const int64_t fence = body.value("fence", int64_t{0});
    if (fence < fence_) return Respond(409, {{"reason", "fence"}});
    fence_ = fence;
    if (request.path == "/v1/hold") return Hold(body, &lock);
    if (request.path == "/v1/run-start") return Start(body);
    if (request.path == "/v1/run-stop") return Stop(body);
    if (request.path == "/v1/pace") return Respond(200, Json::object());
    return Respond(404, Json::object());
  }

  void Extend(const Json& body) {
    const int64_t until = body.value("deadline_ms", int64_t{0});
    hold_until_ = std::max(hold_until_,
                           std::min(until, ClockMs() + kLongestHoldMs));
  }

  Reply Hold(const Json& body, std::unique_lock<std::mutex>* lock) {
    Extend(body);
    const int64_t last_seen = body.value("last_seen", int64_t{0});
    const auto seen = [&](const Json& row) {
      return row[0].get<int64_t>() <= last_seen;
    };
    finished_.erase(std::remove_if(finished_.begin(), finished_.end(), seen),
                    finished_.end());
    changed_.wait_for(*lock,
                      std::chrono::milliseconds(body.value("wait_ms", 0)),
                      [&] { return dead_ || !finished_.empty(); });
    Json running = Json::array();
    for (const auto& [task, run] : running_) {
      const auto percent = std::min<int64_t>(
          99, 100 * (NowMs() - run.began) / std::max<int64_t>(run.work_ms, 1));
      running.push_back({task, run.run, "", percent, 1000});
    }
    return Respond(200, {{"running", running}, {"finished", finished_}});
  }

  Reply Start(const Json& body) {
    const auto task = body.value("task", string());
    const int number = body.value("run", 0);
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.run == number) {
      Extend(body);
      return Respond(200, Json::object());
    }
    if (number <= last_run_[task]) {
      Extend(body);
      return Respond(409, {{"reason", "old"}});
    }
    if (body.value("deadline_ms", int64_t{0}) < ClockMs()) {
      return Respond(409, {{"reason", "late"}});
    }
    Extend(body);
    Run run;
    run.task = task;
    run.run = number;
    run.began = NowMs();
    // The stand-in's tasks work for as long as their spec says.
    run.work_ms = std::atoll(body.value("spec", string("0")).c_str());
    {
      std::lock_guard<std::mutex> lock(runs_mutex);
      run.record = all_runs.size();
      all_runs.push_back({task, number, id_, run.began, 0, ""});
    }
    running_[task] = run;
    Record("executor %s: start of %s run %d (fence %lld)", id_.c_str(),
           task.c_str(), number, static_cast<long long>(fence_));
    return Respond(200, Json::object());
  }

  Reply Stop(const Json& body) {
    const auto task = body.value("task", string());
    const int number = body.value("run", 0);
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.run <= number) {
      if (present->second.stop_at == 0) {
        present->second.stop_at = NowMs() + kStopMs;
      }
    } else {
      last_run_[task] = std::max(last_run_[task], number);
    }
    return Respond(200, Json::object());
  }

  Store& store_;
  const string id_;
  const string rack_;
  const string zone_;
  const int64_t clock_offset_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> dead_{false};
  int64_t fence_ = 0;
  int64_t hold_until_ = 0;
  std::map<string, Run> running_;
  std::map<string, int> last_run_;
  int64_t ends_ = 0;
  std::vector<Json> finished_;
  Server server_;
};

// ---- Entries ----

struct Entry {
  pid_t pid = 0;
  int callers = 0;
  int readiness = 0;
};

string folder;
std::vector<Entry> entries;

void Finish(int code) {
  for (const Entry& entry : entries) ::kill(entry.pid, SIGKILL);
  for (const Entry& entry : entries) ::waitpid(entry.pid, nullptr, 0);
  if (!folder.empty() && std::getenv("KEEP") == nullptr) {
    const string command = "rm -rf '" + folder + "'";
    if (std::system(command.c_str()) != 0) Record("cannot remove the folder");
  }
  Record("exit %d", code);
  std::_Exit(code);
}

void StartEntry(const string& program, int number, int store_port) {
  Entry entry;
  entry.callers = FreePort();
  entry.readiness = FreePort();
  const auto address = [](int port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  const string name = "edge-" + std::to_string(number + 1);
  const Json settings = {
      {"name", name},
      {"failure_domain", "zone-" + string(1, static_cast<char>('a' + number / 2))},
      {"listen_callers", address(entry.callers)},
      {"listen_readiness", address(entry.readiness)},
      {"listen_metrics", address(FreePort())},
      {"listen_entries", address(FreePort())},
      {"store_address", address(store_port)},
      {"store_record_bytes", 262144},
      {"store_append_bytes", 2097152},
      {"processor_share", 0.25},
      {"max_descriptors", 4100},
      {"revocation_bound_ms", 5000},
      {"configuration_bound_ms", 2000},
      {"reclaim_bound_ms", 2900},
      {"cancel_bound_ms", 3000},
      {"stop_bound_ms", 400},
      {"gang_patience_ms", 3000},
      {"longest_lease_ms", 10000},
      {"restore_time_ms", 100},
      {"state_kept_s", 120},
      {"stop_grace_s", 6},
      {"worker_heartbeat_ms", 1500},
      {"resize_tolerance_ms", 3000},
      {"far_slowdown", 3},
      {"log_level", "info"}};
  const string path = folder + "/" + name + ".json";
  std::ofstream(path) << settings.dump(2);
  const string log = folder + "/" + name + ".log";
  entry.pid = ::fork();
  if (entry.pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    const string argument = "--settings=" + path;
    ::execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
    ::_exit(127);
  }
  entries.push_back(entry);
}

// ---- Scenes ----

bool trouble = true;
std::unique_ptr<Store> store;
std::vector<std::unique_ptr<Executor>> executors;

constexpr int kExecutors = 48;
constexpr int kEntries = 8;
constexpr char kKey[] = "3hh2b9wu3fexd9dnn2ct";

// Guaranteed accelerators of the four tenants.
void PutConfiguration(const std::vector<int>& guaranteed) {
  Json tenants = Json::array();
  for (size_t i = 0; i < guaranteed.size(); ++i) {
    tenants.push_back(
        {{"name", "tenant-" + std::to_string(i)},
         {"api_keys", {i == 0 ? string(kKey) : "key-" + std::to_string(i)}},
         {"priority", 1},
         {"guaranteed", {{"gpu", guaranteed[i]}}}});
  }
  const Json configuration = {
      {"version", 7},
      {"routes",
       {{{"name", "r-batch"},
         {"host", "nony24.example"},
         {"prefix", "/batch/"},
         {"kind", "non_idempotent"},
         {"timeout_ms", 3000},
         {"slo_ms", 1000},
         {"priority", 1},
         {"service", "svc-a"},
         {"attempts", 2},
         {"stretch", 3.0},
         {"public", false}}}},
      {"services",
       {{{"name", "svc-a"},
         {"health_path", "/healthz"},
         {"max_conns", 64},
         {"protocol", "h1"},
         {"tls", false},
         {"admission_check", false},
         {"standby", false}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 262144},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", tenants}};
  store->Put("keyed.op", "config", configuration.dump());
}

Message Client(size_t entry, const string& method, const string& job,
               const Json& body = nullptr) {
  const string text = body.is_null() ? "" : body.dump();
  const string target = "/batch/" + job;
  const Message response =
      Call(entries[entry].callers, method, target, text, 3000,
           {{"Host", "nony24.example"},
            {"Content-Type", "application/json"},
            {"X-Api-Key", kKey},
            {"X-Timeout-Ms", "3000"}});
  Record("client: %s %s at edge-%zu %s -> %d %s", method.c_str(),
         target.c_str(), entry + 1, text.c_str(), response.status,
         response.status == 200 ? response.body.c_str() : "");
  return response;
}

string StateOf(size_t entry, const string& job) {
  const Message response = Client(entry, "GET", job);
  const Json body = Json::parse(response.body, nullptr, false);
  return response.status == 200 && body.is_object()
             ? body.value("state", string())
             : std::to_string(response.status);
}

Json OneStep(int count, int gpu, int64_t work_ms, const Json& more = {}) {
  Json step = {{"count", count},
               {"cpu", 4000},
               {"mem_mb", 16384},
               {"gpu", gpu},
               {"estimate_ms", work_ms}};
  if (more.is_object()) step.update(more);
  return {{"spec", std::to_string(work_ms)}, {"steps", {step}}};
}

void Submit(size_t entry, const string& job, const Json& body) {
  for (int attempt = 0; attempt < 5; ++attempt) {
    const int status = Client(entry, "POST", job, body).status;
    if (status >= 200 && status < 300) return;
    SleepMs(500);
  }
  CannotRun("the submission of " + job + " was not accepted");
}

Executor* FindExecutor(const string& id) {
  for (const auto& executor : executors) {
    if (executor->id() == id) return executor.get();
  }
  return nullptr;
}

void Begin(const string& program, const std::vector<int>& guaranteed) {
  char pattern[] = "/tmp/review-2-XXXXXX";
  if (::mkdtemp(pattern) == nullptr) CannotRun("no temporary folder");
  folder = pattern;
  store = std::make_unique<Store>();
  PutConfiguration(guaranteed);
  for (int i = 0; i < kExecutors; ++i) {
    executors.push_back(std::make_unique<Executor>(store.get(), i));
  }
  for (int i = 0; i < kEntries; ++i) StartEntry(program, i, store->port());
  const int64_t give_up = NowMs() + 20000;
  for (const Entry& entry : entries) {
    while (true) {
      const Message ready =
          Call(entry.readiness, "GET", "/v1/ready", "", 500, {{"Host", "x"}});
      if (ready.status == 200) break;
      if (NowMs() > give_up) CannotRun("an entry is not ready after 20 s");
      SleepMs(100);
    }
  }
  // More than stable_ms: all machines are in touch.
  SleepMs(4000);
  Record("%d entries are ready; %d executors of 8 accelerators", kEntries,
         kExecutors);
}

int Broken(bool broken, const string& what) {
  Record("%s: %s", broken ? "RULE BROKEN" : "the rule held", what.c_str());
  return broken ? 1 : 0;
}

// Executors are lost for good, one after the other, each while it runs the same
// task of an accepted job. The job must run on, or be shown as failed.
int LostForGood() {
  const string job = "5c0e7a21d94b36f1";
  const int kills = trouble ? 4 : 0;
  const int64_t kWorkMs = 12000;
  Submit(0, job, OneStep(1, 8, kWorkMs));
  for (int kill = 0; kill < kills; ++kill) {
    const int64_t give_up = NowMs() + 16000;
    Executor* executor = nullptr;
    while (executor == nullptr) {
      for (const RunRecord& run : RunsOf(job)) {
        if (run.ended == 0 && NowMs() - run.began >= 1000) {
          executor = FindExecutor(run.executor);
        }
      }
      if (NowMs() > give_up) {
        CannotRun("no new run within 16 s of loss " + std::to_string(kill));
      }
      SleepMs(20);
    }
    Record("executor %s is lost for good (%d of %d)", executor->id().c_str(),
           kill + 1, kExecutors);
    executor->Kill();
  }
  // finish_s after the last disruption, the job is asked for.
  SleepMs(14000);
  int64_t idle_since = NowMs();
  int64_t longest = 0;
  string state;
  const int64_t end = NowMs() + 20000;
  for (size_t poll = 0; NowMs() < end; ++poll) {
    state = StateOf(poll % kEntries, job);
    if (state == "completed" || state == "failed") break;
    for (int i = 0; i < 50; ++i) {
      bool runs = false;
      for (const RunRecord& run : RunsOf(job)) runs = runs || run.ended == 0;
      if (runs) idle_since = NowMs();
      longest = std::max(longest, NowMs() - idle_since);
      SleepMs(20);
    }
  }
  size_t idle = 0;
  for (const auto& executor : executors) idle += executor->idle() ? 1 : 0;
  Record("the job is shown as %s; %zu executors are idle; it had nothing "
         "running for %.1f s on end, later than finish_s after the last loss",
         state.c_str(), idle, static_cast<double>(longest) / 1000);
  return Broken(state != "completed" && state != "failed" && longest >= 3000,
                "LOST: a job has nothing running for 3 s while a task's turn "
                "has come and there is capacity");
}

// The answers of the appends of one submission are lost, and the appends are
// carried out late. The client gets 504, cancels the job and is told that there
// is no such job. The job has two steps: the second one begins later than
// stable_ms after the late append, so that the core is stable even if that counts
// as a disruption.
int CancelledUnknown() {
  const string job = "5c0e7a21d94b36f2";
  constexpr int64_t kLateMs = 5800;
  std::mutex mutex;
  int lost = 0;
  // The last late append.
  std::atomic<int64_t> disturbed_until{0};
  if (trouble) {
    store->fault = [&](const std::vector<string>& keys) -> std::optional<int64_t> {
      if (std::find(keys.begin(), keys.end(), "j" + job) == keys.end()) {
        return std::nullopt;
      }
      std::lock_guard<std::mutex> lock(mutex);
      ++lost;
      Record("store: an append of the submission gets no answer, and is carried "
             "out %.1f s later", static_cast<double>(kLateMs) / 1000);
      disturbed_until = NowMs() + kLateMs;
      return kLateMs;
    };
  }
  const int64_t appends_before = store->appends();
  Json body = OneStep(1, 8, 4000);
  body["steps"].push_back(body["steps"][0]);
  body["steps"][1]["depends_on"] = {0};
  const Message submitted = Client(0, "POST", job, body);
  const Message cancelled = Client(1, "DELETE", job);
  const int64_t acknowledged = NowMs();
  const int64_t appends = store->appends() - appends_before;
  const bool acknowledgement =
      (cancelled.status >= 200 && cancelled.status < 300) ||
      cancelled.status == 410;
  if (!acknowledgement) CannotRun("the cancellation was not acknowledged");
  SleepMs(16000);
  {
    std::lock_guard<std::mutex> lock(mutex);
    Record("%d of %lld appends in that time got no answer", lost,
           static_cast<long long>(appends));
  }
  StateOf(2, job);
  bool broken = false;
  for (const RunRecord& run : RunsOf(job)) {
    const bool in_touch = run.began > disturbed_until + 3000;
    if (run.began <= acknowledged + 3000 || !in_touch) continue;
    broken = true;
    Record("%s run %d began %.3f s after the cancellation was acknowledged "
           "with %d; the submission had been answered with %d",
           run.task.c_str(), run.run,
           static_cast<double>(run.began - acknowledged) / 1000,
           cancelled.status, submitted.status);
  }
  return Broken(broken,
                "UNASKED: a task starts later than cancel_ms (3 s) after the "
                "job's cancelling was acknowledged");
}

// The service is full but for one executor, which is lost for good just before
// a job comes. The job waits, and the length of the queue is asked for.
int PendingCount() {
  const string filler = "5c0e7a21d94b36f3";
  Submit(0, filler, OneStep(kExecutors - 1, 8, 100000));
  const int64_t give_up = NowMs() + 15000;
  while (RunsOf(filler).size() < kExecutors - 1) {
    if (NowMs() > give_up) CannotRun("the service was not filled");
    SleepMs(50);
  }
  SleepMs(3000);
  Executor* idle = nullptr;
  for (const auto& executor : executors) {
    if (executor->idle()) idle = executor.get();
  }
  if (idle == nullptr) CannotRun("no executor is idle");
  if (trouble) {
    Record("executor %s is lost for good (1 of %d)", idle->id().c_str(),
           kExecutors);
    idle->Kill();
  }
  const std::vector<string> jobs = {"5c0e7a21d94b36f4"};
  Submit(1, jobs.front(), OneStep(1, 8, 20000));
  // Longer than visible_ms + 2 s after the last acknowledgement.
  SleepMs(8000);
  bool broken = false;
  for (size_t entry = 0; entry < kEntries; ++entry) {
    const Message response = Client(entry, "GET", "");
    const Json body = Json::parse(response.body, nullptr, false);
    if (response.status != 200 || !body.is_object()) continue;
    int waiting = 0;
    for (const string& job : jobs) waiting += RunsOf(job).empty() ? 1 : 0;
    const int pending = body.value("pending", -1);
    if (2 * pending < waiting) {
      broken = true;
      Record("edge-%zu gives %d as pending; %d jobs that were accepted over "
             "8 s before have not begun", entry + 1, pending, waiting);
    }
  }
  for (const string& job : jobs) StateOf(5, job);
  return Broken(broken,
                "MIXED: a machine in touch gives as pending under half of the "
                "jobs that were accepted over visible_ms + 2 s before and "
                "haven't begun");
}

// Executors are lost for good, some of them with tasks of a job that lasts. The
// tasks must run again elsewhere.
int LastingTasks() {
  const string job = "5c0e7a21d94b36f8";
  constexpr size_t kTasks = 22;
  Submit(0, job, OneStep(kTasks, 8, 1000000,
                         {{"long_running", true}, {"may_miss", 1}}));
  const int64_t give_up = NowMs() + 15000;
  while (RunsOf(job).size() < kTasks) {
    if (NowMs() > give_up) CannotRun("the tasks have not all begun");
    SleepMs(50);
  }
  SleepMs(4000);
  int lost = 0;
  for (size_t i = 0; trouble && i < executors.size(); i += 8) {
    Record("executor %s is lost for good (%d of %d)%s",
           executors[i]->id().c_str(), ++lost, kExecutors,
           executors[i]->idle() ? ", idle" : ", at work");
    executors[i]->Kill();
  }
  // Leases are over after 10 s at most; then come the 4 s and 3 s of the rule.
  SleepMs(20000);
  std::map<string, int64_t> away_since;
  for (const RunRecord& run : RunsOf(job)) away_since[run.task] = NowMs();
  int64_t longest = 0;
  size_t away = 0;
  for (int64_t end = NowMs() + 15000; NowMs() < end; SleepMs(50)) {
    std::set<string> at_work;
    for (const RunRecord& run : RunsOf(job)) {
      if (run.ended == 0) at_work.insert(run.task);
    }
    away = 0;
    for (auto& [task, since] : away_since) {
      if (at_work.count(task) > 0) {
        since = NowMs();
      } else {
        ++away;
      }
      longest = std::max(longest, NowMs() - since);
    }
  }
  size_t idle = 0;
  size_t alive = 0;
  for (const auto& executor : executors) {
    idle += executor->idle() ? 1 : 0;
    alive += executor->alive() ? 1 : 0;
  }
  StateOf(1, job);
  Record("%zu of %zu tasks have no run; %zu of %zu executors are idle; a task "
         "had no run for %.1f s on end, later than 20 s after the loss",
         away, kTasks, idle, alive, static_cast<double>(longest) / 1000);
  return Broken(longest >= 3000,
                "LOST: a task that lasts has nothing running for 3 s while its "
                "turn has come, there is capacity for it twice over, and under "
                "half of the service's capacity is in use");
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 4) return 2;
  record_file = std::fopen(argv[3], "w");
  if (record_file == nullptr) return 2;
  const char* setting = std::getenv("TROUBLE");
  trouble = setting == nullptr || string(setting) != "0";
  const string name = argv[1];
  Record("case %s, %s the disruption", name.c_str(),
         trouble ? "with" : "without");
  const std::vector<int> guaranteed = {72, 62, 56, 48};
  if (name == "lost-for-good") {
    Begin(argv[2], guaranteed);
    Finish(LostForGood());
  }
  if (name == "cancelled-unknown") {
    Begin(argv[2], guaranteed);
    Finish(CancelledUnknown());
  }
  if (name == "pending-count") {
    Begin(argv[2], guaranteed);
    Finish(PendingCount());
  }
  if (name == "lasting-tasks") {
    Begin(argv[2], {48, 72, 62, 56});
    Finish(LastingTasks());
  }
  CannotRun("unknown case");
}
