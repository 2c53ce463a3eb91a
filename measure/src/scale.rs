//! Idle cost against the size of the fleet, with fitted slopes.

use std::time::Duration;

use futures_util::future::join_all;

use crate::control::{FleetCost, FleetSize, HostCost, idle_cost};
use crate::keys::to_float;
use crate::report::FigureTable;
use crate::slope::fit_slope;

/// What one axis of sizes varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeAxis {
    Daemons,
    Workspaces,
    Engines,
}

impl SizeAxis {
    fn name(self) -> &'static str {
        match self {
            Self::Daemons => "daemons",
            Self::Workspaces => "workspaces",
            Self::Engines => "engines",
        }
    }

    fn size(self, value: usize) -> FleetSize {
        let least = FleetSize {
            daemons: 3,
            workspaces: 5,
            engines: 2,
        };
        match self {
            Self::Daemons => FleetSize {
                daemons: value,
                ..least
            },
            Self::Workspaces => FleetSize {
                workspaces: value,
                ..least
            },
            Self::Engines => FleetSize {
                engines: value,
                ..least
            },
        }
    }
}

/// Figures of a host with their names, units and readers.
type HostFigure = (&'static str, &'static str, fn(&HostCost) -> f64);

const FIGURES: [HostFigure; 5] = [
    ("processor time", "% of a core", |cost| cost.processor),
    ("resident memory", "MB", |cost| cost.memory_mb),
    ("bytes sent to peers", "B/s", |cost| cost.peer_bytes),
    ("bytes to and from the platform", "B/s", |cost| {
        cost.platform_bytes
    }),
    ("bytes of load polling", "B/s", |cost| cost.poll_bytes),
];

/// Sizes of one axis.
#[derive(Clone, Debug)]
pub struct SizeSweep {
    axis: SizeAxis,
    values: Vec<usize>,
}

#[must_use]
pub fn sweep(axis: SizeAxis, values: &[usize]) -> SizeSweep {
    SizeSweep {
        axis,
        values: values.to_vec(),
    }
}

type SizePoint = (SizeAxis, f64, FleetCost);

/// Measures the sizes of each group at the same time and adds values and slopes.
pub async fn measure_sizes(table: &mut FigureTable, groups: &[Vec<SizeSweep>], window: Duration) {
    let mut points: Vec<SizePoint> = Vec::new();
    for group in groups {
        let sizes = group
            .iter()
            .flat_map(|sweep| sweep.values.iter().map(|value| (sweep.axis, *value)));
        let measure = async |(axis, value): (SizeAxis, usize)| {
            let cost = idle_cost(axis.size(value), window).await;
            (
                axis,
                to_float(u64::try_from(value).unwrap_or(u64::MAX)),
                cost,
            )
        };
        points.extend(join_all(sizes.map(measure)).await);
    }
    for axis in [SizeAxis::Daemons, SizeAxis::Workspaces, SizeAxis::Engines] {
        let of_axis: Vec<&SizePoint> = points.iter().filter(|point| point.0 == axis).collect();
        add_axis(table, axis, &of_axis);
    }
}

fn add_axis(table: &mut FigureTable, axis: SizeAxis, costs: &[&SizePoint]) {
    for (role, pick) in [
        (
            "mean host",
            (|cost| &cost.mean) as fn(&FleetCost) -> &HostCost,
        ),
        ("pool owner", |cost| &cost.owner),
    ] {
        for (figure, unit, read) in FIGURES {
            let points: Vec<(f64, f64)> = costs
                .iter()
                .map(|(_, value, cost)| (*value, read(pick(cost))))
                .collect();
            add_points(table, axis, role, figure, unit, &points);
        }
    }
}

fn add_points(
    table: &mut FigureTable,
    axis: SizeAxis,
    role: &str,
    figure: &str,
    unit: &str,
    points: &[(f64, f64)],
) {
    for (value, figure_value) in points {
        let case = format!("{value} {}", axis.name());
        table.add(["idle cost", &case, role], figure, *figure_value, unit);
    }
    if let Some(fit) = fit_slope(points) {
        let case = format!("slope over {}", axis.name());
        let unit = format!("{unit} per {}", axis.name().trim_end_matches('s'));
        table.add_with_error(
            ["idle cost", &case, role],
            figure,
            fit.slope,
            fit.slope_error,
            &unit,
        );
    }
}
