// A plot's script for gnuplot, piece by piece. All sheets have the same margins, so that what stands below
// each other happened at the same time. No I/O.
#ifndef BURLFALL_LAB_REPORT_SHEET_H_
#define BURLFALL_LAB_REPORT_SHEET_H_

#include <cstddef>
#include <string>
#include <vector>

#include "lab/judge/result.h"
#include "lab/report/course.h"

namespace burlfall::lab {

// Pixels.
constexpr double kSheetWidth = 1000;
constexpr double kSheetLeft = 90;
constexpr double kSheetRight = 140;  // legends, and the scale of a heat map
constexpr double kSheetBottom = 46;

constexpr std::size_t kMostFaultsDrawn = 200;

// A bar above the plots over time, and a shade in them: a fault, or the settle time.
struct Lane {
  double from = 0;
  double to = 0;
  std::size_t lane = 0;
  std::string label;
  bool fault = true;
};
// Numbered as in the result, from 1; by number alone where their names would take too much room.
std::vector<Lane> LanesOf(const Verdict& verdict, const Course& course);

// Of marks on an axis: 1, 2, 5, 10, 20 and so on.
double NextStep(double step);
// The least of these at which marks on an axis up to `most`, so many pixels long, have room. `most` is over
// 0.
double EvenStep(double most, double pixels, double room);

class Sheet {
 public:
  // `body`: the height of what is between the axes, `top` of what is above.
  Sheet(const std::string& id, double body, double top = 8);
  // One with the axis of time.
  enum class Holds { kLines, kAreas, kCells };
  Sheet(const std::string& id, const Course& course, const std::vector<Lane>& lanes, double body,
        Holds holds);

  void Add(const std::string& line) { script_ += line + "\n"; }
  void YLabel(const std::string& label);
  void YFromZero(double most);
  std::string Y(double pixels) const {
    return Number(1 - pixels / height_);
  }  // from the top, as gnuplot has it
  double top() const { return top_; }
  double body() const { return body_; }

  // Data, as $name.
  void Data(const std::string& name, const std::string& lines);
  // A line that keeps each value for its step, and is broken where there is none.
  void Steps(const Course& course, const std::string& name, const Values& values);

  void Line(const std::string& name, const std::string& colour, const std::string& title, double wide = 1.5);
  void Area(const std::string& name, const std::string& colour, const std::string& title);
  void Plot(const std::string& what) { plots_.push_back(what); }
  bool empty() const { return plots_.empty(); }
  std::string Script() const;  // whole; what was plotted last lies on top

 private:
  double top_;
  double height_;
  double body_;
  std::string script_;
  std::vector<std::string> plots_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_REPORT_SHEET_H_
