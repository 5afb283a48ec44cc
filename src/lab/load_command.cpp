#include "lab/load_command.h"

#include <unistd.h>

#include <cstdio>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/http.h"
#include "config/platform.h"
#include "io/real_machine.h"
#include "lab/load/load.h"

namespace burlfall::lab {
namespace {

constexpr char kAbout[] =
    "Sends one query over and over to any HTTP server, at a fixed rate whatever the answers do, and prints "
    "how\n"
    "long the answers took, from the time each query was to be sent. Ends with 1 where nothing was answered, "
    "or\n"
    "where this program itself was late with over 1% of the queries: then it has nothing to say.";

struct Words {
  std::string url;
  double rate_per_s = 0;
  int connections = 16;
  double duration_s = 10;
  double warm_up_s = 0;
  double timeout_s = 5;
  std::string spacing = "poisson";
  std::string cls;
  std::string method = "GET";
  std::vector<std::string> headers;
  std::string body;
  std::optional<uint64_t> seed;
  bool json = false;
};

// "http://127.0.0.1:9000/look"; an address, no name, as nothing looks names up.
struct Url {
  std::string host;
  std::string path;
  Address at;
};
std::optional<Url> ReadUrl(const std::string& text) {
  constexpr std::string_view kScheme = "http://";
  if (!text.starts_with(kScheme)) return {};
  Url url;
  const size_t slash = std::min(text.find('/', kScheme.size()), text.size());
  url.host = text.substr(kScheme.size(), slash - kScheme.size());
  url.path = slash == text.size() ? "/" : text.substr(slash);
  std::string at = url.host;
  if (at.find(':') == std::string::npos || at.ends_with(']')) at += ":80";
  if (at.starts_with("localhost:")) at.replace(0, std::string_view("localhost").size(), "127.0.0.1");
  const std::optional<Address> address = ReadAddress(at);
  if (!address) return {};
  url.at = *address;
  return url;
}

std::string QueryOf(const Words& words, const Url& url) {
  const std::string id = LoadPlan::kId;
  const std::string path = words.cls.empty() ? url.path : "/" + words.cls + "?user=" + id;
  std::string query = words.method + " " + path + " HTTP/1.1\r\n";
  AppendHeader(query, "Host", url.host);
  if (!words.cls.empty()) {
    AppendHeader(query, platform::kTraceId, id);
    AppendHeader(query, platform::kExpiresIn,
                 std::to_string(static_cast<Micros>(words.timeout_s * kSecond)) + "u");
    if (words.method == "POST") AppendHeader(query, platform::kIdempotencyKey, id);
  }
  for (const std::string& header : words.headers) query.append(header).append("\r\n");
  if (!words.body.empty() || words.method != "GET") {
    AppendHeader(query, "Content-Length", std::to_string(words.body.size()));
  }
  return query.append("\r\n").append(words.body);
}

double Ms(double us) { return us / kMs; }

constexpr std::pair<const char*, double> kQuantiles[] = {
    {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99_9", 0.999}, {"max", 1}};

void PrintJson(const Words& words, const LoadResult& result) {
  nlohmann::ordered_json json;
  json["url"] = words.url;
  json["rate_per_s"] = words.rate_per_s;
  json["connections"] = words.connections;
  json["duration_s"] = words.duration_s;
  json["took_s"] = static_cast<double>(result.took) / kSecond;
  json["queries"] = result.queries;
  json["answered"] = result.answered();
  json["answered_per_s"] = result.PerSecond(result.answered());
  json["answers"] = nlohmann::ordered_json::object();
  for (const auto& [status, n] : result.answers) json["answers"][std::to_string(status)] = n;
  json["errors"] = {{"timed_out", result.timed_out},
                    {"broken", result.broken},
                    {"garbled", result.garbled},
                    {"connects_failed", result.connects_failed}};
  json["connects"] = result.connects;
  json["late_sends"] = result.late_sends;
  json["late_share"] = result.late_share();
  json["late_most_ms"] = Ms(static_cast<double>(result.late.Max()));
  json["too_late"] = result.too_late();
  // Figures that say nothing are not given.
  json["latency_ms"] = nullptr;
  if (!result.too_late() && result.answered() > 0) {
    for (const auto& [name, share] : kQuantiles)
      json["latency_ms"][name] = Ms(result.latency.Quantile(share));
    json["latency_ms"]["mean"] = Ms(result.latency.Mean());
  }
  std::cout << json.dump(2) << "\n";
}

void PrintText(const Words& words, const LoadResult& result) {
  const auto line = [](const char* format, auto... values) { std::printf(format, values...); };
  line("queries   %llu, %.0f/s on %d connections for %.1f s\n",
       static_cast<unsigned long long>(result.queries), result.PerSecond(result.queries), words.connections,
       static_cast<double>(result.took) / kSecond);
  line("answered  %llu, %.0f/s:", static_cast<unsigned long long>(result.answered()),
       result.PerSecond(result.answered()));
  for (const auto& [status, n] : result.answers)
    line("  %d %llu", status, static_cast<unsigned long long>(n));
  line("\nerrors    %llu timed out, %llu broken, %llu garbled, %llu connects failed\n",
       static_cast<unsigned long long>(result.timed_out), static_cast<unsigned long long>(result.broken),
       static_cast<unsigned long long>(result.garbled),
       static_cast<unsigned long long>(result.connects_failed));
  if (words.rate_per_s > 0) {
    line("own time  %.2f%% of the queries over 5 ms late, p99 %.2f ms, at most %.2f ms\n",
         100 * result.late_share(), Ms(result.late.Quantile(0.99)),
         Ms(static_cast<double>(result.late.Max())));
  }
  if (result.answered() == 0) return;
  if (result.too_late()) {
    line("no verdict: this program itself was late with more than 1%% of the queries\n");
    return;
  }
  line("latency  ");
  for (const auto& [name, share] : kQuantiles) line(" %s %.3f ms", name, Ms(result.latency.Quantile(share)));
  line(" mean %.3f ms\n", Ms(result.latency.Mean()));
}

int RunLoad(const Words& words) {
  const std::optional<Url> url = ReadUrl(words.url);
  if (!url) throw CLI::ValidationError("URL", "http://ADDRESS[:PORT][/PATH], with an IP address");
  RealMachine machine(true);
  LoadPlan plan;
  plan.to = url->at;
  plan.query = QueryOf(words, *url);
  plan.rate_per_s = words.rate_per_s;
  plan.even = words.spacing == "even";
  plan.connections = words.connections;
  plan.warm_up = static_cast<Micros>(words.warm_up_s * kSecond);
  plan.duration = static_cast<Micros>(words.duration_s * kSecond);
  plan.timeout = static_cast<Micros>(words.timeout_s * kSecond);
  plan.seed = words.seed.value_or(machine.Entropy());
  Load::Tell tell;
  if (isatty(STDERR_FILENO)) {
    tell = [&](Micros since, const LoadResult& so_far) {
      std::fprintf(stderr, "\r%4.0f s of %.0f  answered %llu  errors %llu  p99 %.2f ms ",
                   static_cast<double>(since) / kSecond, words.warm_up_s + words.duration_s,
                   static_cast<unsigned long long>(so_far.answered()),
                   static_cast<unsigned long long>(so_far.timed_out + so_far.broken + so_far.garbled),
                   Ms(so_far.latency.Quantile(0.99)));
    };
  }
  Load load(machine, plan, tell);
  const auto whole = [&]() -> Task<> {
    co_await load.Run();
    machine.scheduler().Stop();
  };
  Task<> running = whole();
  running.Start();
  machine.scheduler().Run();
  if (tell) std::fprintf(stderr, "\r%60s\r", "");
  const LoadResult& result = load.result();
  words.json ? PrintJson(words, result) : PrintText(words, result);
  return result.too_late() || result.answered() == 0 ? 1 : 0;
}

}  // namespace

void AddLoad(CLI::App& lab, int& code) {
  CLI::App* load = lab.add_subcommand("load", kAbout);
  auto words = std::make_shared<Words>();
  load->add_option("URL", words->url, "http://ADDRESS:PORT/PATH")->required();
  load->add_option("--rate", words->rate_per_s,
                   "queries a second; 0: each connection sends the next as soon as it has its answer")
      ->check(CLI::Range(0.0, 1e6))
      ->capture_default_str();
  load->add_option("--connections", words->connections, "opened; a query that finds all busy waits for one")
      ->check(CLI::Range(1, 60000))
      ->capture_default_str();
  load->add_option("--duration", words->duration_s, "seconds")
      ->check(CLI::Range(0.1, 86400.0))
      ->capture_default_str();
  load->add_option("--warm-up", words->warm_up_s, "seconds before that, which don't count")
      ->check(CLI::Range(0.0, 3600.0))
      ->capture_default_str();
  load->add_option("--timeout", words->timeout_s, "seconds, from the time a query was to be sent")
      ->check(CLI::Range(0.001, 3600.0))
      ->capture_default_str();
  load->add_option("--spacing", words->spacing, "of queries: poisson or even")
      ->check(CLI::IsMember({"poisson", "even"}))
      ->capture_default_str();
  load->add_option("--method", words->method, "but for HEAD and CONNECT")
      ->check(CLI::IsMember({"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}))
      ->capture_default_str();
  load->add_option("--class", words->cls,
                   "asks a balancer for this class, with its headers, in place of the URL's path");
  load->add_option("--header", words->headers,
                   "\"Name: value\", any number; {id} in it, or in the path, becomes a new id for each query")
      ->allow_extra_args(false)
      ->check([](const std::string& text) {
        const bool whole =
            text.find(':') != std::string::npos && text.find_first_of("\r\n") == std::string::npos;
        return whole ? std::string() : std::string("no \"Name: value\"");
      });
  load->add_option("--body", words->body, "of each query");
  load->add_option("--seed", words->seed, "of ids and spacing; left out: any");
  load->add_flag("--json", words->json, "prints the result as JSON");
  load->callback([words, &code] { code = RunLoad(*words); });
}

}  // namespace burlfall::lab
