//! `measure`: runs all measurements and writes the table, the JSON and the plots.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Parser, ValueEnum};
use measure::goodput::{self, PolicyRun};
use measure::latency::{measure_latency, measure_throughput};
use measure::plot::{PlotLine, PlotNames, draw_lines};
use measure::recovery::recover;
use measure::report::FigureTable;
use measure::rollouts::{self, BAD, GOOD, VersionKind};
use measure::scale::{SizeAxis, SizeSweep, measure_sizes, sweep};
use measure::shapes::{FirmShape, LANKAROOF, MGLARNIA};
use measure::zone_move::measure_zone_move;

#[derive(Parser)]
#[command(about = "Measures policies, rollouts, zone moves and control cost on this machine")]
struct MeasureArgs {
    /// A reduced set of all parts that ends within three minutes.
    #[arg(long)]
    quick: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory for the JSON and the plots.
    #[arg(long, default_value = "target/measurements")]
    out: PathBuf,
    /// Only this part; repeatable.
    #[arg(long)]
    part: Vec<MeasurePart>,
    /// Only the goodput cases whose names contain this text.
    #[arg(long, default_value = "")]
    case: String,
    /// Only this firm.
    #[arg(long, default_value = "")]
    shape: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum MeasurePart {
    Goodput,
    ZoneMove,
    Rollouts,
    Cost,
    Scale,
    Recovery,
}

/// One run of the program.
struct MeasureRun {
    args: MeasureArgs,
    table: FigureTable,
    began: Instant,
}

#[compio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = MeasureArgs::parse();
    std::fs::create_dir_all(&args.out)?;
    let mut run = MeasureRun {
        args,
        table: FigureTable::default(),
        began: Instant::now(),
    };
    run.firms().await?;
    run.save()?;
    run.rollouts().await;
    run.save()?;
    run.cost().await;
    run.save()?;
    run.scale().await;
    run.save()?;
    run.recovery().await;
    let seconds = run.began.elapsed().as_secs_f64();
    run.table.add(["run", "all", "-"], "time", seconds, "s");
    println!("{}", run.table.text());
    run.save()?;
    Ok(())
}

impl MeasureRun {
    /// Writes the figures so far, so that a later part that fails loses nothing.
    fn save(&self) -> std::io::Result<()> {
        let json = serde_json::to_string_pretty(&self.table.rows)?;
        std::fs::write(self.args.out.join("measurements.json"), json)
    }

    fn includes(&self, part: MeasurePart) -> bool {
        self.args.part.is_empty() || self.args.part.contains(&part)
    }

    fn say(&self, what: &str) {
        eprintln!(
            "measure: {:.0} s: {what}",
            self.began.elapsed().as_secs_f64()
        );
    }

    fn shapes(&self) -> Vec<FirmShape> {
        let mut shapes = vec![MGLARNIA, LANKAROOF];
        shapes.retain(|shape| shape.name.contains(&self.args.shape));
        if self.args.quick {
            shapes.truncate(1);
        }
        shapes
    }

    async fn firms(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let goodput = self.includes(MeasurePart::Goodput);
        let zone_move = self.includes(MeasurePart::ZoneMove);
        if !goodput && !zone_move {
            return Ok(());
        }
        for shape in self.shapes() {
            self.say(&format!("{}: capacity", shape.name));
            let seconds = if self.args.quick { 7.0 } else { 12.0 };
            let capacity = goodput::measure_capacity(&shape, self.args.seed, seconds).await;
            let place = ["goodput", shape.name, "least-outstanding"];
            self.table.add(place, "capacity", capacity, "requests/s");
            if goodput {
                self.goodput(&shape, capacity).await?;
            }
            if zone_move {
                self.zone_move(&shape, capacity).await?;
            }
        }
        Ok(())
    }

    async fn goodput(&mut self, shape: &FirmShape, capacity: f64) -> Result<(), String> {
        let (quick, seed) = (self.args.quick, self.args.seed);
        let seconds = if quick { 20.0 } else { 30.0 };
        let mut runs: Vec<PolicyRun> = Vec::new();
        for case in goodput::CASES {
            if !case.name.contains(&self.args.case) || (quick && !case.quick) {
                continue;
            }
            self.say(&format!("{}: {}", shape.name, case.name));
            runs.extend(goodput::run_case(shape, case, capacity, seed, seconds).await);
        }
        for run in &runs {
            goodput::add_rows(&mut self.table, shape, run);
        }
        for policy in goodput::POLICIES {
            let file = format!("goodput-{}-{policy}.svg", shape.name);
            let title = format!("{}: {policy}", shape.name);
            let names = PlotNames {
                title: &title,
                x: "load relative to the capacity",
                y: "answers in time, % of sent",
            };
            let lines = goodput::load_lines(&runs, policy);
            if lines.iter().any(|line| !line.points.is_empty()) {
                draw_lines(&self.args.out.join(file), names, &lines)?;
            }
        }
        Ok(())
    }

    async fn zone_move(&mut self, shape: &FirmShape, capacity: f64) -> Result<(), String> {
        self.say(&format!("{}: zone move", shape.name));
        let seconds = if self.args.quick { 14.0 } else { 40.0 };
        let seed = self.args.seed;
        let series = measure_zone_move(&mut self.table, shape, capacity, seed, seconds).await;
        let lines: Vec<PlotLine> = series
            .into_iter()
            .map(|(tier, points)| PlotLine {
                name: format!("tier {tier}"),
                points,
            })
            .collect();
        let title = format!("{}: a zone leaves and returns", shape.name);
        let names = PlotNames {
            title: &title,
            x: "time of sending, s",
            y: "answers in time, % of sent",
        };
        let file = format!("zone-move-{}.svg", shape.name);
        draw_lines(&self.args.out.join(file), names, &lines)
    }

    async fn rollouts(&mut self) {
        if !self.includes(MeasurePart::Rollouts) {
            return;
        }
        let (rounds, deadline) = if self.args.quick { (1, 20) } else { (3, 40) };
        let deadline = Duration::from_secs(deadline);
        let mut runs = Vec::new();
        for round in 0..rounds {
            self.say("rollouts");
            // Seven fleets of eight processes at the same time.
            let kinds: Vec<VersionKind> = BAD.into_iter().chain([GOOD, GOOD]).collect();
            let seed = self.args.seed + round * 100;
            runs.extend(rollouts::run_rollouts(&kinds, seed, deadline).await);
        }
        rollouts::add_rows(&mut self.table, &runs);
    }

    async fn cost(&mut self) {
        if !self.includes(MeasurePart::Cost) {
            return;
        }
        self.say("latency and throughput");
        let (rounds, seconds) = if self.args.quick {
            (1000, 2.0)
        } else {
            (5000, 8.0)
        };
        measure_latency(&mut self.table, rounds).await;
        measure_throughput(&mut self.table, seconds).await;
    }

    async fn scale(&mut self) {
        if !self.includes(MeasurePart::Scale) {
            return;
        }
        let quick = self.args.quick;
        let window = Duration::from_secs(if quick { 4 } else { 12 });
        let groups: Vec<Vec<SizeSweep>> = if quick {
            vec![
                vec![
                    sweep(SizeAxis::Daemons, &[3, 6, 12]),
                    sweep(SizeAxis::Workspaces, &[5, 1000, 10_000]),
                ],
                vec![sweep(SizeAxis::Engines, &[2, 10, 20])],
            ]
        } else {
            let daemons = [3, 6, 12, 24, 48].map(|count| sweep(SizeAxis::Daemons, &[count]));
            let mut groups: Vec<Vec<SizeSweep>> =
                daemons.into_iter().map(|one| vec![one]).collect();
            groups.push(vec![sweep(
                SizeAxis::Workspaces,
                &[5, 1000, 10_000, 40_000],
            )]);
            groups.extend([2, 10, 40].map(|count| vec![sweep(SizeAxis::Engines, &[count])]));
            groups
        };
        self.say("idle cost");
        measure_sizes(&mut self.table, &groups, window).await;
    }

    async fn recovery(&mut self) {
        if !self.includes(MeasurePart::Recovery) {
            return;
        }
        let rounds = if self.args.quick { 1 } else { 3 };
        self.say("recovery");
        let cases = [
            ("log up, 5 workspaces", 5, false),
            ("log down, 5 workspaces", 5, true),
            ("log up, 40000 workspaces", 40_000, false),
        ];
        let runs =
            cases.map(|(case, workspaces, log_down)| recover(case, workspaces, log_down, rounds));
        for recovered in futures_util::future::join_all(runs).await {
            self.table.rows.extend(recovered.rows);
        }
    }
}
