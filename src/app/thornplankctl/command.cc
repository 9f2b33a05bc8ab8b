// Sends requests, maps status codes to exit codes, and prints answers.
#include "command.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "client/table_printer.h"

namespace thornplank {
namespace {

int ToExitCode(int status) {
  if (status / 100 == 2) return kExitOk;
  const bool is_conflict = status == 409 || status == 412;
  return is_conflict ? kExitConflict : kExitRefused;
}

void PrintRefusal(const HttpResponse& response) {
  const std::optional<Json> problem = ParseJson(response.body);
  std::cerr << "thornplankctl: refused with status " << response.status;
  if (problem.has_value()) {
    std::cerr << ": " << Cell(*problem, "title");
    const std::string detail = Cell(*problem, "detail");
    if (!detail.empty()) std::cerr << ": " << detail;
  }
  const std::string retry_after = response.headers.Value("Retry-After");
  if (!retry_after.empty()) {
    std::cerr << " (retry after " << retry_after << " s)";
  }
  std::cerr << "\n";
}

}  // namespace

int CallApi(const CommandContext& context, const std::string& method,
            const std::string& target, const std::string& body,
            const HttpHeaders& headers, Json* answer,
            HttpHeaders* answer_headers) {
  Error error;
  const std::optional<HttpResponse> response =
      context.api.Send(method, target, body, headers, &error);
  if (!response.has_value()) {
    std::cerr << "thornplankctl: no answer: " << error.ToString() << "\n";
    return kExitNoAnswer;
  }
  const int code = ToExitCode(response->status);
  if (code != kExitOk) {
    PrintRefusal(*response);
    return code;
  }
  if (answer_headers != nullptr) *answer_headers = response->headers;
  if (answer != nullptr) {
    *answer = ParseJson(response->body).value_or(Json::object());
  }
  return kExitOk;
}

int PrintList(const CommandContext& context, const std::string& target,
              const std::string& list, const std::vector<Column>& columns) {
  Json answer;
  const int code = CallApi(context, "GET", target, "", HttpHeaders(), &answer);
  if (code != kExitOk) return code;
  if (context.json) {
    PrintJson(answer);
    return kExitOk;
  }
  std::vector<std::string> header;
  header.reserve(columns.size());
  for (const Column& column : columns) header.push_back(column.heading);
  TablePrinter table(header);
  if (const Json* items = ArrayField(answer, list)) {
    for (const Json& item : *items) {
      std::vector<std::string> row;
      row.reserve(columns.size());
      for (const Column& column : columns) {
        row.push_back(Cell(item, column.field));
      }
      table.AddRow(row);
    }
  }
  std::cout << table.ToText();
  return kExitOk;
}

void PrintJson(const Json& value) {
  std::cout << value.dump(2, ' ', false, Json::error_handler_t::replace)
            << "\n";
}

std::string ToCell(const Json& value) {
  if (value.is_null()) return "";
  if (value.is_string()) return value.get<std::string>();
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string Cell(const Json& object, std::string_view field) {
  if (!object.is_object()) return "";
  const auto it = object.find(std::string(field));
  return it == object.end() ? "" : ToCell(*it);
}

std::optional<Json> ParsePairs(const std::vector<std::string>& arguments,
                               size_t first) {
  Json object = Json::object();
  for (size_t i = first; i < arguments.size(); ++i) {
    const size_t equals = arguments[i].find('=');
    if (equals == std::string::npos || equals == 0) {
      std::cerr << "thornplankctl: '" << arguments[i]
                << "' is not of the form KEY=VALUE\n";
      return std::nullopt;
    }
    const std::string text = arguments[i].substr(equals + 1);
    object[arguments[i].substr(0, equals)] =
        ParseJson(text).value_or(Json(text));
  }
  return object;
}

std::optional<Json> ReadJsonArgument(const std::string& argument) {
  std::string text = argument;
  if (!argument.empty() && argument.front() == '@') {
    std::ifstream file(argument.substr(1));
    if (!file) {
      std::cerr << "thornplankctl: cannot read " << argument.substr(1) << "\n";
      return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    text = content.str();
  }
  std::optional<Json> value = ParseJson(text);
  if (!value.has_value()) {
    std::cerr << "thornplankctl: '" << argument << "' is not valid JSON\n";
  }
  return value;
}

}  // namespace thornplank
