/**
 * Charts of measured results, drawn as SVG by Vega-Lite.
 */

import * as vega from "vega";
import * as vegaLite from "vega-lite";
import type * as analysis from "../experiment/analysis.ts";

const WIDTH = 560;
const HEIGHT = 180;

/** Draws the served, refused and failed requests of each second. */
export function drawTimeline(result: analysis.ExperimentResult): Promise<string> {
  const values = result.timeline.flatMap((point) => [
    { second: point.second, kind: "served", requests: point.served },
    { second: point.second, kind: "refused", requests: point.refused },
    { second: point.second, kind: "failed", requests: point.failed },
  ]);
  return draw({
    data: { values },
    mark: "area",
    encoding: {
      x: { field: "second", type: "quantitative", title: "seconds" },
      y: { field: "requests", type: "quantitative", title: "requests a second" },
      color: {
        field: "kind",
        type: "nominal",
        scale: {
          domain: ["served", "refused", "failed"],
          range: ["#4c8b5a", "#d9a441", "#b5403c"],
        },
      },
    },
  });
}

/** Draws the 99th percentile of the latency in each second, with one line per result. */
export function drawLatency(results: readonly analysis.ExperimentResult[]): Promise<string> {
  const values = results.flatMap((result) =>
    result.timeline.map((point) => ({
      second: point.second,
      milliseconds: point.latencyP99Milliseconds,
      variant: result.variant,
    }))
  );
  return draw({
    data: { values },
    mark: "line",
    encoding: {
      x: { field: "second", type: "quantitative", title: "seconds" },
      y: { field: "milliseconds", type: "quantitative", title: "latency p99, ms" },
      color: { field: "variant", type: "nominal" },
    },
  });
}

/** Draws the served share of each workspace, relative to the oracle's token bucket. */
export function drawWorkspaces(results: readonly analysis.ExperimentResult[]): Promise<string> {
  const values = results.flatMap((result) =>
    result.workspaces.map((workspace) => ({
      workspace: workspace.workspace,
      share: workspace.servedShare,
      variant: result.variant,
    }))
  );
  return draw({
    data: { values },
    mark: "bar",
    encoding: {
      x: { field: "workspace", type: "nominal", title: "" },
      xOffset: { field: "variant", type: "nominal" },
      y: { field: "share", type: "quantitative", title: "served / admitted by the oracle" },
      color: { field: "variant", type: "nominal" },
    },
  });
}

function draw(specification: Partial<vegaLite.TopLevelSpec>): Promise<string> {
  const complete = { width: WIDTH, height: HEIGHT, ...specification } as vegaLite.TopLevelSpec;
  const compiled = vegaLite.compile(complete).spec;
  return new vega.View(vega.parse(compiled), { renderer: "none" }).toSVG();
}
