/**
 * Plots the ratio of response time to ideal response time over the offered load as an SVG image.
 */
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { LoadMeasurement } from "../policy/measureLoad.js";

const panelWidth = 360;
const panelHeight = 240;
const largestShownRatio = 2;

/**
 * Plots the median of the seeds for each deployment, policy and load below 1.
 *
 * @param measurements - measurements at all loads
 * @returns the SVG document as text
 */
export async function createPlot(measurements: readonly LoadMeasurement[]): Promise<string> {
    const values = measurements.flatMap(({ deployment, load, policies }) =>
        policies.map(({ policy, meanOverCentral }) => ({ deployment, load, policy, ratio: meanOverCentral }))
    );
    const specification: TopLevelSpec = {
        $schema: "https://vega.github.io/schema/vega-lite/v5.json",
        data: { values: values.filter(({ load }) => load < 1) },
        width: panelWidth,
        height: panelHeight,
        mark: { type: "line", point: true, clip: true },
        encoding: {
            column: { field: "deployment", type: "nominal", title: "" },
            x: { field: "load", type: "quantitative", title: "offered load", scale: { zero: false } },
            y: {
                field: "ratio",
                type: "quantitative",
                aggregate: "median",
                title: "mean response over ideal, relative to the central queue",
                scale: { zero: false, domainMax: largestShownRatio },
            },
            color: { field: "policy", type: "nominal", title: "" },
        },
    };
    const view = new View(parse(compile(specification).spec), { renderer: "none" });
    return view.toSVG();
}
