// Utilities of the measurements: resource usage of processes, linear fits and
// reports.

#ifndef HARECRANK_BENCH_MEASURE_H_
#define HARECRANK_BENCH_MEASURE_H_

#include <sys/types.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace harecrank::bench {

// Resource usage of a process.
struct ProcessReading {
  // User and system time since the start of the process.
  double cpu_seconds = 0;
  double resident_mib = 0;
  int threads = 0;
};

// Reads the resource usage of a process from /proc.
ProcessReading ReadProcess(pid_t pid);

// Returns the value of a metric from the text that a node exports, or 0 if it
// is missing. `name` includes the labels.
double MetricValue(const std::string& metrics, const std::string& name);

// Returns the mean CPU time, in microseconds, of `times` calls of `step`, which
// receives the number of the call.
double MeanMicros(int times, const std::function<void(int)>& step);

// A measured point.
struct Point {
  double x = 0;
  double y = 0;
};

// A linear fit by least squares.
struct Line {
  double slope = 0;
  double intercept = 0;
  // Largest vertical distance of a point from the line, as a fraction of the
  // largest absolute value of y.
  double worst_residual = 0;
};
Line FitLine(const std::vector<Point>& points);

// A measurement of y at several values of x, and the units of both.
struct Slope {
  std::string name;
  std::string x_unit;
  std::string y_unit;
  std::vector<Point> points;
};

// Prints the points of `slope` and their linear fit, and returns both as JSON.
nlohmann::json ReportSlope(const Slope& slope);

// Writes an SVG file with one plot per slope, arranged vertically.
void DrawSlopes(const std::vector<Slope>& slopes, const std::string& path);

}  // namespace harecrank::bench

#endif  // HARECRANK_BENCH_MEASURE_H_
