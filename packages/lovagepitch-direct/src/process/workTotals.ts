/**
 * Metrics of what a process spends: ticks, frames, bytes, datagrams and processor time. Processor time divided by these shows
 * whether a process does too much or pays too much for each.
 */
import type { FrameTotals } from "../links/frameTotals.js";
import type { DirectMetrics } from "./directMetrics.js";

const microsecondsPerSecond = 1e6;

/** Where the totals of a process are counted. */
export interface WorkSources {
    readonly frames: FrameTotals;
    /** Returns the number of ticks. */
    readonly countTicks: () => number;
}

/**
 * Adds the metrics that entries and agents have in common.
 *
 * @param metrics - metrics of the process
 * @param sources - where the totals are counted
 */
export function addWorkTotals(metrics: DirectMetrics, { frames, countTicks }: WorkSources): void {
    metrics.addTotals("ticks_total", "Decisions on what has arrived or is due", "core", { direct: countTicks });
    metrics.addTotals("frames_total", "Frames between entries and agents", "direction", {
        sent: () => frames.sentFrames,
        received: () => frames.receivedFrames,
    });
    metrics.addTotals("frame_bytes_total", "Bytes of frames with their headers", "direction", {
        sent: () => frames.sentBytes,
        received: () => frames.receivedBytes,
    });
    metrics.addTotals("processor_seconds_total", "Processor time of the process", "mode", {
        user: () => process.cpuUsage().user / microsecondsPerSecond,
        system: () => process.cpuUsage().system / microsecondsPerSecond,
    });
}
