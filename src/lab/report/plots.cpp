#include "lab/report/plots.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "lab/judge/sketch.h"
#include "lab/report/course.h"
#include "lab/report/gnuplot.h"
#include "lab/report/sheet.h"
#include "lab/script/script.h"

namespace burlfall::lab {
namespace {

constexpr std::size_t kMostRows = 300;  // of a heat map; of more nodes, neighbours are put together
constexpr std::size_t kMostOutlines = 300;
constexpr std::size_t kMostClasses = 6;
constexpr uint64_t kLeastFleet = 8;

constexpr const char* kBlue = "#1d6a96";
constexpr const char* kRed = "#c1272d";
constexpr const char* kGrid = "lt 1 lw 1 lc rgb '#e2e2e2', lt 1 lw 0.5 lc rgb '#f0f0f0'";

struct OutcomeLook {
  const char* title;
  const char* colour;
  std::vector<uint64_t> Series::*series;
};
constexpr OutcomeLook kOutcomes[] = {
    {"in time", "#7dbb9c", &Series::in_time},     {"late", "#e6b422", &Series::late},
    {"refused", "#e2711d", &Series::refused},     {"failed", "#c1272d", &Series::failed},
    {"lost", "#5b2a6f", &Series::lost},           {"left", "#98a4b3", &Series::left},
    {"unreached", "#3d3d3d", &Series::unreached},
};

// A result names a fault by its kind's word, maybe with more behind it. Null where the kind is not known.
const FaultTraits* TraitsNamed(const std::string& name) {
  for (const FaultTraits& traits : AllFaults()) {
    if (name.substr(0, traits.kind_name.size()) == traits.kind_name) return &traits;
  }
  return nullptr;
}

double Decade(double value) { return std::floor(std::log10(value)); }

// How many of a histogram's queries took longer than so long.
struct Curve {
  explicit Curve(const Latency& latency) {
    double total = 0;
    for (const Bin& bin : latency.bins) total += static_cast<double>(bin.count);
    if (total <= 0) return;
    double above = total;
    double x = Edge(latency.bins.front().number);
    low = x;
    for (const Bin& bin : latency.bins) {
      Put(x = std::max(x, Edge(bin.number)), above / total);
      above -= static_cast<double>(bin.count);
      if (above <= 0) break;
      Put(x = std::max(x, Edge(bin.number + 1)), above / total);
    }
    // The last bin ends with the longest of all.
    high = std::max(x, Within(latency.most_ms, 0, 1e9));
    least = 1 / total;
    Put(high, least);
  }
  static double Edge(int bin) {  // ms
    return Sketch::kMin / kMs * std::pow(Sketch::kRatio, std::clamp(bin, 0, Sketch::kBins));
  }
  void Put(double x, double share) { lines += Number(x) + " " + Number(share) + "\n"; }

  std::string lines;  // none where nothing was served
  double low = 0;
  double high = 0;
  double least = 1;
};

class Plotter {
 public:
  Plotter(const Verdict& verdict, std::string id)
      : verdict_(verdict), id_(std::move(id)), course_(verdict), lanes_(LanesOf(verdict, course_)) {
    const Series& series = verdict.series;
    for (std::size_t s = 0; s < course_.seconds; ++s) {
      asked_.push_back(At(series.asked, s));
      served_.push_back(At(series.in_time, s) + At(series.late, s));
    }
  }

  std::vector<Plot> All() {
    if (course_.seconds > 0) {
      Outcomes();
      NotInTime();
      ServiceOverTime();
      LatencyOverTime();
      ListServiceOverTime();
      ConnectionsOverTime();
      Heat("In flight at each node", "Most attempts that were out to a node at once.", "at once",
           verdict_.series.in_flight_by_node, true);
      Heat("Attempts at each node", "Attempts that arrived at a node.", "per second",
           verdict_.series.attempts_by_node, false);
    }
    Distribution();
    return std::move(plots_);
  }

 private:
  Sheet OverTime(double body, Sheet::Holds holds) const {
    return Sheet(NextId(), course_, lanes_, body, holds);
  }
  std::string NextId() const { return id_ + "_" + std::to_string(plots_.size()); }
  void Keep(const char* title, std::string note, const char* together, const Sheet& sheet) {
    if (course_.step > 1 && together != nullptr) {
      note += " Each step is " + std::to_string(course_.step) + " s: " + together + ".";
    }
    plots_.push_back({title, std::move(note), sheet.Script()});
  }

  void Outcomes() {
    Sheet sheet = OverTime(210, Sheet::Holds::kAreas);
    Values sum(course_.steps, 0.0);
    struct Layer {
      const OutcomeLook* look;
      Values up_to;
    };
    std::vector<Layer> layers;
    for (const OutcomeLook& look : kOutcomes) {
      const Values values = PerSecond(course_, verdict_.series.*look.series);
      if (MostOf(values) <= 0) continue;
      for (std::size_t i = 0; i < sum.size(); ++i) *sum[i] += values[i].value_or(0);
      layers.push_back({&look, sum});
    }
    if (layers.empty()) return;
    std::reverse(layers.begin(), layers.end());  // the highest first: the others are painted over it
    for (const Layer& layer : layers) {
      const std::string name = "layer" + std::to_string(&layer - layers.data());
      sheet.Steps(course_, name, layer.up_to);
      sheet.Area(name, layer.look->colour, layer.look->title);
    }
    sheet.YLabel("queries per second");
    sheet.YFromZero(MostOf(sum));
    Keep("What became of the queries", "By the second in which a query's first try was due.", "means", sheet);
  }

  void NotInTime() {
    Sheet sheet = OverTime(130, Sheet::Holds::kLines);
    double most = 0;
    for (const OutcomeLook& look : kOutcomes) {
      const Values values = PerSecond(course_, verdict_.series.*look.series);
      if (look.series == &Series::in_time || MostOf(values) <= 0) continue;
      sheet.Steps(course_, look.title, values);
      sheet.Line(look.title, look.colour, look.title);
      most = std::max(most, MostOf(values));
    }
    if (sheet.empty()) return;
    sheet.YLabel("queries per second");
    sheet.YFromZero(most);
    Keep("Refused, and otherwise not served in time", "The same, on a scale of their own.", "means", sheet);
  }

  void ServiceOverTime() {
    const Values values = Weighted(course_, verdict_.series.service, asked_);
    if (std::none_of(values.begin(), values.end(), [](const auto& v) { return v.has_value(); })) return;
    Sheet sheet = OverTime(130, Sheet::Holds::kLines);
    sheet.Steps(course_, "service", values);
    sheet.Line("service", kBlue, "service");
    const Service& service = verdict_.service;
    const double from = service.worst_ten_seconds_at_s;
    if (from >= 0 && from + 10 <= course_.until && std::isfinite(service.worst_ten_seconds)) {
      const std::string worst = " " + Number(service.worst_ten_seconds) + "\n";
      sheet.Data("worst", Number(from) + worst + Number(from + 10) + worst);
      sheet.Line("worst", kRed, "worst 10 s", 3);
    }
    sheet.YLabel("share of worth");
    sheet.Add("set yrange [0:1.03]");
    sheet.Add("set ytics 0.25");
    Keep("Service", "Worth served in time over worth asked.", "means, by queries asked", sheet);
  }

  void LatencyOverTime() {
    Values p50 = Weighted(course_, verdict_.series.p50_ms, served_);
    Values p99 = Most(course_, verdict_.series.p99_ms, served_);
    double low = 1e9;
    double high = 0;
    for (Values* values : {&p50, &p99}) {
      for (auto& value : *values) {
        if (!value) continue;
        value = std::max(*value, Curve::Edge(0));  // what is less is not told apart, and no logarithm has a 0
        low = std::min(low, *value);
        high = std::max(high, *value);
      }
    }
    if (high <= 0) return;
    Sheet sheet = OverTime(170, Sheet::Holds::kLines);
    sheet.Steps(course_, "p99", p99);
    sheet.Steps(course_, "p50", p50);
    sheet.Line("p99", kRed, "p99");
    sheet.Line("p50", kBlue, "p50");
    sheet.YLabel("latency, ms");
    sheet.Add("set logscale y");
    sheet.Add(std::string("set grid ytics mytics ") + kGrid);
    sheet.Add("set yrange [" + Number(std::pow(10, Decade(low))) + ":" +
              Number(std::pow(10, Decade(high) + 1)) + "]");
    Keep("Latency of what was served", "From when a query's first try was due.",
         "the mean of p50, the worst p99", sheet);
  }

  // Of fleets alone: a few balancers ask it once.
  void ListServiceOverTime() {
    const FleetResult& fleet = verdict_.fleet;
    if (fleet.lives < kLeastFleet) return;
    Sheet sheet = OverTime(150, Sheet::Holds::kLines);
    double most = 0;
    const auto draw = [&](const std::vector<uint64_t>& series, const char* name, const char* colour) {
      const Values values = PerSecond(course_, series);
      if (MostOf(values) <= 0) return;
      sheet.Steps(course_, name, values);
      sheet.Line(name, colour, name);
      most = std::max(most, MostOf(values));
    };
    draw(fleet.without_list, "without", "#98a4b3");
    draw(fleet.refusals, "refused", kRed);
    draw(fleet.watch_calls, "watches", "#7dbb9c");
    draw(fleet.list_calls, "lists", kBlue);
    if (sheet.empty()) return;
    sheet.YLabel("calls per second");
    sheet.YFromZero(most);
    Keep("At the list service",
         "Calls for the list and of watches, answers that were none, and the balancers that ran without a "
         "list.",
         "means", sheet);
  }

  void ConnectionsOverTime() {
    const FleetResult& fleet = verdict_.fleet;
    const Values values = PerSecond(course_, fleet.busiest_handshakes);
    if (fleet.lives < kLeastFleet || MostOf(values) <= 0) return;
    Sheet sheet = OverTime(110, Sheet::Holds::kLines);
    sheet.Steps(course_, "busiest", values);
    sheet.Line("busiest", kBlue, "busiest node");
    sheet.YLabel("new per second");
    sheet.YFromZero(MostOf(values));
    Keep("New connections at the node that took most", "Each second's own: not always the same node.",
         "means", sheet);
  }

  // Of a list of values for each node. `most`: of what a cell holds, the most counts, else the mean.
  void Heat(const char* title, std::string note, const char* unit,
            const std::vector<std::vector<uint64_t>>& by_node, bool most) {
    const std::size_t nodes = std::min(by_node.size(), verdict_.nodes.size());
    if (nodes == 0) return;
    const std::size_t per_row = (nodes + kMostRows - 1) / kMostRows;
    const std::size_t rows = (nodes + per_row - 1) / per_row;
    const double body = std::clamp(16.0 * static_cast<double>(rows), 80.0, 400.0);
    Sheet sheet = OverTime(body, Sheet::Holds::kCells);

    // A picture needs two cells each way: where there is one, it is told twice, at half the size.
    const std::size_t wide = course_.steps == 1 ? 2 : 1;
    const std::size_t high = rows == 1 ? 2 : 1;
    double largest = 0;
    std::string cells;
    for (std::size_t row = 0; row < rows; ++row) {
      std::string line;
      for (std::size_t i = 0; i < course_.steps; ++i) {
        const double value = Cell(by_node, row * per_row, std::min((row + 1) * per_row, nodes), i, most);
        largest = std::max(largest, value);
        for (std::size_t n = 0; n < wide; ++n) line += Number(most ? std::log10(1 + value) : value) + " ";
      }
      for (std::size_t n = 0; n < high; ++n) cells += line + "\n";
    }
    sheet.Data("cells", cells);
    // Two in flight are nothing to be alarmed at: the darkest is ten, or more.
    Scale(sheet, unit, std::max(largest, most ? 10.0 : 1.0), most);
    NodeAxis(sheet, rows, per_row);
    if (per_row == 1 && body / static_cast<double>(rows) >= 4 && Outlines(sheet, nodes)) {
      note += " Framed: nodes that a fault hit, while it lasted.";
    }
    if (per_row > 1) {
      note += " Each row is " + std::to_string(per_row) + " nodes: their " + (most ? "most." : "mean.");
    }
    const double width = static_cast<double>(course_.step) / static_cast<double>(wide);
    const double height = 1 / static_cast<double>(high);
    sheet.Plot("$cells matrix using ($1*" + Number(width) + "+" + Number(width / 2) + "):($2*" +
               Number(height) + "+" + Number(height / 2 - 0.5) + "):3 with image notitle");
    Keep(title, note, most ? "the most" : "means", sheet);
  }

  double Cell(const std::vector<std::vector<uint64_t>>& by_node, std::size_t from, std::size_t to,
              std::size_t i, bool most) const {
    double largest = 0;
    double sum = 0;
    double count = 0;
    for (std::size_t node = from; node < to; ++node) {
      course_.Each(i, [&](std::size_t s) {
        largest = std::max(largest, At(by_node[node], s));
        sum += At(by_node[node], s);
        ++count;
      });
    }
    return most ? largest : sum / std::max(count, 1.0);
  }

  // A silent node holds hundreds where the others hold three: the scale of what is in flight is logarithmic.
  static void Scale(Sheet& sheet, const char* unit, double largest, bool logarithmic) {
    sheet.Add(logarithmic
                  ? "set palette defined (0 '#ffffff', 1 '#fde3c0', 2 '#fbb268', 3 '#d8432a', 4 '#5c0a12')"
                  : "set palette defined (0 '#ffffff', 1 '#d3e5f1', 2 '#86b9da', 3 '#2f78b3', 4 '#0b2c56')");
    sheet.Add("set palette maxcolors 48");
    sheet.Add("set cbrange [0:" + Number(logarithmic ? std::log10(1 + largest) : largest) + "]");
    const std::string x = Number(1 - (kSheetRight - 14) / kSheetWidth);
    const double height = std::min(sheet.body() - 18, 150.0);
    const double whole = sheet.top() + sheet.body() + kSheetBottom;
    sheet.Add("set colorbox user origin screen " + x + ", screen " + sheet.Y(sheet.top() + 16 + height) +
              " size screen 0.014, screen " + Number(height / whole));
    sheet.Add("set label " + Quoted(unit) + " at screen " + x + ", screen " + sheet.Y(sheet.top() + 5) +
              " left textcolor rgb '#333333'");
    std::string tics = "'0' 0";
    if (!logarithmic) {
      const double step = std::max(1.0, EvenStep(largest, height, 15));
      for (double at = step; at <= largest; at += step) tics += ", " + Quoted(Number(at)) + " " + Number(at);
    } else {
      double last = 0;
      for (double value = 1; value <= largest; value = NextStep(value)) {
        if (std::log10((1 + value) / (1 + last)) / std::log10(1 + largest) * height < 15) continue;
        tics += ", " + Quoted(Number(value)) + " " + Number(std::log10(1 + value));
        last = value;
      }
    }
    sheet.Add("set cbtics (" + tics + ")");
  }

  void NodeAxis(Sheet& sheet, std::size_t rows, std::size_t per_row) const {
    const double row_height = sheet.body() / static_cast<double>(rows);
    const auto every =
        static_cast<std::size_t>(std::max(1.0, std::ceil(13 / row_height)));  // that names have room
    std::string tics;
    for (std::size_t row = 0; row < rows; row += every) {
      tics += (tics.empty() ? "" : ", ") + Quoted(verdict_.nodes[row * per_row].name, 13) + " " +
              Number(static_cast<double>(row));
    }
    sheet.Add("set yrange [" + Number(static_cast<double>(rows) - 0.5) + ":-0.5]");
    sheet.Add("set ytics (" + tics + ") font ',10'");
    sheet.Add("unset grid");
  }

  // Frames the nodes that a fault hit, while it lasted. False where there are none.
  bool Outlines(Sheet& sheet, std::size_t nodes) const {
    std::size_t drawn = 0;
    for (std::size_t f = 0; f < std::min(verdict_.faults.size(), kMostFaultsDrawn); ++f) {
      const FaultResult& fault = verdict_.faults[f];
      const FaultTraits* traits = TraitsNamed(fault.name);
      const double from = Within(fault.began_s, 0, course_.until);
      const double to = Within(fault.ended_s, from, course_.until);
      if (traits == nullptr || traits->hits != FaultHits::kNodes || to <= from) continue;
      for (const int target : fault.targets) {
        if (target < 0 || static_cast<std::size_t>(target) >= nodes || drawn == kMostOutlines) continue;
        ++drawn;
        // Black within white shows on any colour.
        for (const char* pen : {"'#ffffff' lw 3", "'#111111' lw 1"}) {
          sheet.Add("set object rect from first " + Number(from) + ", first " + Number(target - 0.5) +
                    " to first " + Number(to) + ", first " + Number(target + 0.5) +
                    " front fs empty border lc rgb " + pen);
        }
      }
    }
    return drawn > 0;
  }

  void Distribution() {
    static constexpr const char* kColours[kMostClasses] = {kRed,      kBlue,     "#e08a1e",
                                                           "#3f8f63", "#7b4b94", "#8a8a8a"};
    std::vector<const GroupResult*> classes;
    for (const GroupResult& group : verdict_.classes) classes.push_back(&group);
    std::stable_sort(classes.begin(), classes.end(), [](const GroupResult* a, const GroupResult* b) {
      return a->latency.p99_ms > b->latency.p99_ms;
    });
    const bool some = classes.size() > kMostClasses;
    if (some) classes.resize(kMostClasses);

    const Curve all(verdict_.latency);
    if (all.lines.empty()) return;
    Sheet sheet(NextId(), 260);
    double low = all.low;
    double high = all.high;
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const Curve curve(classes[i]->latency);
      if (curve.lines.empty()) continue;
      const std::string name = "class" + std::to_string(i);
      sheet.Data(name, curve.lines);
      sheet.Line(name, kColours[i], classes[i]->name);
      low = std::min(low, curve.low);
      high = std::max(high, curve.high);
    }
    sheet.Data("all", all.lines);
    sheet.Line("all", "#222222", "all", 2.5);
    sheet.YLabel("queries that took longer");
    sheet.Add("set xlabel 'latency, ms' offset 0,0.4 textcolor rgb '#333333'");
    sheet.Add("set logscale xy");
    std::string x_tics;
    for (double x = std::pow(10, Decade(low)); x <= high; x = NextStep(x)) {
      x_tics += (x_tics.empty() ? "" : ", ") + Quoted(Number(x)) + " " + Number(x);
    }
    sheet.Add("set xtics (" + x_tics + ")");
    sheet.Add("set xrange [" + Number(low) + ":" + Number(std::max(high, low * 1.1)) + "]");
    sheet.Add(std::string("set grid xtics ytics ") + kGrid);
    const int decades = std::max(1, static_cast<int>(std::ceil(-std::log10(all.least) - 1e-9)));
    sheet.Add("set yrange [1e-" + std::to_string(decades) + ":1]");
    std::string tics = "'all' 1";
    uint64_t of = 1;
    for (int n = 1; n <= decades; ++n) {
      of *= 10;
      tics += ", " + Quoted("1 in " + Grouped(of)) + " 1e-" + std::to_string(n);
    }
    sheet.Add("set ytics (" + tics + ")");
    std::string note =
        "The share of the served queries that took longer, after the settle time: a curve meets \"1 in 100\" "
        "at its "
        "p99.";
    if (some) note += " Classes: those with the highest p99.";
    Keep("How long answers took", note, nullptr, sheet);
  }

  const Verdict& verdict_;
  const std::string id_;
  const Course course_;
  const std::vector<Lane> lanes_;
  std::vector<double> asked_;  // by second
  std::vector<double> served_;
  std::vector<Plot> plots_;
};

}  // namespace

std::vector<Plot> PlotsOf(const Verdict& verdict, const std::string& id) {
  return Plotter(verdict, id).All();
}

std::string TargetsOf(const Verdict& verdict, const FaultResult& fault,
                      const std::vector<std::string>& zones) {
  const FaultTraits* traits = TraitsNamed(fault.name);
  if (traits == nullptr || traits->hits == FaultHits::kNothing) return "";
  std::string text;
  for (const int target : fault.targets) {
    const auto at = static_cast<std::size_t>(target);
    std::string name = std::to_string(target);
    if (traits->hits == FaultHits::kNodes) {
      if (at < verdict.nodes.size()) name = verdict.nodes[at].name;
    } else if (traits->hits == FaultHits::kBalancers) {
      if (at < verdict.balancers.size()) name = verdict.balancers[at].name;
    } else {
      name = "zone " + (at < zones.size() ? zones[at] : name);
    }
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

}  // namespace burlfall::lab
