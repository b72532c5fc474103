// What all measurements share: readings of processes, fitted lines, reports.

#ifndef HARECRANK_BENCH_MEASURE_H_
#define HARECRANK_BENCH_MEASURE_H_

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace harecrank::bench {

// What a process has used so far.
struct ProcessReading {
  double cpu_seconds = 0;
  double resident_mib = 0;
  int threads = 0;
};

// Reads a process's use from the system.
ProcessReading ReadProcess(pid_t pid);

// Returns the value of the metric called `name`, labels included, or 0.
double MetricValue(const std::string& metrics, const std::string& name);

// One measured point.
struct Point {
  double x = 0;
  double y = 0;
};

// A straight line through points, and how far they lie from it.
struct Line {
  double slope = 0;
  double intercept = 0;
  // The largest distance of a point from the line, as a share of the largest
  // value measured.
  double worst_residual = 0;
};
Line FitLine(const std::vector<Point>& points);

// One slope: what was varied, what was measured, and the points.
struct Slope {
  std::string name;
  std::string x_unit;
  std::string y_unit;
  std::vector<Point> points;
};

// Prints `slope` with its line, and returns both as JSON.
nlohmann::json ReportSlope(const Slope& slope);

// Draws the slopes one below the other into an SVG file.
void DrawSlopes(const std::vector<Slope>& slopes, const std::string& path);

}  // namespace harecrank::bench

#endif  // HARECRANK_BENCH_MEASURE_H_
