// Plays one scene of the review on loopback addresses and the real clock.
//
//   scene NAME RECORD_FILE TROUBLE
//
// Started in the root of the repository. It starts the entries of a small
// deployment (target/bin/thornplank_hosted, one process each) against
// stand-ins of the platform's store and its executors, acts as the clients and
// the operator, and checks one rule by what clients and executors have seen.
// The stand-ins follow the users' pages (PROTOCOL). With 0 for TROUBLE, a
// scene leaves out its disruption; the run.sh of a case hands over the variable
// of that name.
//
// Exit code: 0 the rule held, 1 it was broken, 2 the scene could not be played.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotPlayed = 2;

// The figures of the sheets of the small deployments.
constexpr int kEntries = 8;
constexpr int kExecutors = 48;
constexpr int kPerRack = 6;
constexpr int kZones = 4;
// The widest step of the site file (lot-screen).
constexpr int kWidest = 94;
// Between two jobs: the sheet's rate of all kinds together is 3.1 a second.
constexpr int64_t kJobGapMs = 330;
constexpr int64_t kCpu = 64000;
constexpr int64_t kMemory = 262144;
constexpr int64_t kGpu = 8;
constexpr int64_t kHeartbeatMs = 1500;
constexpr int64_t kHoldMaxMs = 10000;
constexpr int64_t kStopMs = 60;
constexpr int64_t kReclaimMs = 2900;
constexpr size_t kEndsAtATime = 500;
constexpr int64_t kAnswerMs = 4;
constexpr char kService[] = "claims-core";
constexpr char kHost[] = "claims.example";

const Clock::time_point kBegin = Clock::now();

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kBegin)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---------------------------------------------------------------------------
// The record of the scene.

std::mutex record_mutex;
FILE* record_file = nullptr;

void Note(const char* format, ...) {
  std::lock_guard lock(record_mutex);
  fprintf(record_file, "%9.3f ", static_cast<double>(NowMs()) / 1000);
  va_list arguments;
  va_start(arguments, format);
  vfprintf(record_file, format, arguments);
  va_end(arguments);
  fputc('\n', record_file);
  fflush(record_file);
}

// ---------------------------------------------------------------------------
// HTTP/1.1: a server with one thread a connection, and a client.

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;

  int64_t Number(const std::string& name, int64_t otherwise) const {
    const auto it = query.find(name);
    return it == query.end() ? otherwise : atoll(it->second.c_str());
  }
};

struct Response {
  int status = 200;
  std::string body;
  std::string type = "application/json";
};

Response JsonResponse(int status, const Json& body) {
  return {status, body.dump(), "application/json"};
}

std::string Decode(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out +=
          static_cast<char>(strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(tolower(c));
  return text;
}

bool WriteAll(int fd, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n =
        send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

// Reads from `fd` until `buffer` holds a whole message; moves its header and
// body out. Returns false at the end of the connection or at the deadline.
bool ReadMessage(int fd, std::string* buffer, std::string* head,
                 std::string* body, int64_t deadline_ms) {
  while (true) {
    const size_t end = buffer->find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::string lower = Lower(buffer->substr(0, end + 2));
      size_t length = 0;
      const size_t at = lower.find("\r\ncontent-length:");
      if (at != std::string::npos) {
        length = static_cast<size_t>(atoll(lower.c_str() + at + 17));
      }
      if (buffer->size() >= end + 4 + length) {
        *head = buffer->substr(0, end + 2);
        *body = buffer->substr(end + 4, length);
        buffer->erase(0, end + 4 + length);
        return true;
      }
    }
    if (deadline_ms > 0) {
      const int64_t left = deadline_ms - NowMs();
      pollfd waiting{fd, POLLIN, 0};
      if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return false;
      }
    }
    char chunk[65536];
    const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    buffer->append(chunk, static_cast<size_t>(n));
  }
}

// Null: no answer, the connection is closed.
using Handler = std::function<std::optional<Response>(const Request&)>;

void ServeConnection(int fd, const Handler& handler) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string buffer;
  std::string head;
  Request request;
  while (ReadMessage(fd, &buffer, &head, &request.body, 0)) {
    const size_t line_end = head.find("\r\n");
    const std::string line = head.substr(0, line_end);
    const size_t space = line.find(' ');
    const std::string target =
        line.substr(space + 1, line.rfind(' ') - space - 1);
    request.method = line.substr(0, space);
    request.path = target.substr(0, target.find('?'));
    request.query.clear();
    request.headers.clear();
    if (target.find('?') != std::string::npos) {
      std::string rest = target.substr(target.find('?') + 1) + "&";
      while (!rest.empty()) {
        const std::string pair = rest.substr(0, rest.find('&'));
        rest.erase(0, pair.size() + 1);
        const size_t equals = pair.find('=');
        if (equals == std::string::npos) continue;
        request.query[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
      }
    }
    for (size_t at = line_end + 2; at < head.size();) {
      const size_t end = head.find("\r\n", at);
      const std::string field = head.substr(at, end - at);
      const size_t colon = field.find(':');
      if (colon != std::string::npos) {
        size_t from = colon + 1;
        while (from < field.size() && field[from] == ' ') ++from;
        request.headers[Lower(field.substr(0, colon))] = field.substr(from);
      }
      at = end + 2;
    }
    const std::optional<Response> response = handler(request);
    if (!response) break;
    const std::string text =
        "HTTP/1.1 " + std::to_string(response->status) +
        " x\r\nContent-Type: " + response->type +
        "\r\nContent-Length: " + std::to_string(response->body.size()) +
        "\r\n\r\n" + response->body;
    if (!WriteAll(fd, text)) break;
  }
  close(fd);
}

// One listener of a stand-in. Its threads last as long as the process.
class Server {
 public:
  explicit Server(Handler handler) : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        listen(listener_, 256) != 0) {
      perror("listen");
      exit(kExitNotPlayed);
    }
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // The process behind it ends: the listener and all connections close.
  void Die() {
    std::lock_guard lock(mutex_);
    dead_ = true;
    shutdown(listener_, SHUT_RDWR);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) break;
      std::lock_guard lock(mutex_);
      if (dead_) {
        close(fd);
        continue;
      }
      open_.insert(fd);
      std::thread([this, fd] {
        ServeConnection(fd, handler_);
        std::lock_guard closing(mutex_);
        open_.erase(fd);
      }).detach();
    }
    close(listener_);
  }

  const Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  bool dead_ = false;
  std::set<int> open_;
};

struct Answer {
  int status = 0;  // 0: no answer
  std::string body;
};

Answer Call(int port, const std::string& method, const std::string& path,
            const std::string& key, const std::string& body,
            int64_t timeout_ms) {
  Answer answer;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
                          "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) +
                          "\r\n";
    if (!key.empty()) request += "X-Api-Key: " + key + "\r\n";
    if (!body.empty()) request += "Content-Type: application/json\r\n";
    request += "Content-Length: " + std::to_string(body.size()) +
               "\r\nConnection: close\r\n\r\n" + body;
    std::string buffer;
    std::string head;
    if (WriteAll(fd, request) &&
        ReadMessage(fd, &buffer, &head, &answer.body, NowMs() + timeout_ms)) {
      answer.status = atoi(head.c_str() + head.find(' ') + 1);
    }
  }
  close(fd);
  return answer;
}

// ---------------------------------------------------------------------------
// The platform's store: a log, with the newest record of each key.

class Store {
 public:
  struct Record {
    std::string bytes;  // as sent, without the four bytes of length
  };

  // The entry whose connection last appended under a producer's epoch.
  int last_conditional_writer() {
    std::lock_guard lock(mutex_);
    return last_writer_;
  }

  // While it is down, every call is answered with 503, and executors cannot
  // write their entries.
  void set_down(bool down) {
    std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }

  void Put(const std::string& topic, const std::string& key,
           const std::string& value) {
    std::lock_guard lock(mutex_);
    if (down_) return;
    AppendOne(&topics_[{topic, 0}],
              std::string(1, static_cast<char>(key.size())) + key + value);
    changed_.notify_all();
  }

  std::optional<Response> Handle(int entry, const Request& request) {
    SleepMs(kAnswerMs);
    {
      std::lock_guard lock(mutex_);
      if (down_) return Unavailable();
    }
    if (request.path == "/v1/log-append") return Append(entry, request);
    if (request.path == "/v1/log-read") return Read(request);
    if (request.path == "/v1/log-newest") return Newest(request);
    return JsonResponse(404, {{"reason", "path"}});
  }

 private:
  struct Producer {
    int64_t epoch = -1;
    int64_t next = -1;  // -1: any
    std::deque<std::pair<int64_t, std::string>> recent;
  };
  struct Log {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, int64_t>> newest;
    std::map<std::string, Producer> producers;
  };
  using Name = std::pair<std::string, int64_t>;

  static Response Unavailable() {
    return JsonResponse(503, {{"reason", "down"}});
  }

  static Name NameOf(const Request& request) {
    const auto it = request.query.find("topic");
    return {it == request.query.end() ? "" : it->second,
            request.Number("part", 0)};
  }

  static void AppendOne(Log* log, const std::string& record) {
    const size_t length = static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, length);
    const std::string value = record.substr(1 + length);
    const auto offset = static_cast<int64_t>(log->records.size());
    if (value.empty()) {
      log->newest.erase(key);
    } else {
      log->newest[key] = {value, offset};
    }
    log->records.push_back(record);
  }

  Response Append(int entry, const Request& request) {
    const Name name = NameOf(request);
    if (name.first == "keyed.op" || name.first == "keyed.servers") {
      return JsonResponse(403, {{"reason", "topic"}});
    }
    std::vector<std::string> records;
    for (size_t at = 0; at + 4 <= request.body.size();) {
      size_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = length << 8 | static_cast<unsigned char>(request.body[at + i]);
      }
      records.push_back(request.body.substr(at + 4, length));
      at += 4 + length;
    }
    std::lock_guard lock(mutex_);
    if (down_) return Unavailable();
    Log& log = topics_[name];
    Producer* producer = nullptr;
    const int64_t epoch = request.Number("epoch", 0);
    const int64_t seq = request.Number("seq", 0);
    if (request.query.count("producer") > 0) {
      producer = &log.producers[request.query.at("producer")];
      if (epoch < producer->epoch) {
        return JsonResponse(409, {{"reason", "fenced"}});
      }
      if (epoch == producer->epoch) {
        for (const auto& [number, answer] : producer->recent) {
          if (number == seq) return {200, answer, "application/json"};
        }
        if (producer->next >= 0 && seq != producer->next) {
          return JsonResponse(409,
                              {{"reason", "seq"}, {"seq", producer->next}});
        }
      } else {
        producer->recent.clear();
      }
    }
    const auto offset = static_cast<int64_t>(log.records.size());
    for (const std::string& record : records) AppendOne(&log, record);
    const std::string answer =
        Json({{"offset", offset}, {"end", log.records.size()}}).dump();
    if (producer != nullptr) {
      last_writer_ = entry;
      producer->epoch = epoch;
      producer->next = records.empty() ? -1 : seq + 1;
      producer->recent.emplace_back(seq, answer);
      if (producer->recent.size() > 5) producer->recent.pop_front();
    }
    changed_.notify_all();
    return {200, answer, "application/json"};
  }

  Response Read(const Request& request) {
    const Name name = NameOf(request);
    const auto from = static_cast<size_t>(request.Number("from", 0));
    const auto until =
        Clock::now() + std::chrono::milliseconds(request.Number("wait_ms", 0));
    std::unique_lock lock(mutex_);
    const Log& log = topics_[name];
    changed_.wait_until(lock, until,
                        [&] { return down_ || log.records.size() > from; });
    if (down_) return Unavailable();
    Response response;
    response.type = "application/octet-stream";
    const auto number = [&response](uint64_t value, int bytes) {
      for (int i = bytes - 1; i >= 0; --i) {
        response.body += static_cast<char>(value >> (8 * i) & 0xff);
      }
    };
    number(log.records.size(), 8);
    number(0, 8);
    const auto most =
        static_cast<size_t>(request.Number("max_kb", 1024)) * 1024;
    for (size_t i = from; i < log.records.size(); ++i) {
      const std::string& record = log.records[i];
      if (i > from && response.body.size() + record.size() > most) break;
      number(record.size(), 4);
      response.body += record;
    }
    return response;
  }

  static std::string Base64(const std::string& bytes) {
    static const char kLetters[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
      uint32_t group = 0;
      const size_t count = std::min<size_t>(3, bytes.size() - i);
      for (size_t j = 0; j < 3; ++j) {
        group <<= 8;
        if (j < count) group |= static_cast<unsigned char>(bytes[i + j]);
      }
      for (size_t j = 0; j < 4; ++j) {
        text += j <= count ? kLetters[group >> (18 - 6 * j) & 63] : '=';
      }
    }
    return text;
  }

  Response Newest(const Request& request) {
    std::lock_guard lock(mutex_);
    const Log& log = topics_[NameOf(request)];
    const auto after = request.query.find("depends_on");
    auto it = after == request.query.end()
                  ? log.newest.begin()
                  : log.newest.upper_bound(after->second);
    Json items = Json::array();
    size_t bytes = 0;
    for (; it != log.newest.end() && items.size() < 500 && bytes < 1000000;
         ++it) {
      const std::string value = Base64(it->second.first);
      bytes += value.size() + it->first.size();
      items.push_back({{"key", it->first},
                       {"value", value},
                       {"offset", it->second.second}});
    }
    return JsonResponse(200, {{"items", items},
                              {"has_more", it != log.newest.end()},
                              {"end", log.records.size()}});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Name, Log> topics_;
  int last_writer_ = -1;
  bool down_ = false;
};

// ---------------------------------------------------------------------------
// An executor.

// What a client has asked for, as the executors know it: the text of `spec`
// says how long a task works ("FIRST_MS STEP_MS": the task with index i works
// FIRST_MS + i x STEP_MS; "forever" lasts).
int64_t WorkMs(const std::string& spec, int index) {
  if (spec == "forever") return int64_t{1} << 50;
  long long first = 0;
  long long step = 0;
  sscanf(spec.c_str(), "%lld %lld", &first, &step);
  return first + step * index;
}

struct Need {
  int64_t cpu = 0;
  int64_t mem = 0;
  int64_t gpu = 0;
};

// One run of a task, for the check.
struct Run {
  std::string executor;
  std::string task;
  int64_t run = 0;
  int64_t began = 0;
  int64_t ended = -1;
  std::string how;
  // When its end was taken note of; -1: not, or the lease had lapsed before.
  int64_t noted = -1;
  Need need;
};

class Executor {
 public:
  // Needs of a task by the job's id; filled in by the clients.
  using NeedOf = std::function<Need(const std::string& task)>;

  Executor(int number, Store* store, NeedOf need_of)
      : number_(number),
        store_(store),
        need_of_(std::move(need_of)),
        server_([this](const Request& request) { return Handle(request); }) {
    char id[32];
    snprintf(id, sizeof id, "i-%02d%08x", number,
             static_cast<unsigned>(getpid()) * 2654435761U);
    id_ = id;
    std::thread([this] { Beat(); }).detach();
  }

  std::string rack() const {
    return "r" + std::to_string(number_ % kZones) + "-" +
           std::to_string(number_ / kZones / kPerRack);
  }
  const std::string& id() const { return id_; }
  bool dead() {
    std::lock_guard lock(mutex_);
    return dead_;
  }

  // Crashes and never comes back.
  void Die() {
    {
      std::lock_guard lock(mutex_);
      Advance();
      dead_ = true;
      for (auto& [task, index] : running_) {
        history_[index].ended = NowMs();
        history_[index].how = "crashed";
      }
      running_.clear();
    }
    server_.Die();
    // Its entry expires after three intervals of silence.
    std::thread([this] {
      SleepMs(3 * kHeartbeatMs);
      store_->Put("keyed.servers", id_, "");
    }).detach();
  }

  std::vector<Run> History() {
    std::lock_guard lock(mutex_);
    Advance();
    return history_;
  }

 private:
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
    size_t index = 0;
    bool lapsed = false;
  };

  // The executor's own clock.
  int64_t Now() const { return NowMs() + 100000 + number_; }

  void Beat() {
    for (int64_t seq = 1;; ++seq) {
      {
        std::lock_guard lock(mutex_);
        if (dead_) return;
      }
      const Json entry = {
          {"service", kService},
          {"addr", server_.address()},
          {"zone", "zone-" + std::to_string(number_ % kZones)},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_left_ms", 0},
          {"capacity", {{"cpu", kCpu}, {"mem_mb", kMemory}, {"gpu", kGpu}}},
          {"labels", {"a", rack()}},
          {"clock_ms", Now()},
          {"seq", seq}};
      store_->Put("keyed.servers", id_, entry.dump());
      SleepMs(kHeartbeatMs);
    }
  }

  // Carries out what is due: ends of work, of stops, and of the lease.
  void Advance() {
    const int64_t now = Now();
    struct Due {
      int64_t at;
      std::string task;
      const char* how;
    };
    std::vector<Due> due;
    for (const auto& [task, index] : running_) {
      const int64_t done = work_ends_.at(task);
      const auto stop = stops_.find(task);
      int64_t at = done;
      const char* how = "done";
      if (stop != stops_.end() && stop->second < at) {
        at = stop->second;
        how = "stopped";
      }
      if (lease_ < at) {
        at = lease_;
        how = "lapsed";
      }
      if (at <= now) due.push_back({at, task, how});
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const Due& a, const Due& b) { return a.at < b.at; });
    for (const Due& end : due) Finish(end.task, end.how, end.at);
    if (lease_ < now) {
      for (End& end : ends_) end.lapsed = true;
    }
  }

  void Finish(const std::string& task, const char* how, int64_t at) {
    const size_t index = running_.at(task);
    Run& run = history_[index];
    run.ended = at - Now() + NowMs();
    run.how = how;
    highest_closed_[task] = std::max(highest_closed_[task], run.run);
    ends_.push_back({next_end_++, task, run.run, how, index, false});
    running_.erase(task);
    work_ends_.erase(task);
    stops_.erase(task);
  }

  Response Refuse(const char* reason) const {
    return JsonResponse(409, {{"clock_ms", Now()}, {"reason", reason}});
  }

  Response Accept() const { return JsonResponse(200, {{"clock_ms", Now()}}); }

  void ExtendLease(const Json& body) {
    if (!body.contains("deadline_ms")) return;
    lease_ = std::max(lease_, std::min(body["deadline_ms"].get<int64_t>(),
                                       Now() + kHoldMaxMs));
  }

  std::optional<Response> Handle(const Request& request) {
    std::unique_lock lock(mutex_);
    if (dead_) return std::nullopt;
    if (request.path == "/healthz") return JsonResponse(200, Json::object());
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != id_) {
      return JsonResponse(421, {{"clock_ms", Now()}});
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) return JsonResponse(400, {{"clock_ms", Now()}});
    Advance();
    const int64_t fence = body.value("fence", int64_t{0});
    if (fence < fence_) return Refuse("fence");
    fence_ = fence;
    if (request.path == "/v1/hold") return Hold(body, &lock);
    const std::string task = body.value("task", "");
    const int64_t run = body.value("run", int64_t{0});
    if (request.path == "/v1/run-start") return Start(body, task, run);
    if (request.path == "/v1/run-stop") {
      highest_closed_[task] = std::max(highest_closed_[task], run);
      const auto it = running_.find(task);
      if (it != running_.end() && history_[it->second].run <= run) {
        stops_.emplace(task, Now() + kStopMs);
      }
      return Accept();
    }
    if (request.path == "/v1/pace") return Accept();
    return JsonResponse(404, {{"clock_ms", Now()}});
  }

  Response Start(const Json& body, const std::string& task, int64_t run) {
    if (body.value("deadline_ms", int64_t{0}) <= Now()) return Refuse("late");
    ExtendLease(body);
    const auto it = running_.find(task);
    if (it != running_.end()) {
      return history_[it->second].run == run ? Accept() : Refuse("old");
    }
    const auto closed = highest_closed_.find(task);
    if (closed != highest_closed_.end() && run <= closed->second) {
      return Refuse("old");
    }
    const int index = atoi(task.c_str() + task.rfind('.') + 1);
    running_[task] = history_.size();
    work_ends_[task] = Now() + WorkMs(body.value("spec", ""), index);
    Run started;
    started.executor = id_;
    started.task = task;
    started.run = run;
    started.began = NowMs();
    started.need = need_of_(task);
    history_.push_back(started);
    return Accept();
  }

  std::optional<Response> Hold(const Json& body,
                               std::unique_lock<std::mutex>* lock) {
    ExtendLease(body);
    const int64_t seen = body.value("last_seen", int64_t{0});
    while (!ends_.empty() && ends_.front().number <= seen) {
      if (!ends_.front().lapsed) {
        history_[ends_.front().index].noted = NowMs();
      }
      ends_.pop_front();
    }
    const int64_t until =
        NowMs() + std::min<int64_t>(body.value("wait_ms", int64_t{0}), 2000);
    while (ends_.empty() && NowMs() < until) {
      lock->unlock();
      SleepMs(5);
      lock->lock();
      if (dead_) return std::nullopt;
      Advance();
    }
    Json running = Json::array();
    for (const auto& [task, index] : running_) {
      const Run& run = history_[index];
      const int64_t left = work_ends_.at(task) - Now();
      const int64_t work = left + NowMs() - run.began;
      const int64_t percent =
          std::max<int64_t>(0, std::min<int64_t>(99, 100 - left * 100 / work));
      running.push_back({task, run.run, "", percent, run.need.cpu});
    }
    // Ends are returned 500 at a time.
    Json finished = Json::array();
    for (const End& end : ends_) {
      if (finished.size() >= kEndsAtATime) break;
      finished.push_back({end.number, end.task, end.run, end.how, ""});
    }
    return JsonResponse(200, {{"clock_ms", Now()},
                              {"running", std::move(running)},
                              {"finished", std::move(finished)}});
  }

  const int number_;
  Store* const store_;
  const NeedOf need_of_;
  std::string id_;
  std::mutex mutex_;
  bool dead_ = false;
  int64_t fence_ = 0;
  int64_t lease_ = 0;
  int64_t next_end_ = 1;
  std::deque<End> ends_;
  std::vector<Run> history_;
  // By task: the index in history_, the end of the work, the end of a stop.
  std::map<std::string, size_t> running_;
  std::map<std::string, int64_t> work_ends_;
  std::map<std::string, int64_t> stops_;
  std::map<std::string, int64_t> highest_closed_;
  Server server_;
};

// ---------------------------------------------------------------------------
// The deployment: store, executors, entries, operator and clients.

struct Tenant {
  std::string name;
  std::string key;
  int64_t guaranteed = 0;
};

struct Route {
  std::string name;
  std::string prefix;
  int priority = 0;
  int attempts = 3;
  double stretch = 3;
  int64_t slo_ms = 3000;
};

// A port that nobody listens on, below those that the system gives to
// connections.
int FreePort() {
  constexpr int kFirst = 20000;
  constexpr int kPorts = 12000;
  static int next = getpid() * 37;
  while (true) {
    const int port = kFirst + next++ % kPorts;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    const int code =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    close(fd);
    if (code == 0) return port;
  }
}

class Deployment {
 public:
  Deployment() {
    char folder[] = "/tmp/thornplank-review-XXXXXX";
    folder_ = mkdtemp(folder);
    for (int i = 0; i < kExecutors; ++i) {
      executors_.push_back(std::make_unique<Executor>(
          i, &store_,
          [this](const std::string& task) { return NeedOf(task); }));
    }
    for (int i = 0; i < kEntries; ++i) {
      store_ports_.push_back(
          std::make_unique<Server>([this, i](const Request& request) {
            return store_.Handle(i, request);
          }));
      front_.push_back(FreePort());
      ready_.push_back(FreePort());
      inner_.push_back(FreePort());
      pids_.push_back(-1);
      WriteSettings(i);
    }
  }

  // Ends all processes. The threads of the stand-ins stay in their calls.
  void Stop() {
    for (int i = 0; i < kEntries; ++i) Kill(i, SIGKILL);
    const std::string command = "rm -rf " + folder_;
    if (system(command.c_str()) != 0) perror("remove the temporary folder");
  }

  Store& store() { return store_; }
  std::vector<std::unique_ptr<Executor>>& executors() { return executors_; }

  void Configure(const std::vector<Route>& routes,
                 const std::vector<Tenant>& tenants) {
    Json config = {{"version", 7},
                   {"routes", Json::array()},
                   {"services",
                    {{{"name", kService},
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
                   {"tenants", Json::array()}};
    for (const Route& route : routes) {
      config["routes"].push_back({{"name", route.name},
                                  {"host", kHost},
                                  {"prefix", route.prefix},
                                  {"kind", "non_idempotent"},
                                  {"timeout_ms", 3000},
                                  {"slo_ms", route.slo_ms},
                                  {"priority", route.priority},
                                  {"service", kService},
                                  {"attempts", route.attempts},
                                  {"stretch", route.stretch},
                                  {"public", false}});
    }
    for (const Tenant& tenant : tenants) {
      Json entry = {
          {"name", tenant.name}, {"api_keys", {tenant.key}}, {"priority", 1}};
      if (tenant.guaranteed > 0) {
        entry["guaranteed"] = {{"gpu", tenant.guaranteed}};
      }
      config["tenants"].push_back(entry);
    }
    store_.Put("keyed.op", "config", config.dump());
  }

  void StartEntry(int i) {
    const std::string settings = SettingsPath(i);
    const std::string log = folder_ + "/entry-" + std::to_string(i) + ".log";
    const std::string argument = "--settings=" + settings;
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      execl("target/bin/thornplank_hosted", "target/bin/thornplank_hosted",
            argument.c_str(), nullptr);
      _exit(127);
    }
    close(output);
    pids_[static_cast<size_t>(i)] = pid;
  }

  void Kill(int i, int signal) {
    pid_t& pid = pids_[static_cast<size_t>(i)];
    if (pid <= 0) return;
    kill(pid, signal);
    if (signal == SIGKILL) {
      waitpid(pid, nullptr, 0);
      pid = -1;
    }
  }

  // Traffic starts 10 s after the machines do.
  bool StartAll() {
    for (int i = 0; i < kEntries; ++i) StartEntry(i);
    SleepMs(10000);
    for (int i = 0; i < kEntries; ++i) {
      const Answer answer = Call(ready_[static_cast<size_t>(i)], "GET",
                                 "/v1/ready", "", "", 1000);
      if (answer.status == 200) continue;
      Note("entry %d is not ready: %d", i, answer.status);
      return false;
    }
    Note("%d entries and %d executors are ready", kEntries, kExecutors);
    return true;
  }

  // As a client: other entries are asked after no answer, 502 or 504, four
  // times.
  Answer ClientCall(const std::string& method, const std::string& path,
                    const std::string& key, const std::string& body) {
    Answer answer;
    for (int attempt = 0; attempt < 5; ++attempt) {
      const size_t entry = next_entry_++ % kEntries;
      if (pids_[entry] <= 0) continue;
      answer = Call(front_[entry], method, path, key, body, 3000);
      Note("%s %s at entry %zu -> %d %s", method.c_str(), path.c_str(), entry,
           answer.status, answer.body.substr(0, 120).c_str());
      const bool again =
          answer.status == 0 || answer.status == 502 || answer.status == 504;
      if (!again) break;
      SleepMs(100);
    }
    return answer;
  }

  // Hands in a job of one step; returns the time of its acknowledgement, or -1.
  int64_t Submit(const Route& route, const Tenant& tenant,
                 const std::string& id, const std::string& spec, int count,
                 const Need& need, Json step) {
    {
      std::lock_guard lock(needs_mutex_);
      needs_[id] = need;
    }
    step["count"] = count;
    step["cpu"] = need.cpu;
    step["mem_mb"] = need.mem;
    if (need.gpu > 0) step["gpu"] = need.gpu;
    const Json body = {{"spec", spec}, {"steps", {step}}};
    Note("job %s: %s", id.c_str(), body.dump().c_str());
    const Answer answer =
        ClientCall("POST", route.prefix + id, tenant.key, body.dump());
    return answer.status == 200 ? NowMs() : -1;
  }

  std::string State(const Route& route, const Tenant& tenant,
                    const std::string& id) {
    const Answer answer = ClientCall("GET", route.prefix + id, tenant.key, "");
    const Json body = Json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !body.is_object()) {
      return std::to_string(answer.status);
    }
    return body.value("state", "");
  }

  // All runs on all executors, in order of their start.
  std::vector<Run> Runs() {
    std::vector<Run> all;
    for (const auto& executor : executors_) {
      const std::vector<Run> runs = executor->History();
      all.insert(all.end(), runs.begin(), runs.end());
    }
    std::stable_sort(all.begin(), all.end(), [](const Run& a, const Run& b) {
      return a.began < b.began;
    });
    return all;
  }

  std::vector<Run> RunsOf(const std::string& job) {
    std::vector<Run> own;
    for (const Run& run : Runs()) {
      if (run.task.compare(0, job.size(), job) == 0) own.push_back(run);
    }
    return own;
  }

  int CountRunning(const std::string& job) {
    int count = 0;
    for (const Run& run : RunsOf(job)) count += run.ended < 0 ? 1 : 0;
    return count;
  }

  // Hands in `count` tasks as jobs of at most kWidest tasks each, one every
  // kJobGapMs, and waits until all of them run. The jobs' ids begin with
  // `prefix`, of 14 digits.
  bool SubmitAll(const Route& route, const Tenant& tenant,
                 const std::string& prefix, const std::string& spec, int count,
                 const Need& need, const Json& step) {
    for (int first = 0, job = 0; first < count; first += kWidest, ++job) {
      if (job > 0) SleepMs(kJobGapMs);
      char id[20];
      snprintf(id, sizeof id, "%s%02x", prefix.c_str(), job);
      const int tasks = std::min(kWidest, count - first);
      if (Submit(route, tenant, id, spec, tasks, need, step) < 0) return false;
    }
    const int64_t until = NowMs() + 10000;
    while (CountRunning(prefix) < count && NowMs() < until) SleepMs(20);
    Note("%d of %d tasks are running", CountRunning(prefix), count);
    return CountRunning(prefix) == count;
  }

  void KeepLogs(const std::string& folder) {
    const std::string command =
        "cp " + folder_ + "/entry-*.log " + folder + " 2>/dev/null";
    if (system(command.c_str()) != 0) Note("the logs were not kept");
  }

 private:
  Need NeedOf(const std::string& task) {
    std::lock_guard lock(needs_mutex_);
    return needs_[task.substr(0, task.find('.'))];
  }

  std::string SettingsPath(int i) const {
    return folder_ + "/entry-" + std::to_string(i) + ".json";
  }

  // What deploy/hosted.json.template gives with the bounds of the sheet.
  void WriteSettings(int i) {
    const auto at = static_cast<size_t>(i);
    const auto own = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    const std::string zone = "zone-" + std::to_string(i % kZones);
    const Json settings = {
        {"name", "edge-" + zone + "-" + std::to_string(i / kZones + 1)},
        {"failure_domain", zone},
        {"listen_callers", own(front_[at])},
        {"listen_readiness", own(ready_[at])},
        {"listen_entries", own(inner_[at])},
        {"store_address", store_ports_[at]->address()},
        {"processor_share", 0.25},
        {"max_descriptors", 4100},
        {"revocation_bound_ms", 5000},
        {"configuration_bound_ms", 2000},
        {"reclaim_bound_ms", kReclaimMs},
        {"cancel_bound_ms", 3000},
        {"stop_bound_ms", 400},
        {"gang_patience_ms", 3000},
        {"longest_lease_ms", kHoldMaxMs},
        {"restore_time_ms", 100},
        {"state_kept_s", 120},
        {"stop_grace_s", 6},
        {"worker_heartbeat_ms", kHeartbeatMs},
        {"far_slowdown", 3},
        {"log_level", "info"}};
    FILE* file = fopen(SettingsPath(i).c_str(), "w");
    fputs(settings.dump(2).c_str(), file);
    fclose(file);
  }

  std::string folder_;
  Store store_;
  std::mutex needs_mutex_;
  std::map<std::string, Need> needs_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<std::unique_ptr<Server>> store_ports_;
  std::vector<int> front_;
  std::vector<int> ready_;
  std::vector<int> inner_;
  std::vector<pid_t> pids_;
  size_t next_entry_ = 0;
};

// False with TROUBLE=0: the scene leaves out its disruption.
bool has_trouble = true;

bool HasTrouble() { return has_trouble; }

int Verdict(bool broken) {
  Note(broken ? "the rule was broken" : "the rule held");
  return broken ? kExitBroken : kExitHeld;
}

// ---------------------------------------------------------------------------
// Scenes.

// TWICE: many small tasks on one executor end while the platform's store is
// down.
int PlayEnds(Deployment* all) {
  const Tenant tenant{"north", "key-of-north", 0};
  const Route route{"r-sweep", "/sweep/", 2, 3, 3, 3000};
  all->Configure({route}, {tenant});
  if (!all->StartAll()) return kExitNotPlayed;
  const std::string jobs = "5c0e7a21d94b36";
  constexpr int kTasks = 640;
  constexpr int64_t kFirstMs = 8000;
  // The tasks of each job work for 8 s to 9 s; the jobs come within 2 s.
  if (!all->SubmitAll(route, tenant, jobs, "8000 10", kTasks, {100, 400, 0},
                      {{"estimate_ms", 8500}})) {
    return kExitNotPlayed;
  }
  const std::vector<Run> begun = all->RunsOf(jobs);
  std::map<std::string, int> by_executor;
  for (const Run& run : begun) ++by_executor[run.executor];
  for (const auto& [executor, count] : by_executor) {
    Note("%d tasks run on %s", count, executor.c_str());
  }
  SleepMs(begun.front().began + kFirstMs - 300 - NowMs());
  if (HasTrouble()) {
    Note("the store is down");
    all->store().set_down(true);
    SleepMs(4000);
    all->store().set_down(false);
    Note("the store is back");
  }
  const int64_t end = NowMs() + 20000;
  std::string state;
  while (NowMs() < end && state != "completed") {
    SleepMs(1000);
    state = all->State(route, tenant, jobs + "00");
  }
  while (NowMs() < end && all->CountRunning(jobs) > 0) SleepMs(100);
  SleepMs(2000);
  // A start after a run of the task has ended `done`, if that end is taken note
  // of then or later.
  std::map<std::string, const Run*> done;
  int again = 0;
  const std::vector<Run> runs = all->RunsOf(jobs);
  for (const Run& run : runs) {
    if (run.how == "done" && run.noted >= 0) done.emplace(run.task, &run);
  }
  for (const Run& run : runs) {
    const auto first = done.find(run.task);
    if (first == done.end() || first->second == &run) continue;
    if (run.began <= first->second->ended) continue;
    ++again;
    Note(
        "task %s: run %lld on %s ended done at %.3f (taken note of at %.3f), "
        "run %lld on %s began at %.3f and ended %s",
        run.task.c_str(), static_cast<long long>(first->second->run),
        first->second->executor.c_str(),
        static_cast<double>(first->second->ended) / 1000,
        static_cast<double>(first->second->noted) / 1000,
        static_cast<long long>(run.run), run.executor.c_str(),
        static_cast<double>(run.began) / 1000, run.how.c_str());
  }
  Note(
      "%zu runs of %d tasks, %zu ended done; %d runs began after a run of "
      "their task had ended done; the first job is shown as %s",
      runs.size(), kTasks, done.size(), again, state.c_str());
  if (done.size() < kTasks && again == 0) return kExitNotPlayed;
  return Verdict(again > 0);
}

// RECLAIM: another tenant's long-running tasks fill the executors; then the
// tenant with a guarantee hands in a job of priority 0. Without the trouble,
// the other tenant's tasks are ordinary ones that work for 300 s.
int PlayReclaim(Deployment* all) {
  const Tenant north{"north", "key-of-north", 72};
  const Tenant south{"south", "key-of-south", 0};
  const Route urgent{"r-urgent", "/urgent/", 0, 3, 1.5, 250};
  const Route other{"r-other", "/other/", 2, 3, 3, 3000};
  all->Configure({urgent, other}, {north, south});
  if (!all->StartAll()) return kExitNotPlayed;
  constexpr int kFilling = kExecutors * static_cast<int>(kGpu);
  Json step = {{"estimate_ms", 300000}};
  if (HasTrouble()) step["long_running"] = true;
  if (!all->SubmitAll(other, south, "7c0e7a21d94b36",
                      HasTrouble() ? "forever" : "300000 0", kFilling,
                      {4000, 16000, 1}, step)) {
    return kExitNotPlayed;
  }
  SleepMs(5000);
  const std::string job = "6b0e7a21d94b36f8";
  constexpr int kTasks = 4;
  const int64_t acknowledged =
      all->Submit(urgent, north, job, "2500 0", kTasks, {7500, 39000, 2},
                  {{"estimate_ms", 2500}});
  if (acknowledged < 0) return kExitNotPlayed;
  SleepMs(20000);
  const std::vector<Run> runs = all->RunsOf(job);
  int in_time = 0;
  for (const Run& run : runs) {
    Note("task %s run %lld on %s: began %.3f s after the acknowledgement",
         run.task.c_str(), static_cast<long long>(run.run),
         run.executor.c_str(),
         static_cast<double>(run.began - acknowledged) / 1000);
    if (run.run == 1 && run.began <= acknowledged + kReclaimMs) ++in_time;
  }
  const std::string state = all->State(urgent, north, job);
  Note(
      "north is guaranteed %lld gpu and asks for %d; %d of %d tasks began "
      "within %lld ms; %zu runs in 20 s; the job is shown as %s",
      static_cast<long long>(north.guaranteed), kTasks * 2, in_time, kTasks,
      static_cast<long long>(kReclaimMs), runs.size(), state.c_str());
  return Verdict(in_time < kTasks);
}

// LOST: the executor of a long-running task that needs a whole executor
// crashes, while a few urgent tasks come and eight executors are empty.
int PlayLasting(Deployment* all) {
  const Tenant tenant{"north", "key-of-north", 0};
  const Route urgent{"r-urgent", "/urgent/", 0, 3, 1.5, 250};
  const Route lasting{"r-lasting", "/lasting/", 1, 3, 3, 3000};
  all->Configure({urgent, lasting}, {tenant});
  if (!all->StartAll()) return kExitNotPlayed;
  // One small lasting task on each of 39 executors, and one lasting task that
  // takes a whole executor: eight stay empty.
  constexpr int kSpread = 39;
  const std::string spread = "7c0e7a21d94b36";
  if (!all->SubmitAll(lasting, tenant, spread, "forever", kSpread,
                      {1000, 2000, 1},
                      {{"estimate_ms", 3000},
                       {"long_running", true},
                       {"max_per_server", 1}})) {
    return kExitNotPlayed;
  }
  constexpr Need kWhole{8000, 32000, kGpu};
  const std::string whole = "8d0e7a21d94b36";
  if (!all->SubmitAll(lasting, tenant, whole, "forever", 1, kWhole,
                      {{"estimate_ms", 3000}, {"long_running", true}})) {
    return kExitNotPlayed;
  }
  const int64_t began = NowMs();
  bool crashed = false;
  int64_t crash_ended = 0;
  int64_t stuck_since = -1;
  int64_t longest = 0;
  int64_t next_urgent = NowMs();
  int64_t next_line = 0;
  unsigned char urgent_jobs = 0;
  while (NowMs() < began + 45000) {
    const int64_t now = NowMs();
    if (now >= next_urgent) {
      next_urgent = now + 1000;
      char id[20];
      snprintf(id, sizeof id, "6b0e7a21d94b36%02x", urgent_jobs++);
      all->Submit(urgent, tenant, id, "500 0", 1, {1000, 2000, 1},
                  {{"estimate_ms", 500}});
    }
    if (HasTrouble() && !crashed && now >= began + 5000) {
      crashed = true;
      const std::string victim = all->RunsOf(whole).back().executor;
      for (const auto& executor : all->executors()) {
        if (executor->id() == victim) executor->Die();
      }
      crash_ended = NowMs();
      Note("executor %s, which runs the large task, is lost for good",
           victim.c_str());
    }
    std::map<std::string, Need> used;
    Need total;
    int64_t last_end = 0;
    int running = 0;
    for (const Run& run : all->Runs()) {
      const bool own = run.task.compare(0, whole.size(), whole) == 0;
      if (run.ended >= 0) {
        if (own) last_end = std::max(last_end, run.ended);
        continue;
      }
      Need& sum = used[run.executor];
      sum.cpu += run.need.cpu;
      sum.mem += run.need.mem;
      sum.gpu += run.need.gpu;
      total.gpu += run.need.gpu;
      running += own ? 1 : 0;
    }
    int alive = 0;
    int empty = 0;
    int fit = 0;
    for (const auto& executor : all->executors()) {
      if (executor->dead()) continue;
      ++alive;
      const auto sum = used.find(executor->id());
      const Need taken = sum == used.end() ? Need() : sum->second;
      empty += sum == used.end() ? 1 : 0;
      const bool fits = taken.cpu + kWhole.cpu <= kCpu &&
                        taken.mem + kWhole.mem <= kMemory &&
                        taken.gpu + kWhole.gpu <= kGpu;
      fit += fits ? 1 : 0;
    }
    // From 6 s after its last run, and with 4 calm seconds before: nothing of
    // it runs for 3 s, and there is capacity for it twice over.
    const bool stuck = running == 0 && fit >= 2 && now >= last_end + 6000 &&
                       now >= crash_ended + 4000;
    if (!stuck) stuck_since = -1;
    if (stuck && stuck_since < 0) stuck_since = now;
    if (stuck) longest = std::max(longest, now - stuck_since);
    if (now >= next_line) {
      next_line = now + 2000;
      Note(
          "%d executors live, %d of them empty; in use %lld of %lld gpu "
          "(%.1f%%); the large task runs %d times and would fit %d times more",
          alive, empty, static_cast<long long>(total.gpu),
          static_cast<long long>(alive * kGpu),
          100.0 * static_cast<double>(total.gpu) /
              static_cast<double>(alive * kGpu),
          running, fit);
    }
    SleepMs(50);
  }
  Note(
      "the large task had nothing running for %.1f s on end; its job is shown "
      "as %s; %d urgent jobs came",
      static_cast<double>(longest) / 1000,
      all->State(lasting, tenant, whole + "00").c_str(), urgent_jobs);
  return Verdict(longest >= 3000);
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 4) {
    fprintf(stderr, "scene NAME RECORD_FILE TROUBLE\n");
    return kExitNotPlayed;
  }
  has_trouble = strcmp(argv[3], "0") != 0;
  record_file = fopen(argv[2], "w");
  if (record_file == nullptr) {
    perror(argv[2]);
    return kExitNotPlayed;
  }
  const std::map<std::string, int (*)(Deployment*)> scenes = {
      {"ends", PlayEnds}, {"reclaim", PlayReclaim}, {"lasting", PlayLasting}};
  const auto scene = scenes.find(argv[1]);
  if (scene == scenes.end()) {
    fprintf(stderr, "no such scene\n");
    return kExitNotPlayed;
  }
  Note("scene %s, %s the disruption", argv[1],
       HasTrouble() ? "with" : "without");
  auto* const all = new Deployment;
  const int code = scene->second(all);
  for (const Run& run : all->Runs()) {
    Note("ran: task %s run %lld on %s from %.3f to %.3f, %s", run.task.c_str(),
         static_cast<long long>(run.run), run.executor.c_str(),
         static_cast<double>(run.began) / 1000,
         static_cast<double>(run.ended) / 1000,
         run.ended < 0 ? "still at work" : run.how.c_str());
  }
  const char* logs = getenv("SCENE_LOGS");
  if (logs != nullptr) all->KeepLogs(logs);
  all->Stop();
  printf("%s\n", code == kExitHeld     ? "held"
                 : code == kExitBroken ? "broken"
                                       : "not played");
  fflush(stdout);
  _exit(code);
}
