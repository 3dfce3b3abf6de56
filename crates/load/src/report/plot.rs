//! Line charts in SVG.

use plotters::prelude::*;

/// A line and its name.
pub struct Line {
    /// What the legend says.
    pub name: String,
    /// Points in order of x.
    pub points: Vec<(f64, f64)>,
}

/// A chart.
pub struct Chart<'a> {
    /// What it shows.
    pub title: &'a str,
    /// Name of the x axis, with its unit.
    pub x: &'a str,
    /// Name of the y axis, with its unit.
    pub y: &'a str,
    /// A logarithmic y axis; then values below a thousandth are drawn there.
    pub log: bool,
    /// What is drawn.
    pub lines: Vec<Line>,
}

const SIZE: (u32, u32) = (900, 320);
const COLOURS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(23, 190, 207),
    RGBColor(127, 127, 127),
];
/// The lowest value of a logarithmic axis.
const LEAST: f64 = 1e-3;

impl Chart<'_> {
    /// The chart as SVG; empty where there is nothing to draw.
    pub fn svg(&self) -> String {
        let points = || self.lines.iter().flat_map(|l| l.points.iter());
        let (Some(from), Some(until)) = (
            points().map(|p| p.0).reduce(f64::min),
            points().map(|p| p.0).reduce(f64::max),
        ) else {
            return String::new();
        };
        let top = points().map(|p| p.1).fold(0.0, f64::max);
        let until = if until > from { until } else { from + 1.0 };
        let mut svg = String::new();
        // Drawing into memory fails on impossible ranges alone, and none is given.
        let drawn = if self.log {
            let least = points()
                .map(|p| p.1)
                .filter(|y| *y > 0.0)
                .fold(top, f64::min)
                .max(LEAST)
                / 1.5;
            self.draw(
                &mut svg,
                from..until,
                least,
                (least..top.max(least * 10.0) * 4.0).log_scale(),
            )
        } else {
            self.draw(&mut svg, from..until, 0.0, 0.0..top.max(1e-9) * 1.3)
        };
        if drawn.is_none() { String::new() } else { svg }
    }

    fn draw<Y>(&self, svg: &mut String, x: std::ops::Range<f64>, least: f64, y: Y) -> Option<()>
    where
        Y: plotters::coord::ranged1d::AsRangedCoord<Value = f64>,
        Y::CoordDescType: plotters::coord::ranged1d::ValueFormatter<f64>,
    {
        let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        root.fill(&WHITE).ok()?;
        let mut chart = ChartBuilder::on(&root)
            .caption(self.title, ("sans-serif", 17))
            .margin(8)
            .x_label_area_size(38)
            .y_label_area_size(64)
            .build_cartesian_2d(x, y)
            .ok()?;
        chart
            .configure_mesh()
            .x_desc(self.x)
            .y_desc(self.y)
            .light_line_style(RGBColor(240, 240, 240))
            .bold_line_style(RGBColor(222, 222, 222))
            .draw()
            .ok()?;
        for (k, line) in self.lines.iter().enumerate() {
            let colour = COLOURS[k % COLOURS.len()];
            let lifted = |(x, y): &(f64, f64)| (*x, if self.log { y.max(least) } else { *y });
            let series = LineSeries::new(line.points.iter().map(lifted), colour.stroke_width(2));
            let swatch =
                move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2));
            chart
                .draw_series(series)
                .ok()?
                .label(line.name.clone())
                .legend(swatch);
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.85))
            .border_style(RGBColor(200, 200, 200))
            .draw()
            .ok()?;
        root.present().ok()
    }
}
