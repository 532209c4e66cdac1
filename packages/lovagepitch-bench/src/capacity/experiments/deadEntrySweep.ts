/**
 * Measures the cost of answering the submissions of a failed entry at another entry.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createCapacityJob } from "../capacityManifest.js";
import { CapacityRig } from "../capacityRig.js";
import type { CallerAnswer, EntryProgram } from "../entryProgram.js";
import { subtractEntryCounts } from "../entryProgram.js";
import { Experiment, type ExperimentResult, fitColumn, type MeasuredRow } from "../experimentResult.js";

/** Numbers of agents and of submissions. */
const sizes = [[20, 10], [20, 160], [80, 40], [300, 10], [300, 40]] as const;
const slots = 16;
/** Long enough for tasks to be running when the entry is killed, short enough for them to end during the sweep. */
const taskMilliseconds = 2_500;
const killDelayMilliseconds = 1_500;
const answerLimitMilliseconds = 20_000;
const retryMilliseconds = 200;
const millisecondsPerSecond = 1_000;
const serviceUnavailableStatus = 503;

/** One of two entries is killed with running submissions, and callers resubmit them to the other. */
export class DeadEntrySweep extends Experiment {
    /** {@inheritDoc Experiment.name} */
    public override readonly name = "dead-entry-sweep";
    /** {@inheritDoc Experiment.description} */
    public override readonly description =
        "messages and processor time after the failure of an entry, by agents and submissions";

    /** {@inheritDoc Experiment.run} */
    public override async run(): Promise<ExperimentResult> {
        const rows: MeasuredRow[] = [];
        for (const [agents, submissions] of sizes) {
            rows.push(await measure(agents, submissions));
        }
        return {
            rows,
            fits: [
                fitColumn(rows, "messages", "messages", ["agents × submissions"]),
                fitColumn(rows, "bytes", "bytes", ["agents × submissions"]),
                fitColumn(rows, "processor ms", "ms", ["agents × submissions"]),
            ],
        };
    }
}

async function measure(agents: number, submissions: number): Promise<MeasuredRow> {
    const rig = await CapacityRig.start({ entries: 2, hostedAgents: agents, slots });
    const [killedEntry, survivingEntry] = rig.entries as [EntryProgram, EntryProgram];
    const job = createCapacityJob(1, taskMilliseconds);
    const ids = await killedEntry.requestSubmissionIds(submissions);
    // These requests fail when the entry is killed.
    ids.forEach(id => void killedEntry.submit(id, job).catch(() => undefined));
    await sleep(killDelayMilliseconds);
    const before = await survivingEntry.readCounts();
    const killedAt = performance.now();
    await killedEntry.kill();
    const answers = await Promise.all(ids.map(id => submitUntilAnswered(survivingEntry, id, job)));
    const seconds = (performance.now() - killedAt) / millisecondsPerSecond;
    const spent = subtractEntryCounts(await survivingEntry.readCounts(), before);
    rig.entries.splice(0, 1);
    await rig.stop();
    return {
        "agents": agents,
        "submissions": submissions,
        "agents × submissions": agents * submissions,
        "complete": answers.filter(answer => answer?.answer.state === "complete").length,
        "seconds": seconds,
        "messages": spent.messagesSent + spent.messagesReceived,
        "bytes": spent.bytesSent + spent.bytesReceived,
        "processor ms": millisecondsPerSecond * spent.processorSeconds,
    };
}

async function submitUntilAnswered(
    entry: EntryProgram,
    submission: string,
    job: ReturnType<typeof createCapacityJob>,
): Promise<CallerAnswer | undefined> {
    const endAt = performance.now() + answerLimitMilliseconds;
    while (performance.now() < endAt) {
        const answer = await entry.submit(submission, job);
        if (answer.status !== serviceUnavailableStatus) {
            return answer;
        }
        await sleep(retryMilliseconds);
    }
    return undefined;
}
