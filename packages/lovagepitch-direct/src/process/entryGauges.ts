/**
 * Gauges of an entry.
 */
import type { EntryCore } from "../entry/entryCore.js";
import { type DirectMetrics, evacuatedZonesHelp } from "./directMetrics.js";
import { addLinkGauges } from "./linkGauges.js";

const millisecondsPerSecond = 1000;

/** Where the gauges are read. */
export interface EntryGaugeSources {
    readonly core: EntryCore;
    /** Returns the largest delay of a timer since the previous call, in milliseconds. */
    readonly takeLargestDelayMilliseconds: () => number;
    /** Returns the bytes to agents that the operating system has not taken. */
    readonly countUnsentBytes: () => number;
}

/**
 * Adds the gauges of an entry.
 *
 * @param metrics - metrics of the entry
 * @param sources - where the gauges are read
 */
export function addEntryGauges(metrics: DirectMetrics, sources: EntryGaugeSources): void {
    const { core } = sources;
    metrics.addGauge("open_jobs", "Jobs without an answer", () => core.openJobs);
    metrics.addGauge("event_loop_delay_seconds", "Largest delay of a timer since the metrics were read", () => {
        return sources.takeLargestDelayMilliseconds() / millisecondsPerSecond;
    });
    metrics.addGauge("processor_load", "Share of the recent time for which the process had work", () => {
        return core.processorLoad;
    });
    metrics.addGauge("forwarding_share", "Part of the new jobs that is passed on to other entries", () => {
        return core.forwardingFigures.share;
    });
    metrics.addGauge("forwarded_jobs", "Jobs that were passed on to other entries and have no answer", () => {
        return core.forwardingFigures.openJobs;
    });
    metrics.addGauge("configuration_version", "Version in force, 0 without one", () => {
        return core.configuration?.version ?? 0;
    });
    addLinkGauges(metrics, () => core.link, sources.countUnsentBytes);
    metrics.addGauge("evacuated_zones", evacuatedZonesHelp, () => core.evacuations.zones.length);
    metrics.addGauge("confined_kinds", "Routes whose jobs run on few workers because they crash workers", () => {
        return core.crashFigures.confinedKinds;
    });
    metrics.addGauge("crashing_jobs", "Jobs that are known to crash the workers that run them", () => {
        return core.crashFigures.crashingJobs;
    });
    metrics.addQueueGauges(() => core.listQueueUse());
}
