/**
 * Measures the recovery times that the documentation guarantees after a fault.
 */
import { healthyLink } from "../../harness/network.js";
import { createMatrixJob, createMatrixManifest } from "./matrixJobs.js";
import { MatrixRun } from "./matrixRun.js";
import { runUntilStarted } from "./requestSteps.js";

const observationMilliseconds = 20_000;
const jobGapMilliseconds = 100;
const trafficJobCount = 80;

/** Measures one recovery time with a seed and returns it, in milliseconds. */
export type TargetMeasurement = (seed: number) => number;

function measureEntryKill(
    seed: number,
): { readonly firstAnswerMilliseconds: number; readonly finalAnswerMilliseconds: number } {
    const run = new MatrixRun(seed);
    runUntilStarted(run);
    run.deployment.advance(50);
    const { clock } = run.deployment;
    run.deployment.entries[0]?.crash();
    const resubmittedAt = clock.nowMilliseconds();
    const request = run.deployment.submit(1, run.job, run.caller?.submission);
    run.advanceUntil(() => request.end !== undefined);
    const firstAnswerMilliseconds = clock.nowMilliseconds() - resubmittedAt;
    run.advanceUntil(() => run.isComplete());
    const ends = run.deployment.starts.starts.map(start =>
        run.deployment.starts.getEnd(start)?.endedAtMilliseconds ?? 0
    );
    return { firstAnswerMilliseconds, finalAnswerMilliseconds: clock.nowMilliseconds() - Math.max(...ends) };
}

function measureAgentKill(seed: number): number {
    const run = new MatrixRun(seed);
    run.job = createMatrixJob({ tasks: 6, milliseconds: 3000 });
    runUntilStarted(run);
    const agent = run.deployment.agents[seed % 3];
    agent?.crash();
    const killedAt = run.deployment.clock.nowMilliseconds();
    run.advanceUntil(() => run.caller?.result !== undefined);
    return run.deployment.clock.nowMilliseconds() - killedAt;
}

function submitTraffic(run: MatrixRun): void {
    for (let position = 0; position < trafficJobCount; position += 1) {
        const at = run.deployment.clock.nowMilliseconds() + position * jobGapMilliseconds;
        run.deployment.queue.schedule(at, () => {
            run.submitOtherJob(createMatrixJob({ tasks: 2, milliseconds: 60 }), position % 2);
        }, undefined);
    }
}

function measureSilentConnections(seed: number): number {
    const run = new MatrixRun(seed);
    submitTraffic(run);
    run.deployment.advance(500);
    const silentFrom = run.deployment.clock.nowMilliseconds();
    const [entry] = run.deployment.entries;
    for (const agent of run.deployment.agents) {
        for (const [from, to] of [[entry?.address, agent.address], [agent.address, entry?.address]]) {
            run.deployment.network.setFault(from ?? "", to ?? "", { ...disconnectedLink });
            run.deployment.queue.schedule(silentFrom + run.deployment.settings.latencies.connectionTimeout, () => {
                run.deployment.network.setFault(from ?? "", to ?? "", undefined);
            }, undefined);
        }
    }
    const incarnation = entry?.identity.incarnation ?? "";
    run.advanceUntil(() =>
        run.deployment.starts.starts.some(start =>
            start.submission.includes(incarnation) && start.startedAtMilliseconds > silentFrom + 10
        )
    );
    return run.deployment.clock.nowMilliseconds() - silentFrom;
}

const disconnectedLink = { ...healthyLink, lossShare: 1 };

function measureDrain(seed: number): number {
    const run = new MatrixRun(seed);
    submitTraffic(run);
    run.deployment.advance(500);
    const agent = run.deployment.agents[seed % 3];
    const drainStartedAt = run.deployment.clock.nowMilliseconds();
    agent?.drainBackendServer();
    run.deployment.advance(observationMilliseconds);
    const delaysMilliseconds = run.deployment.starts.starts
        .filter(start => start.worker === agent?.worker && start.startedAtMilliseconds > drainStartedAt)
        .map(start => start.startedAtMilliseconds - drainStartedAt);
    return Math.max(0, ...delaysMilliseconds);
}

function measureManifestPropagation(seed: number, isStoreDown: boolean): number {
    const run = new MatrixRun(seed);
    submitTraffic(run);
    run.deployment.applyManifest(createMatrixManifest(), 1, "operator-1", () => undefined);
    const { record, clock, platform } = run.deployment;
    run.advanceUntil(() => platform.manifest?.version === 2);
    if (isStoreDown) {
        run.advanceUntil(() => record.observedVersions.some(observed => observed.version === 2));
        run.deployment.platform.setFault("down");
    }
    const startedAtMilliseconds = isStoreDown
        ? clock.nowMilliseconds()
        : record.acceptedManifests.at(-1)?.acceptedAtMilliseconds ?? 0;
    const processes = [...run.deployment.entries, ...run.deployment.agents.slice(0, 3)];
    run.advanceUntil(() => processes.every(process => process.configurationVersion === 2));
    return clock.nowMilliseconds() - startedAtMilliseconds;
}

/** The measurements, by the names that the feature uses. */
export const targetMeasurements: { readonly [name: string]: TargetMeasurement } = {
    "entry killed, first answer to a resubmission at another entry": seed =>
        measureEntryKill(seed).firstAnswerMilliseconds,
    "entry killed, final answer after the last task's end": seed => measureEntryKill(seed).finalAnswerMilliseconds,
    "agent killed, final answer of a job with a task there": measureAgentKill,
    "existing connections to agents silent, next start": measureSilentConnections,
    "backend server drains, last start there": measureDrain,
    "manifest accepted with the store up, in force everywhere": seed => measureManifestPropagation(seed, false),
    "manifest accepted and the store down, in force everywhere": seed => measureManifestPropagation(seed, true),
};
