// Tables of invalid requests with the expected answers.
#include "bad_input_cases.h"

namespace thornplank {
namespace {

constexpr char kRequests[] = "/v1/services/claims/requests";

std::string PostJob(const std::string& members) {
  return RawRequest("POST", "/v1/jobs", kNorthToken, "", "{" + members + "}");
}

std::string PutSettings(const std::string& path, const std::string& body) {
  return RawRequest("PUT", "/v1/settings/" + path, kOperatorToken, "", body);
}

std::string PutEvent(const std::string& name, const std::string& body) {
  return RawRequest("PUT", "/v1/events/" + name, kOperatorToken, "", body);
}

std::string Repeat(const std::string& text, int times) {
  std::string all;
  for (int i = 0; i < times; ++i) all += text;
  return all;
}

std::string ObjectWithUnknownKeys(int count) {
  std::string body = "{\"kind\":\"account\"";
  for (int i = 0; i < count; ++i) body += ",\"k" + std::to_string(i) + "\":1";
  return body + "}";
}

std::string NestedArrays(int levels) {
  return Repeat("[", levels) + Repeat("]", levels);
}

}  // namespace

std::string RawRequest(const std::string& method, const std::string& target,
                       const std::string& token, const std::string& fields,
                       const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: a\r\n";
  if (!token.empty()) text += "Authorization: Bearer " + token + "\r\n";
  return text + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string ServiceRequest(const std::string& fields) {
  return RawRequest("POST", kRequests, kNorthToken, fields, "{}");
}

std::vector<BadCase> MalformedHttp() {
  const std::string post =
      std::string("POST ") + kRequests + " HTTP/1.1\r\nHost: a\r\n";
  const std::string large(1024 * 1024 + 1, 'x');
  return {
      {"request line", "NOT HTTP AT ALL\r\n\r\n", 400, "Bad Request"},
      {"version", "GET /healthz HTTP/9.9\r\n\r\n", 400, "Bad Request"},
      {"header with a space", "GET /healthz HTTP/1.1\r\nBad Name: a\r\n\r\n",
       400, "Bad Request"},
      {"huge header",
       "GET /healthz HTTP/1.1\r\nA: " + std::string(1 << 20, 'a') + "\r\n\r\n",
       431, "Request Header Fields Too Large"},
      {"huge target", "GET /" + std::string(1 << 20, 'a') + " HTTP/1.1\r\n\r\n",
       431, "Request Header Fields Too Large"},
      {"too many headers",
       "GET /healthz HTTP/1.1\r\n" + Repeat("A: b\r\n", 5000) + "\r\n", 431,
       "Request Header Fields Too Large"},
      {"huge body announced", post + "Content-Length: 99999999999\r\n\r\n", 413,
       "Content Too Large"},
      {"length beyond 64 bits",
       post + "Content-Length: 99999999999999999999999\r\n\r\n", 400,
       "Bad Request"},
      {"negative length", post + "Content-Length: -1\r\n\r\n", 400,
       "Bad Request"},
      {"huge body in chunks",
       post + "Transfer-Encoding: chunked\r\n\r\n100001\r\n" + large +
           "\r\n0\r\n\r\n",
       413, "Content Too Large"},
      {"endless chunk size",
       post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffffff\r\n", 400,
       "Bad Request"},
      {"two different lengths",
       post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{} ", 400,
       "Bad Request"},
      {"length and chunks",
       post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", 400,
       "Bad Request"},
  };
}

std::vector<BadCase> BadRequests() {
  const std::string time = "Idempotency-Key-Time: 1700000000000\r\n";
  const std::string key = "Idempotency-Key: k\r\n";
  return {
      {"key twice", ServiceRequest(key + "Idempotency-Key: other\r\n" + time),
       400, "Repeated header"},
      {"key time twice",
       ServiceRequest(key + time + "Idempotency-Key-Time: 1\r\n"), 400,
       "Repeated header"},
      {"empty key", ServiceRequest("Idempotency-Key:\r\n" + time), 400,
       "Bad idempotency key"},
      {"long key",
       ServiceRequest("Idempotency-Key: " + std::string(5000, 'k') + "\r\n" +
                      time),
       400, "Bad idempotency key"},
      {"key with bytes", ServiceRequest("Idempotency-Key: \xff\xfe\r\n" + time),
       400, "Bad idempotency key"},
      {"no key time", ServiceRequest(key), 400, "Incomplete idempotency key"},
      {"only key time", ServiceRequest(time), 400,
       "Incomplete idempotency key"},
      {"key time in words",
       ServiceRequest(key + "Idempotency-Key-Time: soon\r\n"), 400,
       "Bad idempotency key time"},
      {"negative key time",
       ServiceRequest(key + "Idempotency-Key-Time: -1\r\n"), 400,
       "Bad idempotency key time"},
      {"absurd key time",
       ServiceRequest(key + "Idempotency-Key-Time: 9223372036854775807\r\n"),
       400, "Bad idempotency key time"},
      {"negative deadline", ServiceRequest("Thornplank-Deadline-Ms: -5\r\n"),
       400, "Bad deadline"},
      {"absurd deadline",
       ServiceRequest("Thornplank-Deadline-Ms: 9223372036854775807\r\n"), 400,
       "Bad deadline"},
      {"deadline NaN", ServiceRequest("Thornplank-Deadline-Ms: NaN\r\n"), 400,
       "Bad deadline"},
      {"deadline twice",
       ServiceRequest("Thornplank-Deadline-Ms: 5000\r\n"
                      "Thornplank-Deadline-Ms: 1\r\n"),
       400, "Repeated header"},
      {"unknown account",
       RawRequest("POST", kRequests, kOperatorToken,
                  "Thornplank-Account: nobody\r\n", "{}"),
       403, "Unknown account"},
      {"unknown service",
       RawRequest("POST", "/v1/services/none/requests", kNorthToken, "", "{}"),
       404, "Unknown service"},
      {"service of bytes",
       RawRequest("POST", "/v1/services/\xff\xfe/requests", kNorthToken, "",
                  "{}"),
       404, "Unknown service"},
      {"no token", RawRequest("POST", kRequests, "", "", "{}"), 401,
       "token missing or unknown"},
      {"wrong token", RawRequest("POST", kRequests, "north-secreT", "", "{}"),
       401, "token missing or unknown"},
      {"viewer sends", RawRequest("POST", kRequests, kViewerToken, "", "{}"),
       403, "Not allowed"},
      {"unknown method", RawRequest("BREW", kRequests, kNorthToken, "", "{}"),
       405, "method not allowed"},
      {"unknown path", RawRequest("GET", "/v2/nothing", kNorthToken, "", ""),
       404, "no such path"},
  };
}

std::vector<BadCase> BadJobs(const std::string& job_of_south) {
  const std::string south_job_path = "/v1/jobs/" + job_of_south;
  std::vector<BadCase> cases;
  for (const std::string members :
       {R"("members":-3)", R"("members":1000000000)", R"("members":2.5)",
        R"("members":1e400)", R"("members":NaN)",
        R"("members":18446744073709551615)", R"("accelerators":"eight")",
        R"("accelerators":null)", R"("run_time_ms":-1)",
        R"("run_time_ms":9223372036854775807)", R"("adjacency":"moon")",
        R"("priority":7)", R"("account":["north"])", R"("task":[1,2])",
        R"("task":"run")"}) {
    cases.push_back({members, PostJob(members), 400, "Bad request"});
  }
  for (const int levels : {60, 10'000, 200'000}) {
    const std::string name = std::to_string(levels) + " levels";
    cases.push_back({name + " of a task",
                     PostJob("\"task\":{\"a\":" + NestedArrays(levels) + "}"),
                     400, "Bad request"});
    // A quote inside a JSON comment must not hide the nesting after it from
    // the depth check.
    cases.push_back(
        {name + " behind a comment",
         PostJob("/*\"*/\"task\":{\"a\":" + NestedArrays(levels) + "}"), 400,
         "Bad request"});
  }
  cases.insert(
      cases.end(),
      {{"invalid UTF-8", PostJob("\"name\":\"\xc3\x28\""), 400, "Bad request"},
       {"long name", PostJob("\"name\":\"" + std::string(100'000, 'n') + '"'),
        400, "Bad request"},
       {"large task",
        PostJob("\"task\":{\"a\":\"" + std::string(100'000, 't') + "\"}"), 400,
        "Bad request"},
       {"wide task",
        PostJob("\"task\":{\"a\":[0" + Repeat(",[]", 300'000) + "]}"), 400,
        "Bad request"},
       {"list", RawRequest("POST", "/v1/jobs", kNorthToken, "", "[]"), 400,
        "Bad request"},
       {"empty", RawRequest("POST", "/v1/jobs", kNorthToken, "", ""), 400,
        "Bad request"},
       {"account of another", PostJob(R"("account":"south")"), 403,
        "Forbidden"},
       {"unknown account",
        RawRequest("POST", "/v1/jobs", kOperatorToken, "",
                   R"({"account":"nobody"})"),
        422, "Can never run"},
       {"job of another read",
        RawRequest("GET", south_job_path, kNorthToken, "", ""), 404,
        "No such job"},
       {"job of another cancelled",
        RawRequest("DELETE", south_job_path, kNorthToken, "", ""), 404,
        "No such job"},
       {"list of another",
        RawRequest("GET", "/v1/jobs?account=south", kNorthToken, "", ""), 403,
        "Forbidden"},
       {"viewer submits",
        RawRequest("POST", "/v1/jobs", kViewerToken, "",
                   R"({"account":"north"})"),
        403, "Forbidden"}});
  return cases;
}

std::vector<BadCase> BadSettings() {
  const std::string refused = "settings refused";
  std::vector<BadCase> cases;
  for (const std::string body :
       {R"({"kind":"account","weight":-1})",
        R"({"kind":"account","weight":"x"})",
        R"({"kind":"account","guaranteed_slots":1e300})",
        R"({"kind":"account","unheard_of":1})", R"({"kind":"galaxy"})", "[]",
        "{", "", R"({"kind":"account","weight":NaN})", "{\"kind\":\"\xff\"}"}) {
    cases.push_back({"node " + body, PutSettings("fresh", body), 400, refused});
  }
  const std::string deep = "{\"kind\":" + NestedArrays(200'000) + "}";
  const std::string account = R"({"kind":"account"})";
  cases.insert(
      cases.end(),
      {{"node of 200,000 levels", PutSettings("fresh", deep), 400, refused},
       {"event of 200,000 levels", PutEvent("e", deep), 400, refused},
       {"long unknown key",
        PutSettings("fresh", "{\"" + std::string(100'000, 'k') + "\":1}"), 400,
        refused},
       {"many unknown keys", PutSettings("fresh", ObjectWithUnknownKeys(5000)),
        400, refused},
       {"path with ..", PutSettings("../up", account), 400, refused},
       {"path with %00", PutSettings("a%00b", account), 400, refused},
       {"path of bytes", PutSettings("\xff\xfe", account), 400, refused},
       {"long path", PutSettings(std::string(8000, 'p'), account), 400,
        refused},
       {"deep path", PutSettings(Repeat("p/", 4000), account), 400, refused},
       {"reserved path", PutSettings("events/e", account), 400, refused},
       {"no If-Match", PutSettings("north", account), 428,
        "precondition required"},
       {"bad If-Match",
        RawRequest("PUT", "/v1/settings/north", kOperatorToken,
                   "If-Match: x\r\n", account),
        400, "malformed If-Match"},
       {"stale If-Match",
        RawRequest("PUT", "/v1/settings/north", kOperatorToken,
                   "If-Match: \"0\"\r\n", account),
        412, "changed by someone else"},
       {"caller writes",
        RawRequest("PUT", "/v1/settings/north", kNorthToken, "", account), 403,
        "role not sufficient"},
       {"caller reads another",
        RawRequest("GET", "/v1/settings/south", kNorthToken, "", ""), 403,
        "another client account"},
       {"account of another type",
        RawRequest("PUT", "/v1/accounts/fresh", kOperatorToken, "", "7"), 400,
        refused},
       {"event with a negative time",
        PutEvent("e", R"({"account":"north","starts_at_ms":-1,"shapes":[]})"),
        400, refused},
       {"event with shapes of another type",
        PutEvent("e", R"({"account":"north","starts_at_ms":1,"shapes":"x"})"),
        400, refused},
       {"event of bytes", PutEvent("\xff", "{}"), 400, refused},
       {"drain of bytes",
        RawRequest("POST", "/v1/drains/\xff", kOperatorToken, "", ""), 400,
        refused},
       {"node of bytes read",
        RawRequest("GET", "/v1/settings/\xff", kOperatorToken, "", ""), 404,
        "not in the settings"}});
  return cases;
}

}  // namespace thornplank
