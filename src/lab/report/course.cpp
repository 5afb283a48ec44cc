#include "lab/report/course.h"

#include <charconv>

namespace burlfall::lab {

std::string Number(double value) {
  if (!std::isfinite(value)) return "0";  // callers leave such out; gnuplot must never see one
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, value, std::chars_format::general, 6).ptr;
  return std::string(text, end);
}

std::string Grouped(uint64_t value) {
  const std::string digits = std::to_string(value);
  std::string text;
  for (std::size_t i = 0; i < digits.size(); ++i) {
    if (i > 0 && (digits.size() - i) % 3 == 0) text += ',';
    text += digits[i];
  }
  return text;
}

Course::Course(const Verdict& verdict) {
  const Series& series = verdict.series;
  seconds = std::max(series.asked.size(), series.sends.size());
  step = std::max<std::size_t>(1, (seconds + kMostSteps - 1) / kMostSteps);
  steps = (seconds + step - 1) / step;
  until = std::max({Within(verdict.length_s, 0, 1e9), static_cast<double>(steps * step), 1.0});
}

Values PerSecond(const Course& course, const std::vector<uint64_t>& series) {
  Values values(course.steps);
  for (std::size_t i = 0; i < course.steps; ++i) {
    double sum = 0;
    double count = 0;
    course.Each(i, [&](std::size_t s) {
      sum += At(series, s);
      ++count;
    });
    values[i] = count > 0 ? sum / count : 0;
  }
  return values;
}

Values Weighted(const Course& course, const std::vector<double>& series, const std::vector<double>& weights) {
  Values values(course.steps);
  for (std::size_t i = 0; i < course.steps; ++i) {
    double sum = 0;
    double weight = 0;
    course.Each(i, [&](std::size_t s) {
      if (At(weights, s) <= 0 || !std::isfinite(At(series, s))) return;
      sum += At(series, s) * weights[s];
      weight += weights[s];
    });
    if (weight > 0) values[i] = sum / weight;
  }
  return values;
}

Values Most(const Course& course, const std::vector<double>& series, const std::vector<double>& weights) {
  Values values(course.steps);
  for (std::size_t i = 0; i < course.steps; ++i) {
    course.Each(i, [&](std::size_t s) {
      if (At(weights, s) <= 0 || !std::isfinite(At(series, s))) return;
      values[i] = std::max(values[i].value_or(0), At(series, s));
    });
  }
  return values;
}

double MostOf(const Values& values) {
  double most = 0;
  for (const auto& value : values) most = std::max(most, value.value_or(0));
  return most;
}

}  // namespace burlfall::lab
