#include "report.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bulrush::bench {
namespace {

constexpr double Width = 900;
constexpr double PanelHeight = 180;
constexpr double Margin = 60;
constexpr std::array<const char *, 6> Colours{"#1b6ca8", "#c1440e", "#2e7d32",
                                              "#6a1b9a", "#8d6e00", "#455a64"};

/// One line of a chart panel.
struct curve {
  std::string Name;
  std::vector<double> Values; ///< one value for each second
};

std::string formatNumber(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.4g", Value);
  return Text.data();
}

std::string textElement(double X, double Y, const std::string &Content,
                        const char *Colour) {
  return "<text x=\"" + formatNumber(X) + "\" y=\"" + formatNumber(Y) +
         "\" fill=\"" + Colour +
         "\" font-size=\"11\" font-family=\"sans-serif\">" + Content +
         "</text>\n";
}

double maxValue(const std::vector<curve> &Curves) {
  double Max = 1e-9;
  for (const curve &Curve : Curves)
    for (const double Value : Curve.Values)
      Max = std::max(Max, Value);
  return Max;
}

std::string polyline(const curve &Curve, double Top, double Max,
                     const char *Colour) {
  std::string Points;
  const double Step =
      (Width - 2 * Margin) /
      static_cast<double>(std::max<std::size_t>(1, Curve.Values.size() - 1));
  for (std::size_t I = 0; I < Curve.Values.size(); ++I) {
    Points += formatNumber(Margin + Step * static_cast<double>(I));
    Points += ',';
    Points += formatNumber(Top + PanelHeight * (1 - Curve.Values[I] / Max));
    Points += ' ';
  }
  return "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" +
         std::string(Colour) + "\" points=\"" + Points + "\"/>\n";
}

std::string panel(const std::string &Title, const std::vector<curve> &Curves,
                  double Top) {
  const double Max = maxValue(Curves);
  std::string Out = textElement(Margin, Top - 8, Title, "#222");
  Out += textElement(8, Top + 10, formatNumber(Max), "#222");
  Out += textElement(8, Top + PanelHeight, "0", "#222");
  Out += "<rect x=\"" + formatNumber(Margin) + "\" y=\"" + formatNumber(Top) +
         "\" width=\"" + formatNumber(Width - 2 * Margin) + "\" height=\"" +
         formatNumber(PanelHeight) + "\" fill=\"none\" stroke=\"#999\"/>\n";
  for (std::size_t I = 0; I < Curves.size(); ++I) {
    const char *Colour = Colours[I % Colours.size()];
    Out += polyline(Curves[I], Top, Max, Colour);
    Out += textElement(Margin + 160 + 130 * static_cast<double>(I), Top - 8,
                       Curves[I].Name, Colour);
  }
  return Out;
}

/// Returns one curve per class, with `Read` applied to each of its seconds.
template <class Reader>
std::vector<curve> curvesPerClass(const load_settings &Settings,
                                  load_results &Results, Reader Read) {
  std::vector<curve> Curves;
  for (std::size_t I = 0; I < Settings.Classes.size(); ++I) {
    curve Curve{Settings.Classes[I].Name, {}};
    for (class_second &Second : Results.Classes[I].Seconds)
      Curve.Values.push_back(Read(Second));
    Curves.push_back(std::move(Curve));
  }
  return Curves;
}

} // namespace

std::string plotSvg(const load_settings &Settings, load_results &Results) {
  const auto Answers = curvesPerClass(
      Settings, Results, [](class_second &S) { return double(S.Answered); });
  const auto Refusals = curvesPerClass(Settings, Results, [](class_second &S) {
    return double(S.NotRun + S.Unknown);
  });
  const auto Latencies = curvesPerClass(Settings, Results, [](class_second &S) {
    return quantile(S.Latencies, 0.99);
  });
  const double Panel = PanelHeight + 40;
  std::string Out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    formatNumber(Width) + "\" height=\"" +
                    formatNumber(3 * Panel + 20) +
                    "\">\n<rect width=\"100%\" height=\"100%\" "
                    "fill=\"white\"/>\n";
  Out += panel("answers per second", Answers, 30);
  Out += panel("not answered per second", Refusals, 30 + Panel);
  Out += panel("p99, ms", Latencies, 30 + 2 * Panel);
  return Out + "</svg>\n";
}

} // namespace bulrush::bench
