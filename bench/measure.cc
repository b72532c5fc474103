#include "bench/measure.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace harecrank::bench {
namespace {

constexpr int kFieldsBeforeUserTime = 11;
constexpr double kMib = 1024.0 * 1024.0;
constexpr double kMicros = 1e6;
constexpr int kPlotWidth = 640;
constexpr int kPlotHeight = 260;
constexpr int kMargin = 60;

}  // namespace

double MeanMicros(int times, const std::function<void(int)>& step) {
  const std::clock_t before = std::clock();
  for (int i = 0; i < times; ++i) {
    step(i);
  }
  return static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC * kMicros /
         times;
}

ProcessReading ReadProcess(pid_t pid) {
  ProcessReading reading;
  const std::string directory = "/proc/" + std::to_string(pid);
  std::ifstream stat(directory + "/stat");
  std::string text;
  std::getline(stat, text);
  // The second field, the program's name, may contain spaces. It ends at the
  // last parenthesis.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string field;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> field;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  reading.cpu_seconds =
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  for (int i = 0; i < 4; ++i) {
    fields >> field;
  }
  fields >> reading.threads;
  std::ifstream statm(directory + "/statm");
  double pages = 0;
  double resident = 0;
  statm >> pages >> resident;
  reading.resident_mib =
      resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kMib;
  return reading;
}

double MetricValue(const std::string& metrics, const std::string& name) {
  std::istringstream lines(metrics);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.compare(0, name.size() + 1, name + " ") == 0) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

Line FitLine(const std::vector<Point>& points) {
  const auto n = static_cast<double>(points.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double largest = 0;
  for (const Point& point : points) {
    sum_x += point.x;
    sum_y += point.y;
    sum_xx += point.x * point.x;
    sum_xy += point.x * point.y;
    largest = std::max(largest, std::abs(point.y));
  }
  Line line;
  const double denominator = n * sum_xx - sum_x * sum_x;
  line.slope =
      denominator == 0 ? 0 : (n * sum_xy - sum_x * sum_y) / denominator;
  line.intercept = (sum_y - line.slope * sum_x) / n;
  for (const Point& point : points) {
    const double distance =
        std::abs(point.y - line.intercept - line.slope * point.x);
    line.worst_residual =
        std::max(line.worst_residual, largest == 0 ? 0 : distance / largest);
  }
  return line;
}

nlohmann::json ReportSlope(const Slope& slope) {
  const Line line = FitLine(slope.points);
  std::cout << slope.name << "\n";
  nlohmann::json points = nlohmann::json::array();
  for (const Point& point : slope.points) {
    std::cout << "  " << std::setw(10) << point.x << " " << slope.x_unit
              << std::setw(14) << point.y << " " << slope.y_unit << "\n";
    points.push_back({{"x", point.x}, {"y", point.y}});
  }
  std::cout << "  slope " << line.slope << " " << slope.y_unit << " per "
            << slope.x_unit << ", at zero " << line.intercept
            << ", worst residue " << line.worst_residual * 100 << "%\n";
  return {{"name", slope.name},
          {"x_unit", slope.x_unit},
          {"y_unit", slope.y_unit},
          {"points", points},
          {"slope", line.slope},
          {"intercept", line.intercept},
          {"worst_residue", line.worst_residual}};
}

void DrawSlopes(const std::vector<Slope>& slopes, const std::string& path) {
  std::ofstream out(path);
  const int height = kPlotHeight * static_cast<int>(slopes.size());
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kPlotWidth
      << "\" height=\"" << height << "\" font-family=\"sans-serif\" "
      << "font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" "
      << "fill=\"white\"/>\n";
  int top = 0;
  for (const Slope& slope : slopes) {
    const Line line = FitLine(slope.points);
    double max_x = 0;
    double max_y = 0;
    for (const Point& point : slope.points) {
      max_x = std::max(max_x, point.x);
      max_y = std::max(max_y, point.y);
    }
    max_x = max_x == 0 ? 1 : max_x;
    max_y = max_y == 0 ? 1 : max_y * 1.1;
    const auto to_plot_x = [&](double x) {
      return kMargin + x / max_x * (kPlotWidth - 2 * kMargin);
    };
    const auto to_plot_y = [&](double y) {
      return top + kPlotHeight - kMargin / 2.0 -
             y / max_y * (kPlotHeight - kMargin);
    };
    out << "<text x=\"" << kMargin << "\" y=\"" << top + 18 << "\">"
        << slope.name << " [" << slope.y_unit << "], largest " << max_y / 1.1
        << " at " << max_x << " " << slope.x_unit << "</text>\n";
    out << "<line x1=\"" << to_plot_x(0) << "\" y1=\"" << to_plot_y(0)
        << "\" x2=\"" << to_plot_x(max_x) << "\" y2=\"" << to_plot_y(0)
        << "\" stroke=\"black\"/>\n";
    out << "<line x1=\"" << to_plot_x(0) << "\" y1=\""
        << to_plot_y(line.intercept) << "\" x2=\"" << to_plot_x(max_x)
        << "\" y2=\"" << to_plot_y(line.intercept + line.slope * max_x)
        << "\" stroke=\"steelblue\"/>\n";
    for (const Point& point : slope.points) {
      out << "<circle cx=\"" << to_plot_x(point.x) << "\" cy=\""
          << to_plot_y(point.y) << "\" r=\"4\" fill=\"firebrick\"/>\n";
    }
    top += kPlotHeight;
  }
  out << "</svg>\n";
}

}  // namespace harecrank::bench
