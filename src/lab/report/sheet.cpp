#include "lab/report/sheet.h"

#include <algorithm>
#include <cmath>

#include "lab/report/gnuplot.h"

namespace burlfall::lab {
namespace {

constexpr double kLaneHeight = 14;
constexpr double kLetter = 5.6;  // of a label's text, on the average
constexpr std::size_t kMostLanes = 4;
constexpr std::size_t kMostNumberLanes = 6;

constexpr double kAxis = kSheetWidth - kSheetLeft - kSheetRight;

double Pixel(const Course& course, double second) { return kSheetLeft + second / course.until * kAxis; }
double TextWidth(const std::string& label) { return kLetter * static_cast<double>(label.size()) + 6; }

double LabelAt(const Course& course, const Lane& lane) {  // one at the right edge is moved to the left
  return std::min(Pixel(course, lane.from), kSheetWidth - TextWidth(lane.label));
}

// Each into the first lane in which its bar and its label meet no other's. False where that takes more lanes:
// those left over go into the last, without a label.
bool Place(const Course& course, std::vector<Lane>& lanes, std::size_t most) {
  std::stable_sort(lanes.begin(), lanes.end(), [](const Lane& a, const Lane& b) { return a.from < b.from; });
  std::vector<double> used(most, 0);  // up to which pixel
  bool all = true;
  for (Lane& one : lanes) {
    const double left = LabelAt(course, one);
    const double right = std::max(Pixel(course, one.to) + 3, left + TextWidth(one.label));
    std::size_t lane = 0;
    while (lane < most && used[lane] > left) ++lane;
    if (lane == most) {
      all = false;
      one.label.clear();
      --lane;
    }
    one.lane = lane;
    used[lane] = std::max(used[lane], right);
  }
  return all;
}

double TopOf(const std::vector<Lane>& lanes) {
  std::size_t count = 0;
  for (const Lane& lane : lanes) count = std::max(count, lane.lane + 1);
  return 8 + kLaneHeight * static_cast<double>(count);
}

}  // namespace

double NextStep(double step) {
  const double first = std::round(step / std::pow(10, std::floor(std::log10(step) + 1e-9)));
  return step * (first == 2 ? 2.5 : 2);
}

double EvenStep(double most, double pixels, double room) {
  double step = std::pow(10, std::floor(std::log10(most)) - 2);
  while (step / most * pixels < room) step = NextStep(step);
  return step;
}

std::vector<Lane> LanesOf(const Verdict& verdict, const Course& course) {
  std::vector<Lane> named;
  std::vector<Lane> numbered;
  if (verdict.settle_s > 0) {
    named.push_back({0, Within(verdict.settle_s, 0, course.until), 0, "settle", false});
    numbered = named;
  }
  for (std::size_t i = 0; i < std::min(verdict.faults.size(), kMostFaultsDrawn); ++i) {
    const FaultResult& fault = verdict.faults[i];
    const double from = Within(fault.began_s, 0, course.until);
    const double to = Within(fault.ended_s, from, course.until);
    const std::string number = std::to_string(i + 1);
    numbered.push_back({from, to, 0, number, true});
    named.push_back({from, to, 0, number + " " + fault.name.substr(0, 30), true});
  }
  if (Place(course, named, kMostLanes)) return named;
  Place(course, numbered, kMostNumberLanes);
  return numbered;
}

Sheet::Sheet(const std::string& id, double body, double top)
    : top_(top), height_(top + body + kSheetBottom), body_(body) {
  Add("set terminal svg size " + Number(kSheetWidth) + "," + Number(height_) +
      " noenhanced standalone butt font 'sans-serif,11' background '#ffffff' name " + Quoted(id));
  Add("set encoding utf8");
  Add("set lmargin at screen " + Number(kSheetLeft / kSheetWidth));
  Add("set rmargin at screen " + Number(1 - kSheetRight / kSheetWidth));
  Add("set tmargin at screen " + Y(top));
  Add("set bmargin at screen " + Y(top + body));
  Add("set border 3 lc rgb '#666666'");
  Add("set tics nomirror out scale 0.5 textcolor rgb '#333333'");
  Add("set grid y lt 1 lw 1 lc rgb '#e2e2e2'");
  Add("set key at screen " + Number(1 - (kSheetRight - 12) / kSheetWidth) + ", screen " + Y(top) +
      " left top Left reverse samplen 1.2 spacing 1.15 textcolor rgb '#333333'");
}

Sheet::Sheet(const std::string& id, const Course& course, const std::vector<Lane>& lanes, double body,
             Holds holds)
    : Sheet(id, body, TopOf(lanes)) {
  Add("set xrange [0:" + Number(course.until) + "]");
  Add("set xlabel " + Quoted("seconds from the run's begin") + " offset 0,0.4 textcolor rgb '#333333'");
  // Areas would hide a shade behind them, and a shade before cells would change what their colours say: there
  // the ends of a fault are lines instead.
  const bool lines = holds == Holds::kLines;
  for (const Lane& lane : lanes) {
    const double least = 3 / kAxis * course.until;  // that an instant can be seen
    const double to = std::min(std::max(lane.to, lane.from + least), course.until);
    const double from = std::max(0.0, std::min(lane.from, to - least));
    const double y = top_ - 5 - kLaneHeight * static_cast<double>(lane.lane);
    Add("set object rect from first " + Number(from) + ", screen " + Y(y) + " to first " + Number(to) +
        ", screen " + Y(y - kLaneHeight + 2) + " noclip front fc rgb " +
        (lane.fault ? "'#f0c9b8'" : "'#dddddd'") + " fs solid noborder");
    if (holds != Holds::kCells) {
      Add("set object rect from first " + Number(from) + ", graph 0 to first " + Number(to) + ", graph 1 " +
          (lines ? "behind" : "front") + " fc rgb " + (lane.fault ? "'#a0461e'" : "'#444444'") +
          " fs transparent solid " + (lines ? "0.08" : "0.03") + " noborder");
    }
    const auto edge = [&](double x) {
      Add("set arrow from first " + Number(x) + ", graph 0 to first " + Number(x) +
          ", graph 1 nohead front lw 0.7 dt (4,3) lc rgb '#5a2a14'");
    };
    if (!lines && lane.from > 0) edge(lane.from);
    if (!lines && lane.to > lane.from && lane.to < course.until) edge(lane.to);
    if (lane.label.empty()) continue;
    Add("set label " + Quoted(lane.label) + " at screen " +
        Number((LabelAt(course, lane) + 3) / kSheetWidth) + ", screen " + Y(y - kLaneHeight / 2 + 1) +
        " left front font ',10' textcolor rgb '#5a2a14'");
  }
}

void Sheet::YLabel(const std::string& label) {
  Add("set label " + Quoted(label) + " at screen 0.013, screen " + Y(top_ + body_ / 2) +
      " center rotate by 90 textcolor rgb '#333333'");
}

void Sheet::YFromZero(double most) {
  Add("set yrange [0:" + Number(most * 1.05) + "]");
  Add("set ytics " + Number(EvenStep(most, body_, 24)));
}

void Sheet::Data(const std::string& name, const std::string& lines) {
  script_ += "$" + name + " << EOD\n" + lines + "EOD\n";
}

void Sheet::Steps(const Course& course, const std::string& name, const Values& values) {
  std::string lines;
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (!values[i]) {
      lines += "\n";
      continue;
    }
    const std::string value = Number(*values[i]);
    const auto put = [&](std::size_t at) { lines += Number(course.Begin(at)) + " " + value + "\n"; };
    if (i == 0 || values[i - 1] != values[i]) put(i);
    if (i + 1 == values.size() || values[i + 1] != values[i]) put(i + 1);
  }
  Data(name, lines);
}

void Sheet::Line(const std::string& name, const std::string& colour, const std::string& title, double wide) {
  Plot("$" + name + " using 1:2 with lines lw " + Number(wide) + " lc rgb '" + colour + "' title " +
       Quoted(title, 17));
}

void Sheet::Area(const std::string& name, const std::string& colour, const std::string& title) {
  Plot("$" + name + " using 1:2 with filledcurves y1=0 fc rgb '" + colour + "' title " + Quoted(title, 17));
}

std::string Sheet::Script() const {
  std::string script = script_ + "plot ";
  for (std::size_t i = 0; i < plots_.size(); ++i) script += (i == 0 ? "" : ", \\\n  ") + plots_[i];
  return script + "\n";
}

}  // namespace burlfall::lab
