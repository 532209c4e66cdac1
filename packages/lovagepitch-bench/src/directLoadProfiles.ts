/**
 * Loads of the bench of direct jobs.
 */
import { competingJobKinds, unevenJobKinds } from "@lovagepitch/testing/direct/jobKinds";
import type { MixedLoadOptions } from "@lovagepitch/testing/direct/mixedLoad";

/** Shape of a load and of the deployment that it runs on. */
export interface LoadProfile extends Omit<MixedLoadOptions, "seed" | "durationSeconds" | "createPolicies"> {
    readonly name: string;
}

/** A third of the deployment with uneven workers and demand. */
const uneven = {
    entries: 4,
    workers: 18,
    zones: 4,
    jobKinds: unevenJobKinds,
    meanMilliCores: 1300,
    workerKinds: [
        { label: "kind=a", size: 1, speed: 0.7 },
        { label: "kind=a", size: 1, speed: 0.7 },
        { label: "kind=b", size: 1.5, speed: 1.7 },
    ],
    longTasks: { share: 0.03, factor: 7 },
    zoneWaves: { swing: 0.55, periodMilliseconds: 17_000 },
    rateFactor: 1 / 3,
};

/** A third of the deployment whose callers compete for room. */
const competing = {
    entries: 4,
    workers: 24,
    zones: 4,
    jobKinds: competingJobKinds,
    meanMilliCores: 1700,
    workerKinds: [
        { label: "kind=a", size: 1, speed: 1 },
        { label: "kind=a", size: 1, speed: 1 },
        { label: "kind=b", size: 1.5, speed: 1.3 },
    ],
    zoneWaves: { swing: 0.15, periodMilliseconds: 17_000 },
    rateFactor: 1 / 3,
};

/**
 * Loads up to the bursts of the users' days, the loss of a sixth or a seventh of the workers, and a single entry for
 * comparison.
 */
export const directLoadProfiles: readonly LoadProfile[] = [
    { name: "calm", entries: 4, workers: 11, rateFactor: 0.6 },
    { name: "usual", entries: 4, workers: 11, rateFactor: 1 },
    { name: "burst of 1.3", entries: 4, workers: 11, rateFactor: 1.3 },
    { name: "burst of 1.6", entries: 4, workers: 11, rateFactor: 1.6 },
    { name: "two workers lost", entries: 4, workers: 9, rateFactor: 1 },
    { name: "burst of 1.3, two workers lost", entries: 4, workers: 9, rateFactor: 1.3 },
    { name: "burst of 1.6, one entry", entries: 1, workers: 11, rateFactor: 1.6 },
    { name: "uneven", ...uneven },
    { name: "uneven, burst of 2", ...uneven, rateFactor: 2 / 3 },
    { name: "uneven, burst of 2.5", ...uneven, rateFactor: 2.5 / 3 },
    { name: "uneven, burst of 2, workers lost", ...uneven, workers: 15, rateFactor: 2 / 3 },
    { name: "uneven, burst of 2, no long tasks", ...uneven, longTasks: { share: 0, factor: 1 }, rateFactor: 2 / 3 },
    { name: "competing", ...competing },
    { name: "competing, burst of 2", ...competing, rateFactor: 2 / 3 },
    { name: "competing, urgent x 2.4, workers lost", ...competing, workers: 21, burstKind: "urgent", burstFactor: 2.4 },
    { name: "competing, usual x 2.4, workers lost", ...competing, workers: 21, burstKind: "usual", burstFactor: 2.4 },
    { name: "competing, long x 2.4, workers lost", ...competing, workers: 21, burstKind: "long", burstFactor: 2.4 },
];
