/**
 * Measures the times that the system promises after a fault.
 */
import { healthyLink } from "../../harness/network.js";
import { createMatrixJob, createMatrixManifest } from "./matrixJobs.js";
import { MatrixRun } from "./matrixRun.js";
import { runUntilStarted } from "./requestSteps.js";

const longEnough = 20_000;
const jobGap = 100;
const trafficJobs = 80;

/** Takes one time, in milliseconds. */
export type TargetMeasurement = (seed: number) => number;

function killEntryAndResubmit(seed: number): { readonly firstAnswer: number; readonly finalAnswer: number } {
    const run = new MatrixRun(seed);
    runUntilStarted(run);
    run.deployment.advance(50);
    const { clock } = run.deployment;
    run.deployment.entries[0]?.crash();
    const resubmittedAt = clock.nowMilliseconds();
    const request = run.deployment.submit(1, run.job, run.caller?.submission);
    run.reach(() => request.end !== undefined);
    const firstAnswer = clock.nowMilliseconds() - resubmittedAt;
    run.reach(() => run.isComplete());
    const ends = run.deployment.starts.starts.map(start =>
        run.deployment.starts.getEnd(start)?.endedAtMilliseconds ?? 0
    );
    return { firstAnswer, finalAnswer: clock.nowMilliseconds() - Math.max(...ends) };
}

function killAgent(seed: number): number {
    const run = new MatrixRun(seed);
    run.job = createMatrixJob({ tasks: 6, milliseconds: 3000 });
    runUntilStarted(run);
    const agent = run.deployment.agents[seed % 3];
    agent?.crash();
    const killedAt = run.deployment.clock.nowMilliseconds();
    run.reach(() => run.caller?.result !== undefined);
    return run.deployment.clock.nowMilliseconds() - killedAt;
}

function submitTraffic(run: MatrixRun): void {
    for (let position = 0; position < trafficJobs; position += 1) {
        const at = run.deployment.clock.nowMilliseconds() + position * jobGap;
        run.deployment.queue.schedule(at, () => {
            run.submitOther(createMatrixJob({ tasks: 2, milliseconds: 60 }), position % 2);
        }, undefined);
    }
}

function silenceAgents(seed: number): number {
    const run = new MatrixRun(seed);
    submitTraffic(run);
    run.deployment.advance(500);
    const silentFrom = run.deployment.clock.nowMilliseconds();
    const [entry] = run.deployment.entries;
    for (const agent of run.deployment.agents) {
        for (const [from, to] of [[entry?.address, agent.address], [agent.address, entry?.address]]) {
            run.deployment.network.setFault(from ?? "", to ?? "", { ...lostLink });
            run.deployment.queue.schedule(silentFrom + run.deployment.settings.latencies.connectionTimeout, () => {
                run.deployment.network.setFault(from ?? "", to ?? "", undefined);
            }, undefined);
        }
    }
    const incarnation = entry?.identity.incarnation ?? "";
    run.reach(() =>
        run.deployment.starts.starts.some(start =>
            start.submission.includes(incarnation) && start.startedAtMilliseconds > silentFrom + 10
        )
    );
    return run.deployment.clock.nowMilliseconds() - silentFrom;
}

const lostLink = { ...healthyLink, lossShare: 1 };

function leave(seed: number): number {
    const run = new MatrixRun(seed);
    submitTraffic(run);
    run.deployment.advance(500);
    const agent = run.deployment.agents[seed % 3];
    const leftAt = run.deployment.clock.nowMilliseconds();
    agent?.drainBackendServer();
    run.deployment.advance(longEnough);
    const late = run.deployment.starts.starts
        .filter(start => start.worker === agent?.worker && start.startedAtMilliseconds > leftAt)
        .map(start => start.startedAtMilliseconds - leftAt);
    return Math.max(0, ...late);
}

function spread(seed: number, isStoreDown: boolean): number {
    const run = new MatrixRun(seed);
    submitTraffic(run);
    run.deployment.applyManifest(createMatrixManifest(), 1, "operator-1", () => undefined);
    const { record, clock, platform } = run.deployment;
    run.reach(() => platform.manifest?.version === 2);
    if (isStoreDown) {
        run.reach(() => record.observedVersions.some(observed => observed.version === 2));
        run.deployment.platform.setFault("down");
    }
    const from = isStoreDown ? clock.nowMilliseconds() : record.acceptedManifests.at(-1)?.acceptedAtMilliseconds ?? 0;
    const processes = [...run.deployment.entries, ...run.deployment.agents.slice(0, 3)];
    run.reach(() => processes.every(process => process.configurationVersion === 2));
    return clock.nowMilliseconds() - from;
}

/** The measurements by name. */
export const targetMeasurements: { readonly [name: string]: TargetMeasurement } = {
    "entry killed, first answer to a resubmission elsewhere": seed => killEntryAndResubmit(seed).firstAnswer,
    "entry killed, final answer after the last task's end": seed => killEntryAndResubmit(seed).finalAnswer,
    "agent killed, final answer of a job with a task there": killAgent,
    "agents cannot be reached on old connections, next start": silenceAgents,
    "backend server leaves, last start there": leave,
    "manifest accepted with the store up, in force everywhere": seed => spread(seed, false),
    "manifest accepted and the store down, in force everywhere": seed => spread(seed, true),
};
